// SPDX-License-Identifier: Apache-2.0
//
// The sequential test of a rollout: a boundary that holds for all evaluations of a score together, so that
// the canaries may be evaluated at any time and any number of times.
//
// A score S_t with increments of mean 0 and a variance process V_t (for a Mantel-Haenszel score: the
// hypergeometric variances of the strata) exceeds
//
//     b(V) = sqrt( (V + m) * log( (V + m) / (m * alpha^2) ) )
//
// at any time t with a probability of at most alpha: Robbins' normal mixture, as given by S. R. Howard,
// A. Ramdas, J. McAuliffe and J. Sekhon, "Time-uniform, nonparametric, nonasymptotic confidence sequences",
// Annals of Statistics 49(2), 2021, equation 14. m is the variance at which the boundary is tightest.
#ifndef COPPERPOINT_ROLLOUT_SEQUENTIAL_TEST_H_
#define COPPERPOINT_ROLLOUT_SEQUENTIAL_TEST_H_

#include <cstddef>

namespace copperpoint::rollout {

// The formula's m: the variance of a score after about 1,000 requests of which 1 % were missed.
inline constexpr double kMixtureVariance = 5;

// Returns the formula's b(V) in the unit of the score. `variance` is V, 0 or more; `alpha` is in (0, 1).
double ScoreBoundary(double variance, double alpha);

// Returns the alpha of one test, such that all tests of a rollout together raise a false alarm with a
// probability of at most `false_alarm_probability` (Bonferroni correction). A test covers one of the four
// measures in one stage, over all requests or over those of one of `segments` (request classes, zones,
// tenants).
double AlphaPerTest(double false_alarm_probability, std::size_t stages, std::size_t segments);

}  // namespace copperpoint::rollout

#endif  // COPPERPOINT_ROLLOUT_SEQUENTIAL_TEST_H_
