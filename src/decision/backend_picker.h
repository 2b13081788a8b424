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

// The state that a pick reads. All of it must outlive the picker.
struct PickerInputs {
  const Settings& settings;
  EndpointSet& endpoints;
  const Subset& subset;
  const KeyMemory& key_memory;
  const SlowStart& slow_start;
  const ZoneLocality& zone_locality;
  const LatencyStatistics& latencies;
};

// Picks the backend with the least outstanding work of this proxy; ties are broken at random. The time that
// would be lost at a slow backend and the cost of crossing zones are added to that work. The work that a
// backend is expected to save for the request's key is subtracted. Backends over their slow start budget are
// skipped. Backends that have already had an attempt of the request are ranked last. If no backend is in
// service, an ejected one is picked, so that the request isn't rejected.
//
// The subset is searched first, then all ready backends. Of more than kMaxRanked candidates only a sample is
// ranked, so that the cost of a pick doesn't grow with the number of backends: kSampleSize drawn at random,
// the last kRecentPicks picked, and those that the key was sent to lately. At least one of such a sample is
// nearly always idle, and the recent picks are known to be fast (two choices with memory, Mitzenmacher,
// Prabhakar and Shah 2002). If no backend of the sample can be used, all candidates are ranked.
//
// Owns the list of recent picks. Not thread-safe.
class BackendPicker {
 public:
  explicit BackendPicker(const PickerInputs& inputs) : in_(inputs) {}

  struct Result {
    BackendState* backend = nullptr;      // null: no backend can be used now
    BackendState* over_budget = nullptr;  // first backend that was skipped for its slow start budget, or null
  };
  // Picks a backend for the next attempt of `request`. `deduplication_anchor`: see RetryPolicy::Permission.
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
  std::vector<BackendIndex> recent_;  // ring buffer; the next pick is written at next_recent_ % size
  std::size_t next_recent_ = 0;
};

}  // namespace copperpoint

#endif  // COPPERPOINT_DECISION_BACKEND_PICKER_H_
