// SPDX-License-Identifier: Apache-2.0
//
// Prequal (Wydrowski et al., NSDI 2024): sends probes asynchronously and keeps a pool of their responses. A
// response is hot if its requests in flight exceed a quantile of the recent responses. The backend with the
// lowest latency among those not hot is picked or, if all are hot, the one with the fewest requests in
// flight. A response is used a limited number of times.
#ifndef COPPERPOINT_SIMULATION_POLICIES_PREQUAL_H_
#define COPPERPOINT_SIMULATION_POLICIES_PREQUAL_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <vector>

#include "simulation/policies/simple_pickers.h"

namespace copperpoint::simulation {

class Prequal : public RandomPicker {
 public:
  Prequal(std::uint64_t seed, std::function<void(int index)> probe);
  int Pick(TimePoint now, const std::vector<Candidate>& all, const std::vector<int>& ready,
           const std::vector<int>& tried) override;
  void OnProbe(TimePoint now, int index, int in_flight, double latency_ms) override;

 private:
  struct Response {
    int index = 0;
    int in_flight = 0;
    double latency_ms = 0;
    TimePoint at{};
    int uses = 0;
  };

  void DropExpired(TimePoint now, const std::vector<Candidate>& all);
  Response* Best(const std::vector<int>& tried);
  int HotThreshold() const;

  std::function<void(int)> probe_;
  std::deque<Response> pool_;
  std::deque<int> recent_in_flight_;
};

}  // namespace copperpoint::simulation

#endif  // COPPERPOINT_SIMULATION_POLICIES_PREQUAL_H_
