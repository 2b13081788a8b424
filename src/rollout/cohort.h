// SPDX-License-Identifier: Apache-2.0
//
// The two groups of members that a rollout compares, and a pair of values with one for each.
#ifndef COPPERPOINT_ROLLOUT_COHORT_H_
#define COPPERPOINT_ROLLOUT_COHORT_H_

namespace copperpoint::rollout {

enum class Cohort {
  kBaseline,  // members at the old version
  kCanary,    // members at the new version
};
inline constexpr Cohort kCohorts[] = {Cohort::kBaseline, Cohort::kCanary};

template <typename Value>
struct PerCohort {
  Value baseline{}, canary{};

  Value& operator[](Cohort cohort) { return cohort == Cohort::kCanary ? canary : baseline; }
  const Value& operator[](Cohort cohort) const { return cohort == Cohort::kCanary ? canary : baseline; }
};

}  // namespace copperpoint::rollout

#endif  // COPPERPOINT_ROLLOUT_COHORT_H_
