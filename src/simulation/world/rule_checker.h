// SPDX-License-Identifier: Apache-2.0
//
// Checks the four rules of service, using only the observed events. It shares no code with the decision
// module and does not depend on how that decides:
//   1. each request that a running proxy received gets exactly one final response, no later than the response
//      slack after its timeout;
//   2. a request that is not idempotent is neither sent again nor rejected once it may have been executed;
//   3. no new attempt is sent to a backend later than the grace period after the update that it drains or
//      was removed;
//   4. no backend in slow start is overloaded by proxies that knew of its start.
#ifndef COPPERPOINT_SIMULATION_WORLD_RULE_CHECKER_H_
#define COPPERPOINT_SIMULATION_WORLD_RULE_CHECKER_H_

#include <boost/unordered/unordered_flat_map.hpp>
#include <cstdint>
#include <string>
#include <vector>

#include "simulation/core/event_queue.h"

namespace copperpoint::simulation {

// The values are the numbers of the rules above.
enum class Rule : int { kOneResponse = 1, kRunOnce = 2, kDrain = 3, kSlowStart = 4 };

struct RuleViolation {
  Rule rule = Rule::kOneResponse;
  Micros at = 0;
  std::uint64_t request = 0;  // 0: the violation does not concern a request
  std::uint32_t proxy = 0;
  std::uint32_t backend = 0;
  std::string description;
};

// What is known of the attempts of a request so far.
struct AttemptHistory {
  bool idempotent = true;
  bool may_have_run = false;  // an earlier attempt is in flight, or ended and may have been executed
};

class RuleChecker {
 public:
  static constexpr std::size_t kMaxReported = 100;  // violations kept with their description; all are counted

  explicit RuleChecker(double drain_grace_ms) : drain_grace_(FromMs(drain_grace_ms)) {}

  // A proxy receives an update about a backend at `at`, or counts as having received it. `usable`: the
  // backend neither drains nor was removed.
  void OnEndpointUpdate(std::uint32_t proxy, std::uint32_t backend, bool usable, Micros at);
  // A new incarnation of the proxy starts, which has received no updates yet.
  void OnProxyStarted(std::uint32_t proxy);

  // `has_response`: the request already had its final response.
  void OnAttemptStarted(Micros now, std::uint64_t request, std::uint32_t proxy, std::uint32_t backend,
                        const AttemptHistory& history, bool has_response);
  void OnRejected(Micros now, std::uint64_t request, std::uint32_t proxy, const AttemptHistory& history);
  void OnResponse(Micros now, std::uint64_t request, std::uint32_t proxy, bool has_response);
  void OnResponseOverdue(Micros now, std::uint64_t request, std::uint32_t proxy);
  // A backend starts to execute a request that is not idempotent; `times`: how often this has now happened.
  void OnExecution(Micros now, std::uint64_t request, std::uint32_t backend, int times);
  // A backend in slow start is overloaded. `informed_share`: share of the work that overloaded it which was
  // sent by proxies that knew of its start.
  void OnOverload(Micros now, std::uint32_t backend, double informed_share);

  std::int64_t violation_count() const { return violation_count_; }
  const std::vector<RuleViolation>& violations() const { return violations_; }

 private:
  void Report(RuleViolation violation);

  Micros drain_grace_;
  // By proxy and backend: when the proxy learned that the backend drains or was removed.
  boost::unordered_flat_map<std::uint64_t, Micros> unusable_since_;
  std::vector<RuleViolation> violations_;
  std::int64_t violation_count_ = 0;
};

}  // namespace copperpoint::simulation

#endif  // COPPERPOINT_SIMULATION_WORLD_RULE_CHECKER_H_
