// SPDX-License-Identifier: Apache-2.0
//
// Tests the parts of the canary analysis: latency buckets, measures, the score of a stratum, and the variance
// between members of a cohort.
#include <gtest/gtest.h>

#include "rollout/heterogeneity.h"
#include "rollout/latency_histogram.h"
#include "rollout/mantel_haenszel.h"
#include "rollout/measures.h"

namespace copperpoint::rollout {
namespace {

wire::Stratum StratumWithLatencies(std::initializer_list<std::uint32_t> buckets) {
  wire::Stratum stratum;
  for (const std::uint32_t requests : buckets) stratum.add_latency_buckets(requests);
  return stratum;
}

// Guards against changed bounds: members of different program versions compare these buckets.
TEST(LatencyBuckets, HaveTheirFixedBounds) {
  EXPECT_EQ(kLatencyBuckets, 33u);
  EXPECT_EQ(LatencyBucketOf(0), 0u);
  EXPECT_EQ(LatencyBucketOf(1), 0u);
  EXPECT_EQ(LatencyBucketOf(1.01), 1u);
  EXPECT_EQ(LatencyBucketOf(1.25), 1u);
  EXPECT_EQ(LatencyBucketOf(1.26), 2u);
  EXPECT_EQ(LatencyBucketOf(1.5625), 2u);
  EXPECT_EQ(LatencyBucketOf(100), 21u);
  EXPECT_EQ(LatencyBucketOf(1e9), 32u);
}

TEST(LatencyHistogram, FindsTheBucketWithAFractionAbove) {
  LatencyHistogram histogram;
  histogram.Add(StratumWithLatencies({50, 30, 15, 5}));
  EXPECT_EQ(histogram.BucketWithFractionAbove(0.5), 0);
  EXPECT_EQ(histogram.BucketWithFractionAbove(0.2), 1);
  EXPECT_EQ(histogram.BucketWithFractionAbove(0.05), 2);
  EXPECT_EQ(histogram.BucketWithFractionAbove(0), 3);
}

TEST(LatencyHistogram, WithFewRequestsFindsNothing) {
  LatencyHistogram histogram, more;
  histogram.Add(StratumWithLatencies({30, 19}));
  EXPECT_EQ(histogram.BucketWithFractionAbove(0.5), std::nullopt);
  more.Add(StratumWithLatencies({1}));
  histogram.Add(more);
  EXPECT_EQ(histogram.BucketWithFractionAbove(0.5), 0);
}

TEST(Measures, CountMissedRequestsFurtherAttemptsAndSlowResponses) {
  wire::Stratum stratum = StratumWithLatencies({50, 30, 20});
  stratum.set_requests(110);
  stratum.set_missed(10);
  stratum.set_attempts(115);
  const MeasureCounts counts = CountMeasures(stratum, {.median = 0, .tail = 1});
  EXPECT_EQ(counts[Measure::kMissed].requests, 110);
  EXPECT_EQ(counts[Measure::kMissed].events, 10);
  EXPECT_EQ(counts[Measure::kAttempts].events, 5);
  EXPECT_EQ(counts[Measure::kAboveMedian].requests, 100);
  EXPECT_EQ(counts[Measure::kAboveMedian].events, 50);
  EXPECT_EQ(counts[Measure::kAboveTail].events, 20);
}

TEST(Measures, WithoutABaselineLatenciesDoNotCount) {
  const MeasureCounts counts = CountMeasures(StratumWithLatencies({50}), {});
  EXPECT_EQ(counts[Measure::kAboveMedian].requests, 0);
  EXPECT_EQ(counts[Measure::kAboveTail].requests, 0);
}

TEST(Measures, HalfOfAGuardrailIsTheMinimumDifferenceThatStops) {
  const Guardrails guardrails{.missed_fraction = 0.2,
                              .above_median_fraction = 0.4,
                              .above_tail_fraction = 0.06,
                              .attempts_per_request = 1};
  EXPECT_DOUBLE_EQ(MinDifference(Measure::kMissed, guardrails), 0.1);
  EXPECT_DOUBLE_EQ(MinDifference(Measure::kAboveMedian, guardrails), 0.2);
  EXPECT_DOUBLE_EQ(MinDifference(Measure::kAboveTail, guardrails), 0.03);
  EXPECT_DOUBLE_EQ(MinDifference(Measure::kAttempts, guardrails), 0.5);
}

TEST(Measures, NamesAreThoseOfLogAndHistory) {
  EXPECT_STREQ(NameOf(Measure::kMissed), "missed");
  EXPECT_STREQ(NameOf(Measure::kAboveMedian), "slow");
  EXPECT_STREQ(NameOf(Measure::kAboveTail), "tail");
  EXPECT_STREQ(NameOf(Measure::kAttempts), "attempts");
}

TEST(MantelHaenszel, ScoreIsTheExcessOverTheBaselinesRate) {
  // 100 requests each, 10 and 20 events: n = 200, x = 30.
  const StratumScore score = ScoreStratum(Measure::kMissed, {{100, 10}, {100, 20}});
  EXPECT_DOUBLE_EQ(score.score, 5);
  EXPECT_DOUBLE_EQ(score.weight, 50);
  EXPECT_DOUBLE_EQ(score.score / score.weight, 0.1);
  EXPECT_DOUBLE_EQ(score.variance, 30.0 * 170 / 200 * 50 / 199);
}

TEST(MantelHaenszel, AttemptsHaveThePoissonVariance) {
  EXPECT_DOUBLE_EQ(ScoreStratum(Measure::kAttempts, {{100, 10}, {100, 20}}).variance, 30.0 * 50 / 200);
}

TEST(MantelHaenszel, StratumWithoutRequestsToACohortScoresNothing) {
  const StratumScore score = ScoreStratum(Measure::kMissed, {{0, 0}, {100, 50}});
  EXPECT_EQ(score.score, 0);
  EXPECT_EQ(score.weight, 0);
}

TEST(Heterogeneity, MembersThatAreAlikeDoNotDiffer) {
  const PerCohort<CountsByMember> members{{{0, {1000, 20}}, {1, {1000, 21}}, {2, {1000, 19}}},
                                          {{3, {1000, 50}}}};
  EXPECT_EQ(BetweenMemberVariance(members, 0.01), 0);
}

TEST(Heterogeneity, MembersThatDifferBeyondChanceWidenTheBoundary) {
  const PerCohort<CountsByMember> members{{{0, {1000, 10}}, {1, {1000, 60}}, {2, {1000, 110}}},
                                          {{3, {1000, 50}}}};
  const double variance = BetweenMemberVariance(members, 0.01);
  // The rates are 0.01, 0.06 and 0.11. Their variance is 0.0025; the result is greater, as it is estimated
  // from only three members.
  EXPECT_GT(variance, 0.0025);
  EXPECT_GT(BetweenMemberVariance(members, 0.001), variance);
  // One cohort is the mean of three equal members, the other is a single member.
  EXPECT_NEAR(CohortDifferenceVariance(members, variance), variance * (1.0 / 3 + 1), 1e-12);
}

TEST(Heterogeneity, OfSingleMembersIsUnknownAndTakenForNone) {
  const PerCohort<CountsByMember> members{{{0, {1000, 10}}}, {{3, {1000, 50}}}};
  EXPECT_EQ(BetweenMemberVariance(members, 0.01), 0);
  EXPECT_EQ(CohortDifferenceVariance(members, 0), 0);
}

}  // namespace
}  // namespace copperpoint::rollout
