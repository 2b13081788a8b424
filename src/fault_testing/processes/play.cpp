// SPDX-License-Identifier: Apache-2.0
#include "fault_testing/processes/fleet.h"

namespace copperpoint::fault_testing {
namespace {

constexpr double kFallenS = 1;  // until a backend that fell over is back

}  // namespace

void ProcessFleet::Prepare() {
  block_ = 16 + ::getpid() % 200;
  std::vector<Udp::endpoint> inside, outside;
  const auto free_port = [&](const asio::ip::address& address) {
    return Tcp::acceptor(io_, {address, 0}).local_endpoint().port();
  };
  for (int i = 0; i < plan_.members; ++i) {
    Member& member = At(i);
    const auto address = Address(0, i), door = Address(50, i);
    member.listen = {address, free_port(address)};
    member.op = {address, free_port(address)};
    member.op_other = {address, free_port(address)};
    member.inside = {address, free_port(address)};
    member.outside = {door, free_port(door)};
    inside.push_back(member.inside);
    outside.push_back(member.outside);
  }
  if (options_.with_membership)
    relay_ = std::make_unique<Relay>(io_, links_, inside, outside, [this] { return Now(); });
  const auto now = [this] { return simulation::FromMs(Now() * 1000); };
  backends_ =
      std::make_unique<StandInBackends>(io_, plan_, options_.seed, Address(100, 0), troubles_, rules_, now);
  directory_ = std::make_unique<Directory>(io_, plan_, Address(101, 0), backends_->addresses(), troubles_,
                                           rules_, now);
  backends_->Watch([this](int proxy, int backend) { return directory_->ToldOfStart(proxy, backend); },
                   [this](int backend) {
                     SetBackend(backend, Directory::Phase::kTerminated, /*up=*/false);
                     Schedule(Now() + kFallenS, [this, backend] {
                       SetBackend(backend, Directory::Phase::kInService, /*up=*/true);
                     });
                   });
  const auto choose = [this](simulation::Random& random) -> std::optional<Clients::Target> {
    std::vector<int> up;
    for (int i = 0; i < plan_.members; ++i)
      if (At(i).up) up.push_back(i);
    if (up.empty()) return std::nullopt;
    const int member = up[random.Below(up.size())];
    return Clients::Target{At(member).listen, member, At(member).life};
  };
  const auto owed = [this](const Clients::Target& target) {
    const Member& member = At(target.member);
    return !member.killed && !member.stopped && member.life == target.life &&
           Clock::now() - member.ready > 3 * kMostLate;
  };
  clients_ = std::make_unique<Clients>(
      io_, plan_.service, options_.seed, rules_, choose, owed,
      [this](std::uint64_t id) { return backends_->MayHaveRun(id); }, now);
  std::ofstream(folder_.path + "/key") << "a key that only this rig has\n";
  ::chmod((folder_.path + "/key").c_str(), 0600);
  for (int i = 0; i < plan_.members; ++i) {
    WriteFiles(i);
    if (plan_.keep) WriteKeeper(i);
  }
}

ProcessOutcome ProcessFleet::Play() {
  Prepare();
  began_ = Clock::now();
  signals_.async_wait([this](const Error& cancelled, int) {
    if (cancelled) return;
    interrupted_ = true;
    io_.stop();
  });
  std::vector<bool> late(members_.size());
  for (const Fault& fault : plan_.faults) {
    if (fault.kind == FaultKind::kStart)
      for (const int member : Chosen(plan_, fault.who, options_.seed))
        late[static_cast<std::size_t>(member)] = true;
    if (fault.when.empty()) ScheduleFault(fault);
  }
  for (int i = 0; i < plan_.members; ++i)
    if (!late[static_cast<std::size_t>(i)])
      Schedule(random_.Between(0, plan_.start_spread_s), [this, i] { Start(i); });
  double count_from = plan_.start_spread_s + 1;
  rest_from_ = LastFaultOver(plan_);
  for (const Property& property : plan_.properties)
    if (property.after_s >= 0) {
      if (property.kind == PropertyKind::kServedAtLeast) count_from = property.after_s;
      if (property.kind == PropertyKind::kBytesAtMost) rest_from_ = property.after_s;
    }
  const auto runs = [this] {
    std::vector<std::uint64_t> all;
    for (int b = 0; b < plan_.service.backends; ++b) all.push_back(backends_->executions(b));
    return all;
  };
  runs_before_.resize(static_cast<std::size_t>(plan_.service.backends));
  for (const Property& property : plan_.properties) {
    if (property.kind != PropertyKind::kTrafficShare) continue;
    if (property.after_s >= 0) Schedule(property.after_s, [this, runs] { runs_before_ = runs(); });
    if (property.until_s >= 0) Schedule(property.until_s, [this, runs] { runs_ = runs(); });
  }
  Schedule(plan_.start_spread_s + 0.5, [this, count_from] { clients_->Start(count_from); });
  if (options_.with_membership) LookAtAll();
  if (options_.on_status) {
    control_ = std::make_unique<Control>(
        io_, Address(102, 0),
        [this](const std::string& what, const std::string& who) { return Carry(what, who); });
    Schedule(count_from, [this] { Watch(); });
  }
  Schedule(plan_.length_s, [this] {
    over_ = true;
    io_.stop();
  });
  io_.run();
  over_ = true;
  const double end = Now();
  clients_->Stop();
  judge_.Holders(backends_->holders());
  if (runs_.empty()) runs_ = runs();
  for (std::size_t b = 0; b < runs_.size(); ++b) runs_[b] -= runs_before_[b];
  judge_.Runs(runs_);
  std::vector<std::string> versions;
  std::vector<std::set<std::string>> ever;
  for (const Member& member : members_) {
    versions.push_back(member.up ? member.version : "");
    ever.push_back(member.ever);
  }
  judge_.Versions(versions, ever);
  for (const std::string& when : conditions_.unmet()) judge_.Unmet(when);
  for (Member& member : members_) member.child.reset();
  for (const Member& member : members_) {
    judge_.Refusals(static_cast<std::uint64_t>(member.refused + member.refused_before));
    const double span = member.asked_at - member.before_at;
    if (member.up && member.before_at >= 0 && span > 0)
      judge_.Bytes((member.out - member.out_before) / span, (member.in - member.in_before) / span);
  }
  judge_.Served(clients_->served(), clients_->asked());
  for (const simulation::RuleViolation& violation : rules_.violations())
    judge_.Broke(fmt::format("rule {} at {:.2f} s, request {:x}, {}: {}", static_cast<int>(violation.rule),
                             static_cast<double>(violation.at) / 1e6, violation.request,
                             MemberName(static_cast<int>(violation.proxy)), violation.description));
  Judge::Verdict verdict = judge_.Close(end, /*with_service=*/true);
  ProcessOutcome result;
  result.outcome = {verdict.holds, std::move(verdict.json), std::move(verdict.story)};
  result.is_void = latest_ > kMostLate;
  result.interrupted = interrupted_;
  auto& json = result.outcome.json;
  json["seed"] = options_.seed;
  json["members"] = plan_.members;
  json["requests"] = clients_->all();
  json["executions"] = backends_->executions();
  json["falls"] = backends_->falls();
  json["spread"] = judge_.Spread();
  json["looks"] = looks_;
  json["rig_late_ms"] = std::chrono::duration<double, std::milli>(latest_).count();
  if (relay_) {
    json["datagrams_passed"] = relay_->passed();
    json["datagrams_dropped"] = relay_->dropped();
  }
  return result;
}

ProcessOutcome PlayProcesses(const Plan& plan, const ProcessOptions& options) {
  return ProcessFleet(plan, options).Play();
}

}  // namespace copperpoint::fault_testing
