// SPDX-License-Identifier: Apache-2.0
//
// Estimates how much members of one cohort differ from each other beyond chance, since they use other
// backends or carry other load. Canaries may differ from the baseline by as much without a regression.
//
// R. DerSimonian and N. Laird, "Meta-analysis in clinical trials", Controlled Clinical Trials 7, 1986: the
// moment estimate (Q - degrees of freedom) / scale, from Cochran's Q. With few members it is uncertain; the
// standard deviation is multiplied by the ratio of Student's quantile to the normal one.
#ifndef COPPERPOINT_ROLLOUT_HETEROGENEITY_H_
#define COPPERPOINT_ROLLOUT_HETEROGENEITY_H_

#include <map>

#include "rollout/cohort.h"
#include "rollout/measures.h"

namespace copperpoint::rollout {

using CountsByMember = std::map<int, MeasureCount>;  // by rank

// The variance of a member's event rate, 0 or more; `alpha`: of the test that it is for.
double BetweenMemberVariance(const PerCohort<CountsByMember>& members, double alpha);

// The variance of the difference of both cohorts' rates, where that of a member's rate is `member_variance`.
double CohortDifferenceVariance(const PerCohort<CountsByMember>& members, double member_variance);

}  // namespace copperpoint::rollout

#endif  // COPPERPOINT_ROLLOUT_HETEROGENEITY_H_
