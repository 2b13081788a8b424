// SPDX-License-Identifier: Apache-2.0
//
// Judges whether the four rules of service were kept, from what happened alone. It shares no code with the
// decision module and knows nothing of how it decides:
//   1. each request that a living proxy took gets one final answer, no later than the slack after its try;
//   2. what is unsafe to repeat is not sent again, nor refused, once it may have run;
//   3. nothing new goes to a backend later than the grace after the news that it drains or is gone;
//   4. no cold backend is pushed over by proxies that knew of its start.
#ifndef COPPERPOINT_SIMULATION_WORLD_OBSERVER_H_
#define COPPERPOINT_SIMULATION_WORLD_OBSERVER_H_

#include <boost/unordered/unordered_flat_map.hpp>
#include <cstdint>
#include <string>
#include <vector>

#include "simulation/core/queue.h"

namespace copperpoint::simulation {

enum class Rule : int { kOneAnswer = 1, kRunOnce = 2, kDrain = 3, kCold = 4 };

struct Broken {
  Rule rule = Rule::kOneAnswer;
  Micros at = 0;
  std::uint64_t request = 0;  // 0: not about one
  std::uint32_t proxy = 0, backend = 0;
  std::string what;
};

class Observer {
 public:
  static constexpr std::size_t kMostKept = 100;  // broken rules told in full; all are counted

  explicit Observer(double drain_grace_ms) : grace_(FromMs(drain_grace_ms)) {}

  struct Attempts {
    bool unsafe = false;
    bool may_have_run = false;  // some earlier attempt is out or has no proof
  };

  // The news that a proxy got of a backend, or counts as having got at `at`.
  void Told(std::uint32_t proxy, std::uint32_t backend, bool usable, Micros at);
  void ProxyStarted(std::uint32_t proxy);

  void Dispatched(Micros now, std::uint64_t request, std::uint32_t proxy, std::uint32_t backend,
                  const Attempts& before, bool already_final);
  void Refused(Micros now, std::uint64_t request, std::uint32_t proxy, const Attempts& attempts);
  void Answered(Micros now, std::uint64_t request, std::uint32_t proxy, bool again);
  void Unanswered(Micros now, std::uint64_t request, std::uint32_t proxy);
  // An attempt of an unsafe request began to run for the `times`-th time.
  void Ran(Micros now, std::uint64_t request, std::uint32_t backend, int times);
  void FellOver(Micros now, std::uint32_t backend, double told_share);

  std::int64_t count() const { return count_; }
  const std::vector<Broken>& broken() const { return broken_; }

 private:
  void Break(Broken broken);

  Micros grace_;
  // Since when a proxy has known that a backend is not to be used.
  boost::unordered_flat_map<std::uint64_t, Micros> barred_;
  std::vector<Broken> broken_;
  std::int64_t count_ = 0;
};

}  // namespace copperpoint::simulation

#endif  // COPPERPOINT_SIMULATION_WORLD_OBSERVER_H_
