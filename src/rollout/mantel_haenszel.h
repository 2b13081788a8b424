// SPDX-License-Identifier: Apache-2.0
//
// The score of one stratum: how many more events the canaries had than the baseline's rate lets expect, and
// the variance of that if both cohorts are alike. Scores of strata add up, so that what differs between
// strata (a zone's backends, the load at a time of day) does not count.
//
// N. Mantel and W. Haenszel, "Statistical aspects of the analysis of data from retrospective studies of
// disease", Journal of the National Cancer Institute 22, 1959.
#ifndef COPPERPOINT_ROLLOUT_MANTEL_HAENSZEL_H_
#define COPPERPOINT_ROLLOUT_MANTEL_HAENSZEL_H_

#include "rollout/cohort.h"
#include "rollout/measures.h"

namespace copperpoint::rollout {

// With n requests and x events per cohort (0: baseline, 1: canary), n and x their sums:
struct StratumScore {
  double score = 0;     // (n0 x1 - n1 x0) / n
  double variance = 0;  // hypergeometric, or Poisson for attempts
  double weight = 0;    // n1 n0 / n; score / weight is the difference per request

  StratumScore& operator+=(const StratumScore& other) {
    score += other.score;
    variance += other.variance;
    weight += other.weight;
    return *this;
  }
};

// All 0 if a cohort had no request.
StratumScore ScoreStratum(Measure measure, const PerCohort<MeasureCount>& counts);

}  // namespace copperpoint::rollout

#endif  // COPPERPOINT_ROLLOUT_MANTEL_HAENSZEL_H_
