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

// `now` is in the membership's own time, as are `status_since` and `last_contact`.
Json MemberJson(const membership::Membership& view, int index, const membership::Member& entry,
                membership::Time now) {
  const membership::Record& record = *entry.record;
  const bool is_self = record.name() == view.self().name();
  Json member{{"name", record.name()},
              {"status", membership::NameOf(entry.status)},
              {"status_ms", Milliseconds(now - entry.status_since)},
              {"heard_ms", is_self ? 0 : Milliseconds(now - entry.last_contact)},
              {"incarnation", record.refutation_number()},
              {"address", record.address()}};
  if (entry.living()) {
    member["state"] = membership::NameOf(static_cast<membership::MemberState>(record.state()));
    member["zone"] = record.zone();
    member["program"] = record.program();
    member["settings"] = record.settings();
  }
  if (const membership::Suspicion* suspicion = view.suspicion(index))
    member["accusers"] = suspicion->accusers;
  return member;
}

Json CountersJson(const membership::Membership& view, const peers::Transport::Counters* transport) {
  const membership::Counters& counters = view.counters();
  Json json{{"sent", counters.sent},
            {"sent_bytes", counters.sent_bytes},
            {"received", counters.received},
            {"received_bytes", counters.received_bytes},
            {"exchanges", counters.exchanges},
            {"exchanged_bytes", counters.exchanged_bytes},
            {"replays", counters.replays},
            {"older_lives", counters.older_incarnations},
            {"misaddressed", counters.misaddressed},
            {"oversized", counters.oversized},
            {"news_shed", view.gossip_dropped()}};
  for (int error = 1; error < peers::kFrameErrors; ++error)
    json[std::string("refused_") + peers::NameOf(static_cast<peers::FrameError>(error))] =
        counters.rejected[static_cast<std::size_t>(error)];
  if (transport) {
    json["unsent"] = transport->unsent;
    json["exchanges_failed"] = transport->failed;
    json["exchanges_turned_away"] = transport->rejected;
  }
  return json;
}

}  // namespace

std::string MembershipJson(const MembershipStatus& status) {
  const membership::Membership& view = status.view;
  const membership::Record& self = view.self();
  Json json{{"cluster", status.cluster},
            {"name", self.name()},
            {"address", self.address()},
            {"incarnation", self.refutation_number()},
            {"life", log::Hex(self.incarnation())},
            {"speaks", status.transport && !view.stopped()},
            {"settled", view.converged()},
            {"view", log::Hex(view.members().hash())}};
  if (status.ring_offset) json["position"] = *status.ring_offset;
  Json members = Json::array();
  const membership::Time now = view.ToLocalTime(status.now);
  view.members().ForEach([&](int index, const membership::Member& entry) {
    members.push_back(MemberJson(view, index, entry, now));
  });
  json["members"] = std::move(members);
  json["counters"] = CountersJson(view, status.transport);
  return json.dump();
}

void LogMembershipEvents(const std::vector<membership::Event>& events) {
  for (const membership::Event& event : events) {
    const bool is_error = event.kind == membership::Event::Kind::kNameTaken;
    log::Global().Write(
        is_error ? log::Level::kError : log::Level::kInfo,
        std::string("fleet_") + membership::NameOf(event.kind),
        {{"member", event.name},
         {"by", event.reported_by},
         {"silent_ms", static_cast<double>(event.time_since_contact.count()) / kMicrosecondsPerMillisecond}});
  }
}

}  // namespace copperpoint::proxy
