// SPDX-License-Identifier: Apache-2.0
#include "rollout/mantel_haenszel.h"

namespace copperpoint::rollout {
namespace {

// `n` requests have `x` events; `weight` is that of StratumScore.
double HypergeometricVariance(double n, double x, double weight) {
  return n > 1 ? x * (n - x) / n * weight / (n - 1) : 0;
}

}  // namespace

StratumScore ScoreStratum(Measure measure, const PerCohort<MeasureCount>& counts) {
  const MeasureCount &baseline = counts.baseline, &canary = counts.canary;
  if (baseline.requests <= 0 || canary.requests <= 0) return {};
  const double n = baseline.requests + canary.requests, x = baseline.events + canary.events;
  StratumScore result;
  result.score = (baseline.requests * canary.events - canary.requests * baseline.events) / n;
  result.weight = baseline.requests * canary.requests / n;
  // A request may have any number of further attempts, but at most one event of each other measure.
  result.variance =
      measure == Measure::kAttempts ? x * result.weight / n : HypergeometricVariance(n, x, result.weight);
  return result;
}

}  // namespace copperpoint::rollout
