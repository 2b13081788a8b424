// SPDX-License-Identifier: Apache-2.0
//
// Estimates how much members of one cohort differ from each other beyond chance because they use different
// backends or carry different load. Canaries may differ from the baseline by as much without a regression.
//
// R. DerSimonian and N. Laird, "Meta-analysis in clinical trials", Controlled Clinical Trials 7, 1986: the
// moment estimate (Q - degrees of freedom) / scale, from Cochran's Q. The estimate is uncertain with few
// members; its standard deviation is therefore multiplied by the ratio of Student's quantile to the normal
// one.
#ifndef COPPERPOINT_ROLLOUT_HETEROGENEITY_H_
#define COPPERPOINT_ROLLOUT_HETEROGENEITY_H_

#include <map>

#include "rollout/cohort.h"
#include "rollout/measures.h"

namespace copperpoint::rollout {

using CountsByMember = std::map<int, MeasureCount>;  // The key is the member's rank.

// Returns the variance of a member's event rate, 0 or more. `alpha` is that of the test that will use it.
double BetweenMemberVariance(const PerCohort<CountsByMember>& members, double alpha);

// Returns the variance of the difference between the two cohorts' event rates, given the variance of one
// member's event rate.
double CohortDifferenceVariance(const PerCohort<CountsByMember>& members, double member_variance);

}  // namespace copperpoint::rollout

#endif  // COPPERPOINT_ROLLOUT_HETEROGENEITY_H_
