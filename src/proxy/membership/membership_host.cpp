// SPDX-License-Identifier: Apache-2.0
#include "proxy/membership/membership_host.h"

#include <sys/stat.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "config/read.h"
#include "log/log.h"
#include "proxy/config/config_error.h"
#include "proxy/membership/clock.h"

namespace copperpoint::proxy {
namespace {

constexpr std::chrono::milliseconds kAddressAgain{200};

peers::Seal SealOf(const FleetSettings& settings) {
  const ConfigLocation location{.file = settings.key_file, .key = "fleet.key_file"};
  struct stat about {};
  if (::stat(settings.key_file.c_str(), &about) != 0)
    throw ConfigError(ConfigError::Kind::kUnreadableFile, location, "fleet.key_file cannot be read");
  if ((about.st_mode & 0077) != 0)
    throw ConfigError(ConfigError::Kind::kInvalid, location,
                      "fleet.key_file may be read by others; its mode has to be 0600");
  std::string key = config::Contents(settings.key_file);
  while (!key.empty() && (key.back() == '\n' || key.back() == '\r')) key.pop_back();
  try {
    return peers::Seal(settings.cluster, key);
  } catch (const std::invalid_argument& error) {
    throw ConfigError(ConfigError::Kind::kInvalid, location, std::string("fleet.key_file: ") + error.what());
  }
}

std::vector<std::string> SeedsOf(const FleetSettings& settings) {
  std::vector<std::string> seeds = settings.seeds;
  if (settings.seeds_file.empty()) return seeds;
  const std::string text = config::Contents(settings.seeds_file);
  int number = 0;
  for (std::size_t from = 0; from < text.size();) {
    const std::size_t end = std::min(text.find('\n', from), text.size());
    const std::string line = text.substr(from, end - from);
    from = end + 1;
    ++number;
    if (line.empty() || line.front() == '#') continue;
    boost::asio::ip::udp::endpoint parsed;
    if (!peers::ParseAddress(line, &parsed))
      throw ConfigError(ConfigError::Kind::kInvalid,
                        {.file = settings.seeds_file, .line = number, .key = "fleet.seeds_file"},
                        "'" + line + "' is no ADDRESS:PORT");
    seeds.push_back(line);
  }
  return seeds;
}

membership::Record RecordOf(const FleetSettings& settings, const FleetSelf& self) {
  membership::Record record;
  record.set_name(self.name);
  record.set_address(settings.advertise.empty() ? settings.listen : settings.advertise);
  record.set_zone(self.zone);
  record.set_program(self.program);
  record.set_settings(self.settings);
  return record;
}

rollout::Agent::Self AgentOf(const membership::View& view, const SupervisorLink* keeper) {
  rollout::Agent::Self self{view.self().name(), "", view.self().life(), 0, "", ""};
  if (!keeper) return self;
  const SupervisorLink::Known& known = keeper->known();
  self.version = known.version;
  self.mark = known.mark;
  self.failed_version = known.failed_version;
  self.failure = known.failure;
  return self;
}

boost::asio::ip::udp::endpoint Listen(const FleetSettings& settings) {
  boost::asio::ip::udp::endpoint listen;
  if (!peers::ParseAddress(settings.listen, &listen) || listen.port() == 0)
    throw ConfigError(ConfigError::Kind::kInvalid, {.key = "fleet.listen"},
                      "fleet.listen is no ADDRESS:PORT: '" + settings.listen + "'");
  return listen;
}

}  // namespace

MembershipHost::MembershipHost(boost::asio::io_context& io, const FleetSettings& settings,
                               const FleetSelf& self, std::uint64_t seed,
                               std::function<void(double)> on_ring_offset) try
    : io_(io),
      listen_(Listen(settings)),
      cluster_(settings.cluster),
      seeds_(SeedsOf(settings)),
      view_(membership::Options(), SealOf(settings), RecordOf(settings, self), seed, FleetNow()),
      subsets_(settings.subsets),
      on_ring_offset_(std::move(on_ring_offset)),
      keeper_(SupervisorLink::FromEnvironment(io,
                                              [this](const std::string& version, const std::string& why) {
                                                agent_.OnFailed(version, why);
                                                Flush();
                                              })),
      agent_(
          AgentOf(view_, keeper_.get()),
          [this](const std::string& name) {
            const int at = view_.members().Find(name);
            return at != membership::Members::kNone && view_.members()[at].living();
          },
          [this] {
            rollout::wire::Report report = counts_.Report();
            report.set_ready(ready_ && !left_);
            if (keeper_) report.set_crashes(keeper_->known().ends);
            return report;
          }),
      began_(FleetNow()),
      timer_(io) {
  view_.SetGate(
      [this](membership::Topic topic, std::uint64_t version) { return agent_.Admits(topic, version); });
  Open();
} catch (const std::invalid_argument& error) {
  throw ConfigError(ConfigError::Kind::kInvalid, {.key = "fleet"}, std::string("fleet: ") + error.what());
}

void MembershipHost::Open() {
  peers::Transport::Handlers handlers;
  handlers.datagram = [this](const std::string& from, std::string_view bytes) {
    view_.OnDatagram(FleetNow(), from, bytes);
    Flush();
  };
  handlers.asked = [this](std::string_view frame) {
    std::string answer = view_.OnExchange(FleetNow(), frame);
    Flush();
    return answer;
  };
  handlers.answered = [this](std::string_view frame) {
    view_.OnReply(FleetNow(), frame);
    Flush();
  };
  try {
    transport_ = std::make_unique<peers::Transport>(io_, listen_, std::move(handlers));
  } catch (const boost::system::system_error& error) {
    if (error.code() != boost::asio::error::address_in_use) throw;
    if (!std::exchange(told_waiting_, true))
      log::Global().Info("fleet_waits_for_address", {{"address", peers::TextOf(listen_)}});
    timer_.expires_after(kAddressAgain);
    timer_.async_wait([this](const boost::system::error_code& cancelled) {
      if (!cancelled) Open();
    });
    return;
  }
  log::Global().Info("fleet_member", {{"cluster", cluster_}, {"address", view_.self().address()}});
  view_.Join(FleetNow(), seeds_);
  Flush();
}

// What the view has for the parts that live on it, and what they have for the view.
void MembershipHost::LookAtParts() {
  for (bool more = true; more;) {
    CarryOut(agent_.Take());
    const membership::Output output = view_.Take();
    for (const membership::Letter& letter : output.letters)
      if (letter.topic == rollout::kLetterTopic) agent_.OnLetter(FleetNow(), letter.from, letter.body);
    for (const membership::Topic topic : output.documents) {
      const membership::Document* document = view_.document(topic);
      if (document) agent_.OnDocument(FleetNow(), topic, document->version, document->body);
    }
    Send(output);
    more = !output.letters.empty() || !output.documents.empty();  // the agent may have answered
  }
}

void MembershipHost::CarryOut(rollout::Agent::Output output) {
  const membership::Time now = FleetNow();
  for (const auto& document : output.documents)
    view_.Put(now, document.topic, document.version, document.body);
  for (auto& letter : output.letters)
    view_.Mail(now, letter.to, rollout::kLetterTopic, std::move(letter.body));
  for (const rollout::Event& event : output.events)
    log::Global().Info("rollout_" + event.name,
                       {{"change", event.change}, {"why", event.why}, {"may_have_changed", event.prefix}});
  if (keeper_ && output.mark != 0) keeper_->Say("mark " + log::Hex(output.mark));
  if (keeper_ && output.run) keeper_->Say("run " + *output.run);
}

void MembershipHost::Ready() {
  if (std::exchange(ready_, true)) return;
  if (keeper_) keeper_->Say("ready");
}

std::vector<rollout::Named> MembershipHost::Living() const {
  std::vector<rollout::Named> members;
  for (const int at : view_.members().living()) {
    const membership::Record& record = *view_.members()[at].record;
    members.push_back({record.name(), record.zone()});
  }
  // The same members make the same change, whoever begins it.
  std::sort(members.begin(), members.end(), [](const auto& a, const auto& b) { return a.name < b.name; });
  return members;
}

std::optional<AdminHandler::FleetCallResult> MembershipHost::Rollout(const std::string& what, bool post,
                                                                     const std::string& body) {
  const membership::Time now = FleetNow();
  if (!post) {
    if (what == "/history") return AdminHandler::FleetCallResult{true, agent_.History(now)};
    if (!what.empty()) return std::nullopt;
    auto json = nlohmann::ordered_json::parse(agent_.Status(now));
    const double lived = std::chrono::duration<double>(now - began_).count();
    json["rate_per_s"] = static_cast<double>(counts_.asked()) / std::max(1.0, lived);
    return AdminHandler::FleetCallResult{true, json.dump()};
  }
  std::string why;
  if (what == "/start") {
    try {
      why = agent_.Start(now, rollout::ReadPlan(body, "plan"), Living());
    } catch (const config::BadFile& error) {
      why = error.what();
    }
  } else if (what == "/abort") {
    why = agent_.Abort(now);
  } else if (what == "/pause" || what == "/resume") {
    why = agent_.Pause(now, what == "/pause");
  } else {
    return std::nullopt;
  }
  Flush();
  return AdminHandler::FleetCallResult{why.empty(), why.empty() ? "done" : why};
}

void MembershipHost::Flush() {
  LookAtParts();
  if (keeper_ && !heard_ && view_.established() && view_.members().living().size() > 1) {
    heard_ = true;
    keeper_->Say("heard");
  }
  if (subsets_) {
    if (const std::optional<double> turn = positions_.Look(view_, FleetNow())) {
      log::Global().Info("fleet_position", {{"turn", *turn}});
      turn_ = turn;
      on_ring_offset_(*turn);
    }
  }
  Arm();
}

void MembershipHost::Send(const membership::Output& output) {
  if (transport_) {
    for (const membership::Outgoing& datagram : output.datagrams)
      transport_->Send(datagram.to, datagram.bytes);
    for (const membership::Outgoing& exchange : output.exchanges)
      transport_->Exchange(exchange.to, exchange.bytes);
  }
  for (const membership::Happened& event : output.events) {
    const std::string name = std::string("fleet_") + membership::NameOf(event.kind);
    const bool grave = event.kind == membership::Happened::Kind::kNameTaken;
    log::Global().Write(grave ? log::Level::kError : log::Level::kInfo, name,
                        {{"member", event.name},
                         {"by", event.by},
                         {"silent_ms", static_cast<double>(event.silent.count()) / 1000}});
  }
}

void MembershipHost::Arm() {
  if (!transport_ || view_.silent()) return;
  timer_.expires_at(ToSteady(std::min({view_.next(), positions_.next(), agent_.next()})));
  timer_.async_wait([this](const boost::system::error_code& cancelled) {
    if (cancelled) return;
    view_.OnTick(FleetNow());
    if (agent_.next() <= FleetNow()) agent_.OnTick(FleetNow());
    Flush();
  });
}

void MembershipHost::SetState(membership::State state) {
  view_.SetState(FleetNow(), state);
  Flush();
}

void MembershipHost::Leave() {
  if (std::exchange(left_, true)) return;
  view_.Leave(FleetNow());
  Flush();
  transport_.reset();
  timer_.cancel();
}

std::string MembershipHost::Json() const {
  const membership::Record& self = view_.self();
  const membership::Time now = view_.own(FleetNow());
  const auto millis = [](membership::Time time) { return time.count() / 1000; };
  nlohmann::ordered_json json{{"cluster", cluster_},           {"name", self.name()},
                              {"address", self.address()},     {"incarnation", self.incarnation()},
                              {"life", log::Hex(self.life())}, {"speaks", transport_ && !view_.silent()},
                              {"settled", view_.settled()},    {"view", log::Hex(view_.members().hash())}};
  if (turn_) json["position"] = *turn_;
  auto& members = json["members"] = nlohmann::ordered_json::array();
  view_.members().Each([&](int at, const membership::Entry& entry) {
    const membership::Record& record = *entry.record;
    nlohmann::ordered_json member{{"name", record.name()},
                                  {"status", membership::NameOf(entry.status)},
                                  {"status_ms", millis(now - entry.since)},
                                  {"heard_ms", record.name() == self.name() ? 0 : millis(now - entry.heard)},
                                  {"incarnation", record.incarnation()},
                                  {"address", record.address()}};
    if (entry.living()) {
      member["state"] = membership::NameOf(static_cast<membership::State>(record.state()));
      member["zone"] = record.zone();
      member["program"] = record.program();
      member["settings"] = record.settings();
    }
    if (const membership::Suspicion* suspicion = view_.suspicion(at))
      member["accusers"] = suspicion->accusers;
    members.push_back(std::move(member));
  });
  const membership::Counters& counters = view_.counters();
  auto& told = json["counters"] = nlohmann::ordered_json{{"sent", counters.sent},
                                                         {"sent_bytes", counters.sent_bytes},
                                                         {"received", counters.received},
                                                         {"received_bytes", counters.received_bytes},
                                                         {"exchanges", counters.exchanges},
                                                         {"exchanged_bytes", counters.exchanged_bytes},
                                                         {"replays", counters.replays},
                                                         {"older_lives", counters.older_lives},
                                                         {"misaddressed", counters.misaddressed},
                                                         {"oversized", counters.oversized},
                                                         {"news_shed", view_.news_shed()}};
  for (int refusal = 1; refusal < peers::kRefusals; ++refusal)
    told[std::string("refused_") + peers::NameOf(static_cast<peers::Refusal>(refusal))] =
        counters.refused[static_cast<std::size_t>(refusal)];
  if (transport_) {
    told["unsent"] = transport_->counters().unsent;
    told["exchanges_failed"] = transport_->counters().failed;
    told["exchanges_turned_away"] = transport_->counters().turned_away;
  }
  return json.dump();
}

}  // namespace copperpoint::proxy
