// SPDX-License-Identifier: Apache-2.0
#include "rollout/canary_analysis.h"

#include <algorithm>

#include "rollout/sequential_test.h"

namespace copperpoint::rollout {
namespace {

constexpr std::size_t kMinSegments = 8;  // Alpha is divided among at least this many segments.

bool HasBothCohorts(const PerCohort<MeasureCounts>& counts) {
  return counts.baseline[Measure::kMissed].requests > 0 && counts.canary[Measure::kMissed].requests > 0;
}

}  // namespace

CanaryAnalysis::CanaryAnalysis(const Guardrails& guardrails, std::size_t stages,
                               const std::vector<MemberInfo>& members)
    : guardrails_(guardrails), stages_(stages) {
  for (const MemberInfo& member : members) {
    auto zone = std::find(zones_.begin(), zones_.end(), member.zone);
    if (zone == zones_.end()) zone = zones_.insert(zones_.end(), member.zone);
    zone_of_rank_.push_back(static_cast<std::uint32_t>(zone - zones_.begin()));
  }
}

void CanaryAnalysis::StartStage() {
  window_.clear();
  latencies_.clear();
  window_latencies_.clear();
  tests_.clear();
  totals_ = {};
  canary_requests_ = 0;
}

void CanaryAnalysis::Add(int rank, Cohort cohort, const wire::Stratum& increase) {
  CohortTotals& totals = totals_[cohort];
  totals.requests += static_cast<double>(increase.requests());
  totals.missed += static_cast<double>(increase.missed());
  totals.rejected += static_cast<double>(increase.rejected());
  totals.failed += static_cast<double>(increase.failed());
  totals.attempts += static_cast<double>(increase.attempts());
  if (cohort == Cohort::kCanary) canary_requests_ += increase.requests();

  const std::uint32_t request_class = increase.request_class();
  const auto latencies = latencies_.find(request_class);
  const LatencyThresholds thresholds =
      latencies == latencies_.end() ? LatencyThresholds{} : ThresholdsOf(latencies->second);
  if (cohort == Cohort::kBaseline) window_latencies_[request_class].Add(increase);
  Count(rank, cohort, {zone_of_rank_[static_cast<std::size_t>(rank)], request_class, increase.tenant()},
        CountMeasures(increase, thresholds));
}

std::vector<CanaryAnalysis::Segment> CanaryAnalysis::SegmentsOf(const StratumKey& stratum) {
  std::vector<Segment> segments{{SegmentKind::kAll, 0},
                                {SegmentKind::kRequestClass, stratum.request_class},
                                {SegmentKind::kZone, stratum.zone}};
  if (stratum.tenant != 0) segments.push_back({SegmentKind::kTenant, stratum.tenant});
  return segments;
}

void CanaryAnalysis::Count(int rank, Cohort cohort, const StratumKey& stratum, const MeasureCounts& counts) {
  window_[stratum][cohort] += counts;
  for (const Segment& segment : SegmentsOf(stratum))
    for (const Measure measure : kAllMeasures)
      if (counts[measure].requests > 0) tests_[{segment, measure}].members[cohort][rank] += counts[measure];
}

bool CanaryAnalysis::ZoneHasBothCohorts(std::uint32_t zone) const {
  const auto test = tests_.find({Segment{SegmentKind::kZone, zone}, Measure::kMissed});
  if (test == tests_.end()) return false;
  const PerCohort<CountsByMember>& members = test->second.members;
  return !members.baseline.empty() && !members.canary.empty();
}

void CanaryAnalysis::Score(const CohortCounts& counts, const std::vector<Segment>& segments) {
  for (const Measure measure : kAllMeasures) {
    const PerCohort<MeasureCount> of_measure{counts.baseline[measure], counts.canary[measure]};
    if (of_measure.baseline.requests <= 0 || of_measure.canary.requests <= 0) continue;
    const StratumScore score = ScoreStratum(measure, of_measure);
    for (const Segment& segment : segments) tests_[{segment, measure}].sum += score;
  }
}

// A stratum with requests to both cohorts is scored separately. The requests of a zone with members of only
// one cohort are scored together with those of the other such zones, by request class. Any other stratum
// stays in the window until both cohorts have received requests.
void CanaryAnalysis::EndWindow() {
  std::map<std::uint32_t, CohortCounts> single_cohort;  // The key is the request class.
  for (auto at = window_.begin(); at != window_.end();) {
    const auto& [stratum, counts] = *at;
    if (HasBothCohorts(counts)) {
      Score(counts, SegmentsOf(stratum));
    } else if (ZoneHasBothCohorts(stratum.zone)) {
      ++at;
      continue;
    } else {
      CohortCounts& sum = single_cohort[stratum.request_class];
      for (const Cohort cohort : kCohorts) sum[cohort] += counts[cohort];
    }
    at = window_.erase(at);
  }
  for (const auto& [request_class, counts] : single_cohort)
    Score(counts, {{SegmentKind::kAll, 0}, {SegmentKind::kRequestClass, request_class}});
  for (const auto& [request_class, latencies] : window_latencies_) latencies_[request_class].Add(latencies);
  window_latencies_.clear();
}

double CanaryAnalysis::AlphaOfTests() const {
  std::size_t segments = 0;
  for (const auto& [key, test] : tests_)
    segments += key.second == Measure::kMissed && key.first.kind != SegmentKind::kAll;
  return AlphaPerTest(guardrails_.false_alarm_probability, stages_, std::max(kMinSegments, segments));
}

std::optional<Regression> CanaryAnalysis::Evaluate(const Segment& segment, Measure measure, const Test& test,
                                                   double alpha) const {
  const auto& [score, variance, weight] = test.sum;
  if (weight <= 0 || score <= 0) return std::nullopt;
  const double difference = score / weight;
  if (difference < MinDifference(measure, guardrails_)) return std::nullopt;
  const double between_members =
      CohortDifferenceVariance(test.members, BetweenMemberVariance(test.members, alpha));
  const double boundary = ScoreBoundary(variance + between_members * weight * weight, alpha);
  if (score <= boundary) return std::nullopt;
  return Regression{measure, NameOf(segment), difference, score, boundary};
}

std::optional<Regression> CanaryAnalysis::FindRegression() const {
  const double alpha = AlphaOfTests();
  std::optional<Regression> greatest;
  for (const auto& [key, test] : tests_) {
    auto regression = Evaluate(key.first, key.second, test, alpha);
    if (!regression) continue;
    if (!greatest || regression->score / regression->boundary > greatest->score / greatest->boundary)
      greatest = std::move(regression);
  }
  return greatest;
}

std::string CanaryAnalysis::NameOf(const Segment& segment) const {
  switch (segment.kind) {
    case SegmentKind::kAll:
      return "all";
    case SegmentKind::kRequestClass:
      return "class " + std::to_string(segment.id);
    case SegmentKind::kZone:
      return "zone " + zones_[segment.id];
    case SegmentKind::kTenant:
      return "account " + std::to_string(segment.id);
  }
  return "unknown";
}

}  // namespace copperpoint::rollout
