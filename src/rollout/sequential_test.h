// SPDX-License-Identifier: Apache-2.0
//
// The sequential test of a rollout: the boundary that a score stays below at all times together, so that the
// canaries may be evaluated as often as one likes.
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

// m of the formula: the variance of a score after about a thousand requests, one in a hundred of them missed.
inline constexpr double kMixtureVariance = 5;

// b(V) of the formula. `variance`: V, 0 or more; `alpha`: above 0 and below 1. The unit is that of the score.
double ScoreBoundary(double variance, double alpha);

// Alpha of one test, such that all tests of a rollout together raise a false alarm with at most
// `false_alarm_probability` (Bonferroni). A test is one of the four measures over all requests of one stage,
// or in one of `segments` (request classes, zones, tenants).
double AlphaPerTest(double false_alarm_probability, std::size_t stages, std::size_t segments);

}  // namespace copperpoint::rollout

#endif  // COPPERPOINT_ROLLOUT_SEQUENTIAL_TEST_H_
