// SPDX-License-Identifier: Apache-2.0
//
// Decides which backend an attempt goes to.
#ifndef COPPERPOINT_DECISION_BACKEND_PICKER_H_
#define COPPERPOINT_DECISION_BACKEND_PICKER_H_

#include <cstddef>
#include <optional>
#include <vector>

#include "copperpoint/balancer.h"
#include "decision/backend_state.h"
#include "decision/endpoint_set.h"
#include "decision/key_affinity.h"
#include "decision/latency_statistics.h"
#include "decision/random.h"
#include "decision/request_state.h"
#include "decision/slow_start.h"
#include "decision/subset.h"
#include "decision/zone_locality.h"

namespace copperpoint {

// What a pick reads. All of it outlives the picker.
struct PickerInputs {
  const Settings& settings;
  EndpointSet& endpoints;
  const Subset& subset;
  const KeyMemory& key_memory;
  const SlowStart& slow_start;
  const ZoneLocality& zone_locality;
  const LatencyStatistics& latencies;
};

// Picks the backend with the least outstanding work of this proxy, ties at random. To that work are added the
// time that a slow backend would lose, and what a crossing of zones counts as; a backend that is expected to
// serve the key with less work is preferred by what it saves. Backends over their slow start budget are
// passed over. Those that have had an attempt of the request come last; where no backend is in service, an
// ejected one is picked rather than the request rejected.
//
// Looks in the subset first, then at all ready backends. Of more than kMaxRanked it ranks a sample:
// kSampleSize drawn at random, the last kRecentPicks picked, and those that the key was sent to lately, so
// that a pick doesn't cost more the more backends there are. Of a sample one is nearly always idle; that it
// is fast is known of those picked before (two choices with memory, Mitzenmacher, Prabhakar and Shah 2002).
// Where none of the sample can be used, all are ranked.
//
// Owns the list of recent picks.
class BackendPicker {
 public:
  explicit BackendPicker(const PickerInputs& inputs) : in_(inputs) {}

  struct Result {
    BackendState* backend = nullptr;      // null: none can be used now
    BackendState* over_budget = nullptr;  // the first that was passed over for its slow start budget
  };
  // `deduplication_anchor`: see RetryPolicy::Permission.
  Result Pick(const RequestState& request, std::optional<BackendIndex> deduplication_anchor, TimePoint now,
              Random& random);

 private:
  static constexpr std::size_t kMaxRanked = 64;
  static constexpr int kSampleSize = 12;
  static constexpr std::size_t kRecentPicks = 36;

  struct Search;
  BackendState* PickFrom(const std::vector<BackendIndex>& candidates, Search& search);
  BackendState* PickFromSample(const std::vector<BackendIndex>& candidates, Search& search);
  void Consider(BackendIndex index, Search& search) const;
  bool HasSlowStartBudget(BackendState& backend, const Search& search) const;
  double ScoreOf(const BackendState& backend, BackendIndex index, const Search& search) const;
  void FindPreferredBackends(const std::vector<BackendIndex>& candidates, Search& search) const;
  void Prefetch(BackendIndex index) const;

  const PickerInputs in_;
  std::vector<BackendIndex> recent_;  // a ring buffer, written at next_recent_
  std::size_t next_recent_ = 0;
};

}  // namespace copperpoint

#endif  // COPPERPOINT_DECISION_BACKEND_PICKER_H_
