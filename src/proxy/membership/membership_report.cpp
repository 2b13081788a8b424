// SPDX-License-Identifier: Apache-2.0
#include "proxy/membership/membership_report.h"

#include <cstddef>
#include <nlohmann/json.hpp>
#include <utility>

#include "log/log.h"

namespace copperpoint::proxy {
namespace {

using Json = nlohmann::ordered_json;

constexpr double kMicrosecondsPerMillisecond = 1000;

std::int64_t Milliseconds(membership::Time time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

// `now`: as the view has it for `since` and `heard`.
Json MemberJson(const membership::View& view, int index, const membership::Entry& entry,
                membership::Time now) {
  const membership::Record& record = *entry.record;
  const bool is_self = record.name() == view.self().name();
  Json member{{"name", record.name()},
              {"status", membership::NameOf(entry.status)},
              {"status_ms", Milliseconds(now - entry.since)},
              {"heard_ms", is_self ? 0 : Milliseconds(now - entry.heard)},
              {"incarnation", record.incarnation()},
              {"address", record.address()}};
  if (entry.living()) {
    member["state"] = membership::NameOf(static_cast<membership::State>(record.state()));
    member["zone"] = record.zone();
    member["program"] = record.program();
    member["settings"] = record.settings();
  }
  if (const membership::Suspicion* suspicion = view.suspicion(index))
    member["accusers"] = suspicion->accusers;
  return member;
}

Json CountersJson(const membership::View& view, const peers::Transport::Counters* transport) {
  const membership::Counters& counters = view.counters();
  Json json{{"sent", counters.sent},
            {"sent_bytes", counters.sent_bytes},
            {"received", counters.received},
            {"received_bytes", counters.received_bytes},
            {"exchanges", counters.exchanges},
            {"exchanged_bytes", counters.exchanged_bytes},
            {"replays", counters.replays},
            {"older_lives", counters.older_lives},
            {"misaddressed", counters.misaddressed},
            {"oversized", counters.oversized},
            {"news_shed", view.news_shed()}};
  for (int refusal = 1; refusal < peers::kRefusals; ++refusal)
    json[std::string("refused_") + peers::NameOf(static_cast<peers::Refusal>(refusal))] =
        counters.refused[static_cast<std::size_t>(refusal)];
  if (transport) {
    json["unsent"] = transport->unsent;
    json["exchanges_failed"] = transport->failed;
    json["exchanges_turned_away"] = transport->turned_away;
  }
  return json;
}

}  // namespace

std::string MembershipJson(const MembershipStatus& status) {
  const membership::View& view = status.view;
  const membership::Record& self = view.self();
  Json json{{"cluster", status.cluster},     {"name", self.name()},
            {"address", self.address()},     {"incarnation", self.incarnation()},
            {"life", log::Hex(self.life())}, {"speaks", status.transport && !view.silent()},
            {"settled", view.settled()},     {"view", log::Hex(view.members().hash())}};
  if (status.ring_offset) json["position"] = *status.ring_offset;
  Json members = Json::array();
  const membership::Time now = view.own(status.now);
  view.members().Each([&](int index, const membership::Entry& entry) {
    members.push_back(MemberJson(view, index, entry, now));
  });
  json["members"] = std::move(members);
  json["counters"] = CountersJson(view, status.transport);
  return json.dump();
}

void LogMembershipEvents(const std::vector<membership::Happened>& events) {
  for (const membership::Happened& event : events) {
    const bool is_error = event.kind == membership::Happened::Kind::kNameTaken;
    log::Global().Write(
        is_error ? log::Level::kError : log::Level::kInfo,
        std::string("fleet_") + membership::NameOf(event.kind),
        {{"member", event.name},
         {"by", event.by},
         {"silent_ms", static_cast<double>(event.silent.count()) / kMicrosecondsPerMillisecond}});
  }
}

}  // namespace copperpoint::proxy
