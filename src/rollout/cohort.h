// SPDX-License-Identifier: Apache-2.0
//
// The two cohorts of members that a rollout compares, and a container with one value per cohort.
#ifndef COPPERPOINT_ROLLOUT_COHORT_H_
#define COPPERPOINT_ROLLOUT_COHORT_H_

namespace copperpoint::rollout {

enum class Cohort {
  kBaseline,  // Members that run the old version.
  kCanary,    // Members that run the new version.
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
