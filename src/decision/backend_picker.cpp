// SPDX-License-Identifier: Apache-2.0
#include "decision/backend_picker.h"

#include <algorithm>
#include <array>

#include "decision/proxy_count.h"
#include "decision/relative_latency.h"
#include "decision/retry_policy.h"

namespace copperpoint {
namespace {

// Weight of the time lost at a slow backend, relative to outstanding work.
constexpr double kSlownessWeight = 1;
// A backend that served the request's key lately is credited with this multiple of the request's work.
constexpr double kAffinityWeight = 2;

// A plain loop is faster here: there are few attempts, none at the first pick, and the compiler unrolls
// std::any_of for many.
bool WasAttempted(const RequestState& request, BackendIndex index) {
  for (const AttemptState& attempt : request.attempts) {
    if (attempt.backend == index) return true;
  }
  return false;
}

}  // namespace

// State of one pick: its request and the best backend found so far.
struct BackendPicker::Search {
  const RequestState& request;
  const Endpoint* deduplication_anchor;
  DeduplicationScope deduplication_scope;
  TimePoint now;
  Random& random;

  BackendState* best = nullptr;
  // 0: in service and not attempted before, 1: in service and attempted before; 2 and 3: the same out of
  // service.
  int best_rank = 0;
  double best_score = 0;
  int ties = 0;                 // backends with the best rank and score
  double crossing_work_ms = 0;  // added to the score of backends in other zones
  PreferredBackends preferred{};
  bool any_in_service = false;          // a candidate is in service, with or without slow start budget
  BackendState* over_budget = nullptr;  // the first candidate without slow start budget

  bool best_in_service() const { return best != nullptr && best_rank < 2; }
};

inline bool BackendPicker::HasSlowStartBudget(BackendState& backend, const Search& search) const {
  const double fraction = in_.slow_start.CapacityFraction(backend.endpoint, search.now);
  if (fraction >= 1) return true;
  SlowStart::Budget budget;
  budget.capacity_fraction = fraction;
  budget.in_subset = in_.subset.Contains(backend);
  budget.backends_per_subset_slot =
      static_cast<double>(in_.endpoints.ring().size()) / static_cast<double>(in_.subset.backends().size());
  budget.mean_work_ms = in_.latencies.mean_work_ms();
  return in_.slow_start.HasBudget(backend, search.request.work_ms, budget, search.now);
}

[[gnu::always_inline]] inline double BackendPicker::ScoreOf(const BackendState& backend, BackendIndex index,
                                                            const Search& search) const {
  const RequestState& request = search.request;
  const bool has_affinity = request.key != 0 && (search.preferred.Contains(index) ||
                                                 in_.key_memory.Contains(request.key, index, search.now));
  return backend.outstanding_work_ms +
         kSlownessWeight * request.work_ms * (RelativeLatency::Of(backend.latency, search.now) - 1) -
         (has_affinity ? kAffinityWeight * request.work_ms : 0) +
         (backend.endpoint.zone != in_.settings.zone ? search.crossing_work_ms : 0);
}

// Inlined because a pick calls this for dozens of backends, and a function call would cost as much as the
// function's work.
[[gnu::always_inline]] inline void BackendPicker::Consider(BackendIndex index, Search& search) const {
  BackendState& backend = in_.endpoints[index];
  if (!backend.ready()) return;
  if (search.deduplication_anchor &&
      !RetryPolicy::InDeduplicationScope(search.deduplication_scope, *search.deduplication_anchor,
                                         backend.endpoint))
    return;
  const bool in_service = backend.in_service();
  search.any_in_service |= in_service;
  if (!HasSlowStartBudget(backend, search)) {
    if (!search.over_budget) search.over_budget = &backend;
    return;
  }
  const int rank = 2 * !in_service + WasAttempted(search.request, index);
  const double score = ScoreOf(backend, index, search);
  if (search.best && (rank > search.best_rank || (rank == search.best_rank && score > search.best_score)))
    return;
  const bool tie = search.best && rank == search.best_rank && score == search.best_score;
  search.ties = tie ? search.ties + 1 : 1;
  if (tie && search.random.Below(search.ties) != 0) return;
  search.best = &backend;
  search.best_rank = rank;
  search.best_score = score;
}

BackendPicker::Result BackendPicker::Pick(const RequestState& request,
                                          std::optional<BackendIndex> deduplication_anchor, TimePoint now,
                                          Random& random) {
  Search search{request, deduplication_anchor ? &in_.endpoints[*deduplication_anchor].endpoint : nullptr,
                in_.settings.classes[request.request_class].deduplication_scope, now, random};
  const std::vector<BackendIndex>& all = in_.endpoints.ring().order();
  BackendState* picked = deduplication_anchor ? nullptr : PickFrom(in_.subset.backends(), search);
  if (!picked && (deduplication_anchor || in_.subset.backends().size() < all.size()))
    picked = PickFrom(all, search);
  return {picked, search.over_budget};
}

BackendState* BackendPicker::PickFrom(const std::vector<BackendIndex>& candidates, Search& search) {
  search.best = nullptr;
  search.preferred = {};
  search.crossing_work_ms = in_.zone_locality.CrossingWorkMs(in_.latencies.mean_work_ms(), search.random);
  if (in_.settings.key_affinity && search.request.key != 0 && HasManyProxies(in_.settings) &&
      candidates.size() <= kMaxRanked)
    FindPreferredBackends(candidates, search);
  if (candidates.size() > kMaxRanked) {
    if (BackendState* picked = PickFromSample(candidates, search)) return picked;
  }
  for (const BackendIndex index : candidates) Consider(index, search);
  // If the backends in service lack only slow start budget, the request waits instead of being sent to a
  // backend that is out of service.
  return search.best && !search.best_in_service() && search.any_in_service ? nullptr : search.best;
}

BackendState* BackendPicker::PickFromSample(const std::vector<BackendIndex>& candidates, Search& search) {
  const bool all = &candidates == &in_.endpoints.ring().order();
  const auto consider_candidate = [&](BackendIndex index) {
    if (all || in_.subset.Contains(in_.endpoints[index])) Consider(index, search);
  };
  std::array<BackendIndex, kSampleSize> sample;
  for (BackendIndex& index : sample) {
    index = candidates[search.random.Below(candidates.size())];
    Prefetch(index);
  }
  for (const BackendIndex index : recent_) Prefetch(index);
  for (const BackendIndex index : sample) Consider(index, search);
  for (const BackendIndex index : recent_) consider_candidate(index);
  in_.key_memory.ForLatest(search.request.key, search.now, consider_candidate);
  if (!search.best_in_service()) return nullptr;
  if (recent_.size() < kRecentPicks) recent_.push_back(0);
  recent_[next_recent_++ % recent_.size()] = in_.endpoints.IndexOf(*search.best);
  return search.best;
}

void BackendPicker::FindPreferredBackends(const std::vector<BackendIndex>& candidates, Search& search) const {
  for (const BackendIndex index : candidates) {
    const BackendState& backend = in_.endpoints[index];
    if (!backend.ready() || !backend.in_service()) continue;
    search.preferred.Offer(search.request.key, backend.endpoint.backend, index);
  }
}

// Prefetches a candidate so that the memory accesses of several candidates overlap.
void BackendPicker::Prefetch(BackendIndex index) const {
  const char* const at = reinterpret_cast<const char*>(&in_.endpoints[index]);
  __builtin_prefetch(at);
  __builtin_prefetch(at + 64);
}

}  // namespace copperpoint
