// SPDX-License-Identifier: Apache-2.0
#include "simulation/run/simulation.h"

#include <chrono>
#include <utility>

namespace copperpoint::simulation {
namespace {

constexpr double kMsPerSecond = 1000;
constexpr double kEndMarginMs = 1000;

// The end of the run: by then every client has received its response or given up. Policies may set timers
// indefinitely, so the event queue need not become empty.
Micros EndOf(const Scenario& scenario) {
  return FromMs(scenario.length_s * kMsPerSecond + scenario.MaxDeadlineMs() +
                scenario.rules.response_slack_ms + kEndMarginMs);
}

nlohmann::ordered_json ViolationJson(const RuleViolation& violation) {
  return {{"rule", static_cast<int>(violation.rule)},
          {"at_ms", ToMs(violation.at)},
          {"request", violation.request},
          {"proxy", violation.proxy},
          {"backend", violation.backend},
          {"what", violation.description}};
}

}  // namespace

Simulation::Simulation(const Scenario& scenario, const RunOptions& options)
    : options_(options),
      end_(EndOf(scenario)),
      world_(scenario, options.seed),
      truth_(world_),
      proxies_(world_, *this,
               [this](std::uint32_t proxy, std::uint64_t seed) { return MakePolicy(proxy, seed); }),
      discovery_(world_, options.seed,
                 [this](std::uint32_t proxy, Event event) { proxies_.Deliver(proxy, std::move(event)); }),
      clients_(world_, options.seed, [this](std::uint32_t slot) { requests_.OnReceived(slot); }),
      requests_(world_, proxies_, clients_),
      attempts_(world_, proxies_, requests_,
                [this](std::uint32_t backend) { faults_.CrashBackend(backend); }),
      probes_(world_, attempts_.backends()),
      membership_(world_,
                  [this](std::uint32_t proxy, Event event) { proxies_.Deliver(proxy, std::move(event)); }),
      connection_sampler_(world_),
      faults_(world_, options.seed,
              {proxies_, requests_, attempts_.backends(), discovery_, clients_, membership_}) {
  world_.traced_request = options.traced_request;
  if (!options.log_folder.empty())
    world_.logs.emplace(options.log_folder, options.log_format, world_.proxies.size());
}

RunResult Simulation::Run() {
  const auto started = std::chrono::steady_clock::now();
  Start();
  while (!world_.queue.empty() && world_.now() <= end_) Dispatch(world_.queue.PopNext());
  RunResult result;
  result.wall_s = std::chrono::duration<double>(std::chrono::steady_clock::now() - started).count();
  result.events = world_.queue.processed();
  result.violations = world_.rules.violation_count();
  result.goodput = world_.metrics.Goodput();
  result.trace = std::move(world_.trace);
  result.json = Json();
  for (const RuleViolation& violation : world_.rules.violations()) {
    if (result.first_violating_request == 0) result.first_violating_request = violation.request;
  }
  return result;
}

void Simulation::Start() {
  for (std::uint32_t p = 0; p < world_.proxies.size(); ++p) proxies_.Start(p, discovery_.Snapshot(p));
  connection_sampler_.Start();
  membership_.Start();
  faults_.Start();
  clients_.Start();
}

// ---- the policies' actions ----------------------------------------------------------------------------

void Simulation::StartAttempt(std::uint32_t proxy, const copperpoint::StartAttempt& action) {
  attempts_.Start(proxy, action);
}

void Simulation::RejectRequest(std::uint32_t proxy, const copperpoint::RejectRequest& action) {
  requests_.Reject(proxy, action);
}

void Simulation::FailRequest(std::uint32_t proxy, const copperpoint::FailRequest& action) {
  requests_.Fail(proxy, action);
}

void Simulation::PollEndpoints(std::uint32_t proxy) { discovery_.Poll(proxy); }

std::unique_ptr<Policy> Simulation::MakePolicy(std::uint32_t proxy, std::uint64_t seed) {
  PolicyContext context;
  context.settings = ProxySettings(world_.scenario, world_.drawn, static_cast<int>(proxy));
  context.seed = seed;
  context.truth = &truth_;
  context.probe = [this, proxy](BackendId backend) { probes_.Send(proxy, backend); };
  return options_.make_policy(options_.policy, std::move(context));
}

// ---- events -------------------------------------------------------------------------------------------

// Releases the reference that the timeout event holds on the request. If the final response is still missing,
// another reference is held until the response slack has elapsed.
void Simulation::OnClientTimeout(std::uint32_t slot) {
  if (attempts_.OnRequestDeadline(slot)) {
    ++world_.RequestAt(slot).references;
    const Micros slack = FromMs(world_.scenario.rules.response_slack_ms);
    world_.queue.Push(world_.now() + slack, EventPriority::kTimeout, kResponseOverdue, 0, slot);
  }
  clients_.OnTimeout(slot);
  world_.Release(slot);
}

// NOLINTNEXTLINE(readability-function-size): one case for each kind of event
void Simulation::Dispatch(const ScheduledEvent& event) {
  const auto slot = static_cast<std::uint32_t>(event.argument);
  switch (static_cast<EventKind>(event.kind)) {
    case kArrival:
      return clients_.OnArrival();
    case kClientSend:
      return clients_.OnSend(slot);
    case kClientTimeout:
      return OnClientTimeout(slot);
    case kFrontEndUpdate:
      return clients_.OnFrontEndUpdate(event.target, event.argument == 1);
    case kResponseOverdue:
      requests_.OnResponseOverdue(slot);
      return world_.Release(slot);
    case kAttemptReceived:
      return attempts_.OnReceived(slot, event.target);
    case kResponse:
      return attempts_.OnResponse(slot, event.target);
    case kConnectFailure:
      return attempts_.OnConnectFailure(slot, event.target);
    case kAttemptTimeout:
      attempts_.OnTimeout(slot, event.target);
      return world_.Release(slot);
    case kAttemptCancelled:
      return attempts_.OnCancelled(slot, event.target);
    case kWorkCompleted:
      return attempts_.backends().OnWorkCompleted(event.target, event.argument);
    case kProxyTimer:
      return proxies_.OnTimer(event.target, event.argument);
    case kProbeReceived:
      return probes_.OnReceived(event.target, event.argument);
    case kProbeResponse:
      return probes_.OnResponse(event.target, event.argument);
    case kChangeDetected:
      return discovery_.OnChangeDetected(event.argument);
    case kEndpointUpdate:
      return discovery_.OnEndpointUpdate(event.target, event.argument);
    case kPollAnswered:
      return discovery_.OnPollAnswered(event.target, event.argument);
    case kPollOverdue:
      return discovery_.OnPollOverdue(event.target, event.argument);
    case kPollFailed:
      return discovery_.OnPollFailed(event.target, event.argument);
    case kFaultStart:
      return faults_.OnFault(event.argument, /*starts=*/true);
    case kFaultEnd:
      return faults_.OnFault(event.argument, /*starts=*/false);
    case kBackendPause:
      return faults_.OnBackendPause(event.target, event.argument);
    case kDrainBackend:
      return faults_.DrainBackend(event.target);
    case kStopBackend:
      return faults_.StopBackend(event.target);
    case kStartBackend:
      return faults_.StartBackend(event.target);
    case kDrainProxy:
      return faults_.DrainProxy(event.target);
    case kStopProxy:
      return faults_.StopProxy(event.target);
    case kStartProxy:
      return faults_.StartProxy(event.target);
    case kMembershipUpdate:
      return membership_.OnUpdate();
    case kConnectionSample:
      return connection_sampler_.OnSample();
  }
}

nlohmann::ordered_json Simulation::Json() const {
  nlohmann::ordered_json json{
      {"scenario", world_.scenario.title}, {"policy", options_.policy}, {"seed", options_.seed}};
  json.update(world_.metrics.Json());
  json["most_open"] = world_.requests.size();  // slots are reused: the maximum open at once
  json["events"] = world_.queue.processed();
  json["rules_broken"] = world_.rules.violation_count();
  auto& violations = json["broken"] = nlohmann::ordered_json::array();
  for (const RuleViolation& violation : world_.rules.violations())
    violations.push_back(ViolationJson(violation));
  return json;
}

}  // namespace copperpoint::simulation
