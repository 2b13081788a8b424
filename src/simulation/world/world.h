// SPDX-License-Identifier: Apache-2.0
//
// The state that the parts of a simulation share: the drawn scenario, the event queue, backends, proxies and
// requests. Each part handles the kinds of events listed under its name below; run/run.cpp dispatches them.
#ifndef COPPERPOINT_SIMULATION_WORLD_WORLD_H_
#define COPPERPOINT_SIMULATION_WORLD_WORLD_H_

#include <fmt/format.h>

#include <deque>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "simulation/core/event_queue.h"
#include "simulation/core/random.h"
#include "simulation/report/metrics.h"
#include "simulation/report/proxy_logs.h"
#include "simulation/world/backend.h"
#include "simulation/world/client_request.h"
#include "simulation/world/drawn_scenario.h"
#include "simulation/world/network.h"
#include "simulation/world/proxy_state.h"
#include "simulation/world/rule_checker.h"

namespace copperpoint::simulation {

// The kinds of events, each with the meaning of its target and argument. "slot" is that of a ClientRequest.
// "| incarnation" means that the upper 32 bits of the argument hold an incarnation.
enum EventKind : std::uint32_t {
  // ClientPopulation
  kArrival,         // no target; a client sends a new logical request
  kClientSend,      // argument: slot of a request that reaches the front end
  kClientTimeout,   // argument: slot; the client abandons this request
  kFrontEndUpdate,  // target: proxy, argument: 1 if it is up, 0 otherwise
  // RequestHandler
  kResponseOverdue,  // argument: slot of a request that must have its final response by now
  // AttemptHandler
  kAttemptReceived,   // target: attempt, bit 31 set on a new connection; argument: slot
  kResponse,          // target: attempt | outcome << 8; argument: slot
  kConnectFailure,    // target: attempt, argument: slot
  kAttemptTimeout,    // target: attempt, argument: slot
  kAttemptCancelled,  // target: attempt, argument: slot; the cancellation reaches the backend
  kWorkCompleted,     // target: backend, argument: slot of the job | incarnation
  // ProxyRuntime
  kProxyTimer,  // target: proxy, argument: token | incarnation
  // ProbeHandler
  kProbeReceived,  // target: proxy, argument: backend | incarnation of the proxy
  kProbeResponse,  // target: proxy, argument: index of the response
  // DiscoveryService
  kChangeDetected,  // argument: index of a change that discovery detects
  kEndpointUpdate,  // target: proxy, argument: its incarnation
  kPollAnswered,    // target: proxy, argument: its incarnation
  kPollOverdue,     // target: proxy, argument: its incarnation; ignored if it has polled since
  kPollFailed,      // target: proxy, argument: its incarnation
  // FaultInjector
  kFaultStart,    // argument: index of the fault
  kFaultEnd,      // argument: index of the fault
  kBackendPause,  // target: backend, argument: index of the fault
  kDrainBackend,  // target: backend
  kStopBackend,   // target: backend
  kStartBackend,  // target: backend
  kDrainProxy,    // target: proxy
  kStopProxy,     // target: proxy
  kStartProxy,    // target: proxy
  // MembershipModel
  kMembershipUpdate,  // no target; the proxies' view of the membership is updated
  // ConnectionSampler
  kConnectionSample,  // no target; the numbers of open connections are recorded
};

// Two 32-bit numbers in one argument of an event: the incarnation is in the upper half.
constexpr std::uint64_t WithIncarnation(std::uint64_t low, std::uint32_t incarnation) {
  return low | static_cast<std::uint64_t>(incarnation) << 32;
}
constexpr std::uint32_t LowHalf(std::uint64_t both) { return static_cast<std::uint32_t>(both); }
constexpr std::uint32_t IncarnationOf(std::uint64_t both) { return static_cast<std::uint32_t>(both >> 32); }

// The faults of attempts that are in force now.
struct AttemptFaults {
  bool poison_active = false;         // requests of the poison key crash the backend that runs them
  double lost_response_share = 0;     // responses that never arrive
  double connection_reset_share = 0;  // attempts that find their connection reset
};

// The parts hold references to the world, which must outlive them. It refers to the scenario, which must
// outlive it in turn.
class World {
 public:
  World(const Scenario& scenario, std::uint64_t seed);

  const Scenario& scenario;
  const DrawnScenario drawn;
  EventQueue queue;
  Network network;
  RuleChecker rules;
  Metrics metrics;
  Random service_random;  // of attempts: variation of their work, errors, lost responses
  std::vector<Backend> backends;
  std::vector<ProxyState> proxies;
  std::deque<ClientRequest> requests;
  AttemptFaults attempt_faults;

  Micros now() const { return queue.now(); }
  // The time as policies see it.
  static TimePoint Time(Micros at) { return TimePoint(kPolicyTimeOrigin + Duration(ToMs(at))); }
  TimePoint time() const { return Time(now()); }

  // Creates a request with one reference and returns its slot.
  std::uint32_t NewRequest();
  ClientRequest& RequestAt(std::uint64_t slot) { return requests[slot]; }
  // Drops a reference to the request. The slot is free after the last one.
  void Release(std::uint32_t slot);
  // The id of the request for its proxy. No id is used twice.
  static RequestId IdOf(std::uint32_t slot, const ClientRequest& request) {
    return static_cast<RequestId>(request.generation) << 32 | slot;
  }
  // The largest number of client retries of a logical request.
  int MaxClientRetries() const {
    return scenario.clients.retry == ClientRetryMode::kNone ? 0 : scenario.clients.retries;
  }
  bool IsClientRetry(const ClientRequest& request) const { return request.retries_left < MaxClientRetries(); }
  // Whether the request's key is the poison key, while that fault is in force.
  bool IsPoison(std::uint64_t key) const {
    return attempt_faults.poison_active && key != 0 && key == drawn.poison_key;
  }
  // Whether the proxy that received the request still runs, in the same incarnation.
  bool ProxyIsRunning(const ClientRequest& request) const {
    const ProxyState& proxy = proxies[request.proxy];
    return proxy.running && proxy.incarnation == request.proxy_incarnation;
  }

  // Adds a line with the virtual time to the trace if the request is the traced one.
  template <typename... Args>
  void Trace(std::uint32_t slot, fmt::format_string<Args...> text, Args&&... args) {
    if (traced_request == 0 || IdOf(slot, requests[slot]) != traced_request) return;
    trace.push_back(
        fmt::format("{:12.3f} ms  {}", ToMs(now()), fmt::format(text, std::forward<Args>(args)...)));
  }
  RequestId traced_request = 0;  // 0: none
  std::vector<std::string> trace;

  // Writes an event to the log of a proxy if logs are written.
  void LogTo(std::uint32_t proxy, std::string_view event, std::initializer_list<log::Field> fields) {
    if (logs) logs->Write(proxy, ToMs(now()), event, fields);
  }
  std::optional<ProxyLogs> logs;

 private:
  // The policies' time at the start of the simulation. Not 0, since policies take time 0 as "never".
  static constexpr Duration kPolicyTimeOrigin{1e9};

  std::vector<std::uint32_t> free_slots_;
};

}  // namespace copperpoint::simulation

#endif  // COPPERPOINT_SIMULATION_WORLD_WORLD_H_
