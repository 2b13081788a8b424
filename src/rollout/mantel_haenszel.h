// SPDX-License-Identifier: Apache-2.0
//
// The score of one stratum is the number of events that the canaries had beyond those expected from the rate
// of both cohorts together; its variance is that of two cohorts with the same rate. Scores of strata add up,
// so that differences between strata (a zone's backends, the load at a time of day) have no influence.
//
// N. Mantel and W. Haenszel, "Statistical aspects of the analysis of data from retrospective studies of
// disease", Journal of the National Cancer Institute 22, 1959.
#ifndef COPPERPOINT_ROLLOUT_MANTEL_HAENSZEL_H_
#define COPPERPOINT_ROLLOUT_MANTEL_HAENSZEL_H_

#include "rollout/cohort.h"
#include "rollout/measures.h"

namespace copperpoint::rollout {

// The baseline has n0 requests with x0 events and the canaries have n1 with x1; n = n0 + n1, x = x0 + x1.
struct StratumScore {
  double score = 0;     // (n0 x1 - n1 x0) / n
  double variance = 0;  // Hypergeometric, or Poisson for Measure::kAttempts.
  double weight = 0;    // n1 n0 / n; score / weight is the difference in events per request.

  StratumScore& operator+=(const StratumScore& other) {
    score += other.score;
    variance += other.variance;
    weight += other.weight;
    return *this;
  }
};

// Returns a score of which all fields are 0 if a cohort had no request.
StratumScore ScoreStratum(Measure measure, const PerCohort<MeasureCount>& counts);

}  // namespace copperpoint::rollout

#endif  // COPPERPOINT_ROLLOUT_MANTEL_HAENSZEL_H_
