// SPDX-License-Identifier: Apache-2.0
#include "fault_testing/processes/fleet.h"

namespace copperpoint::fault_testing {
namespace {

constexpr double kOverloadRestartDelayS = 1;  // until an overloaded backend starts again

}  // namespace

void ProcessFleet::Prepare() {
  address_block_ = 16 + ::getpid() % 200;
  std::vector<Udp::endpoint> bind_addresses, advertised_addresses;
  // All stay bound until each port has been chosen, so that no two are the same.
  std::vector<Tcp::acceptor> bound;
  const auto free_port = [&](const asio::ip::address& address) {
    return bound.emplace_back(io_, Tcp::endpoint(address, 0)).local_endpoint().port();
  };
  for (int i = 0; i < plan_.members; ++i) {
    Member& member = At(i);
    const auto address = Address(0, i), relay_address = Address(50, i);
    member.listen_address = {address, free_port(address)};
    member.operator_address = {address, free_port(address)};
    member.other_operator_address = {address, free_port(address)};
    member.bind_address = {address, free_port(address)};
    member.advertised_address = {relay_address, free_port(relay_address)};
    bind_addresses.push_back(member.bind_address);
    advertised_addresses.push_back(member.advertised_address);
  }
  bound.clear();
  if (options_.with_membership)
    relay_ =
        std::make_unique<Relay>(io_, links_, bind_addresses, advertised_addresses, [this] { return Now(); });
  const auto now = [this] { return simulation::FromMs(Now() * 1000); };
  backends_ = std::make_unique<StandInBackends>(io_, plan_, options_.seed, Address(100, 0), service_faults_,
                                                rules_, now);
  directory_ = std::make_unique<Directory>(io_, plan_, Address(101, 0), backends_->addresses(),
                                           service_faults_, rules_, now);
  backends_->SetCallbacks(
      [this](int proxy, int backend) { return directory_->KnowsCurrentProcess(proxy, backend); },
      [this](int backend) {
        SetBackend(backend, Directory::Phase::kTerminated, /*up=*/false);
        Schedule(Now() + kOverloadRestartDelayS,
                 [this, backend] { SetBackend(backend, Directory::Phase::kInService, /*up=*/true); });
      });
  const auto select_target = [this](simulation::Random& random) -> std::optional<Clients::Target> {
    std::vector<int> up;
    for (int i = 0; i < plan_.members; ++i)
      if (At(i).up) up.push_back(i);
    if (up.empty()) return std::nullopt;
    const int member = up[random.Below(up.size())];
    return Clients::Target{At(member).listen_address, member, At(member).incarnation};
  };
  const auto owes_response = [this](const Clients::Target& target) {
    const Member& member = At(target.member);
    return !member.killed && !member.paused && member.incarnation == target.incarnation &&
           Clock::now() - member.last_ready > 3 * kMaxLateness;
  };
  clients_ = std::make_unique<Clients>(
      io_, plan_.service, options_.seed, rules_, select_target, owes_response,
      [this](std::uint64_t id) { return backends_->MayHaveRun(id); }, now);
  std::ofstream(folder_.path + "/key") << "a key that only this rig has\n";
  ::chmod((folder_.path + "/key").c_str(), 0600);
  for (int i = 0; i < plan_.members; ++i) {
    WriteConfigFiles(i);
    if (plan_.keep) WriteSupervisorConfig(i);
  }
}

ProcessOutcome ProcessFleet::Play() {
  Prepare();
  started_at_ = Clock::now();
  signals_.async_wait([this](const Error& cancelled, int) {
    if (cancelled) return;
    interrupted_ = true;
    io_.stop();
  });
  std::vector<bool> started_by_fault(members_.size());
  for (const Fault& fault : plan_.faults) {
    if (fault.kind == FaultKind::kStart)
      for (const int member : SelectMembers(plan_, fault.who, options_.seed))
        started_by_fault[static_cast<std::size_t>(member)] = true;
    if (fault.when.empty()) ScheduleFault(fault);
  }
  for (int i = 0; i < plan_.members; ++i)
    if (!started_by_fault[static_cast<std::size_t>(i)])
      Schedule(random_.Between(0, plan_.start_spread_s), [this, i] { Start(i); });
  double count_from = plan_.start_spread_s + 1;
  measure_from_s_ = LastFaultEnd(plan_);
  for (const Property& property : plan_.properties)
    if (property.after_s >= 0) {
      if (property.kind == PropertyKind::kServedAtLeast) count_from = property.after_s;
      if (property.kind == PropertyKind::kBytesAtMost) measure_from_s_ = property.after_s;
    }
  const auto runs = [this] {
    std::vector<std::uint64_t> all;
    for (int b = 0; b < plan_.service.backends; ++b) all.push_back(backends_->executions(b));
    return all;
  };
  executions_before_.resize(static_cast<std::size_t>(plan_.service.backends));
  for (const Property& property : plan_.properties) {
    if (property.kind != PropertyKind::kTrafficShare) continue;
    if (property.after_s >= 0) Schedule(property.after_s, [this, runs] { executions_before_ = runs(); });
    if (property.until_s >= 0) Schedule(property.until_s, [this, runs] { executions_ = runs(); });
  }
  Schedule(plan_.start_spread_s + 0.5, [this, count_from] { clients_->Start(count_from); });
  if (options_.with_membership) PollViews();
  if (options_.on_status) {
    control_ = std::make_unique<Control>(
        io_, Address(102, 0),
        [this](const std::string& what, const std::string& who) { return RunCommand(what, who); });
    Schedule(count_from, [this] { ReportStatus(); });
  }
  Schedule(plan_.length_s, [this] {
    has_ended_ = true;
    io_.stop();
  });
  io_.run();
  has_ended_ = true;
  const double end = Now();
  clients_->Stop();
  evaluator_.SetConnectedProxies(backends_->connected_proxies());
  if (executions_.empty()) executions_ = runs();
  for (std::size_t b = 0; b < executions_.size(); ++b) executions_[b] -= executions_before_[b];
  evaluator_.SetExecutions(executions_);
  std::vector<std::string> versions;
  std::vector<std::set<std::string>> versions_run;
  for (const Member& member : members_) {
    versions.push_back(member.up ? member.version : "");
    versions_run.push_back(member.versions_run);
  }
  evaluator_.SetVersions(versions, versions_run);
  for (const std::string& when : conditions_.untriggered()) evaluator_.OnFaultNotTriggered(when);
  for (Member& member : members_) member.child.reset();
  for (const Member& member : members_) {
    evaluator_.AddRejectedDatagrams(static_cast<std::uint64_t>(member.rejected + member.rejected_before));
    const double span = member.polled_at_s - member.before_at_s;
    if (member.up && member.before_at_s >= 0 && span > 0)
      evaluator_.AddByteRates((member.bytes_out - member.bytes_out_before) / span,
                              (member.bytes_in - member.bytes_in_before) / span);
  }
  evaluator_.AddRequests(clients_->served(), clients_->requests());
  for (const simulation::RuleViolation& violation : rules_.violations())
    evaluator_.AddRuleViolation(
        fmt::format("rule {} at {:.2f} s, request {:x}, {}: {}", static_cast<int>(violation.rule),
                    static_cast<double>(violation.at) / 1e6, violation.request,
                    MemberName(static_cast<int>(violation.proxy)), violation.description));
  RunEvaluator::Evaluation evaluation = evaluator_.Evaluate(end, /*with_process_properties=*/true);
  ProcessOutcome result;
  result.outcome = {evaluation.holds, std::move(evaluation.json), std::move(evaluation.failures)};
  result.is_void = max_lateness_ > kMaxLateness;
  result.interrupted = interrupted_;
  auto& json = result.outcome.json;
  json["seed"] = options_.seed;
  json["members"] = plan_.members;
  json["requests"] = clients_->total_requests();
  json["executions"] = backends_->executions();
  json["falls"] = backends_->overloads();
  json["spread"] = evaluator_.DetectionDelays();
  json["looks"] = polls_;
  json["rig_late_ms"] = std::chrono::duration<double, std::milli>(max_lateness_).count();
  if (relay_) {
    json["datagrams_passed"] = relay_->forwarded();
    json["datagrams_dropped"] = relay_->dropped();
  }
  return result;
}

ProcessOutcome PlayProcesses(const Plan& plan, const ProcessOptions& options) {
  return ProcessFleet(plan, options).Play();
}

}  // namespace copperpoint::fault_testing
