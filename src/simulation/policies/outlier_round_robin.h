// SPDX-License-Identifier: Apache-2.0
//
// Round robin with the outlier detection of gRFC A50: at every interval, backends whose failure percentage
// exceeds the threshold are ejected for the base ejection time times the multiplier. It uses the gRFC's
// default values and implements the failure percentage algorithm only.
#ifndef COPPERPOINT_SIMULATION_POLICIES_OUTLIER_ROUND_ROBIN_H_
#define COPPERPOINT_SIMULATION_POLICIES_OUTLIER_ROUND_ROBIN_H_

#include <vector>

#include "simulation/policies/simple_pickers.h"

namespace copperpoint::simulation {

class OutlierRoundRobin : public RoundRobin {
 public:
  using RoundRobin::RoundRobin;
  void Resize(std::size_t count) override { hosts_.resize(count); }
  void OnCompleted(TimePoint now, int index, bool success, double duration_ms) override;
  int Pick(TimePoint now, const std::vector<Candidate>& all, const std::vector<int>& ready,
           const std::vector<int>& tried) override;

 private:
  struct Host {
    int successes = 0;  // since the last sweep
    int failures = 0;
    int multiplier = 0;
    bool ejected = false;
    TimePoint ejected_at{};

    int volume() const { return successes + failures; }
  };

  Host& HostAt(int index) { return hosts_[static_cast<std::size_t>(index)]; }
  void Sweep(TimePoint now, const std::vector<int>& ready);
  bool IsOutlier(const Host& host, int qualifying, int ejected, std::size_t ready) const;

  std::vector<Host> hosts_;
  std::vector<int> in_service_;
  TimePoint swept_at_{};
};

}  // namespace copperpoint::simulation

#endif  // COPPERPOINT_SIMULATION_POLICIES_OUTLIER_ROUND_ROBIN_H_
