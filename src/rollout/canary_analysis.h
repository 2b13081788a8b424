// SPDX-License-Identifier: Apache-2.0
//
// The canary analysis of one stage decides whether the upgraded members perform worse than the others, at the
// same time and on the same kind of traffic. It may be evaluated at any time; the probability of a false
// alarm holds over all evaluations together.
//
// Counts are scored per stratum (mantel_haenszel.h) and window. The sums are compared with a boundary that is
// valid at all times (sequential_test.h), which is wider where members of one cohort differ from each other
// (heterogeneity.h).
#ifndef COPPERPOINT_ROLLOUT_CANARY_ANALYSIS_H_
#define COPPERPOINT_ROLLOUT_CANARY_ANALYSIS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "rollout.pb.h"
#include "rollout/cohort.h"
#include "rollout/heterogeneity.h"
#include "rollout/latency_histogram.h"
#include "rollout/mantel_haenszel.h"
#include "rollout/measures.h"
#include "rollout/plan.h"

namespace copperpoint::rollout {

// A measure by which the canaries are worse than the baseline, beyond chance and by at least MinDifference.
struct Regression {
  Measure measure = Measure::kMissed;
  std::string segment;    // "all", "class 2", "zone a" or "account 7"
  double difference = 0;  // Events per request at the canaries, minus those at the baseline.
  double score = 0, boundary = 0;
};

// Owns the counts of the current stage.
class CanaryAnalysis {
 public:
  // Numbers since the start of the stage; `missed`: requests not served before the deadline, for any cause.
  struct CohortTotals {
    double requests = 0, missed = 0, rejected = 0, failed = 0, attempts = 0;
  };

  // `stages` is the number of stages of the plan; `members` are the rollout's members, by rank. `guardrails`
  // must outlive the analysis.
  CanaryAnalysis(const Guardrails& guardrails, std::size_t stages, const std::vector<MemberInfo>& members);

  // Resets all counts.
  void StartStage();
  // Adds `increase`, the counts of the member with that rank since the previous call.
  void Add(int rank, Cohort cohort, const wire::Stratum& increase);
  // Scores the counts that were added since the end of the previous window.
  void EndWindow();

  // Returns the regression that exceeds its boundary by the greatest factor; nothing if there is none.
  std::optional<Regression> FindRegression() const;
  std::uint64_t canary_requests() const { return canary_requests_; }
  const CohortTotals& totals(Cohort cohort) const { return totals_[cohort]; }

 private:
  // A segment is a group of requests that is compared separately.
  enum class SegmentKind { kAll, kRequestClass, kZone, kTenant };
  struct Segment {
    SegmentKind kind = SegmentKind::kAll;
    std::uint32_t id = 0;  // The id of the request class or tenant, or the zone's index in zones_.
    bool operator<(const Segment& other) const { return std::tie(kind, id) < std::tie(other.kind, other.id); }
  };
  struct StratumKey {
    std::uint32_t zone = 0, request_class = 0, tenant = 0;
    bool operator<(const StratumKey& other) const {
      return std::tie(zone, request_class, tenant) < std::tie(other.zone, other.request_class, other.tenant);
    }
  };
  struct Test {
    StratumScore sum;
    PerCohort<CountsByMember> members;
  };
  using CohortCounts = PerCohort<MeasureCounts>;

  static std::vector<Segment> SegmentsOf(const StratumKey& stratum);
  void Count(int rank, Cohort cohort, const StratumKey& stratum, const MeasureCounts& counts);
  bool ZoneHasBothCohorts(std::uint32_t zone) const;
  void Score(const CohortCounts& counts, const std::vector<Segment>& segments);
  std::optional<Regression> Evaluate(const Segment& segment, Measure measure, const Test& test,
                                     double alpha) const;
  double AlphaOfTests() const;
  std::string NameOf(const Segment& segment) const;

  const Guardrails& guardrails_;
  const std::size_t stages_;
  std::vector<std::uint32_t> zone_of_rank_;  // Indexes into zones_.
  std::vector<std::string> zones_;

  PerCohort<CohortTotals> totals_;
  std::uint64_t canary_requests_ = 0;
  std::map<StratumKey, CohortCounts> window_;  // Counts that are not scored yet.
  // The baseline's latencies by request class, of the earlier windows and of this one. The thresholds for a
  // window come from the earlier windows.
  std::map<std::uint32_t, LatencyHistogram> latencies_, window_latencies_;
  std::map<std::pair<Segment, Measure>, Test> tests_;
};

}  // namespace copperpoint::rollout

#endif  // COPPERPOINT_ROLLOUT_CANARY_ANALYSIS_H_
