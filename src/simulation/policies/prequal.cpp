// SPDX-License-Identifier: Apache-2.0
#include "simulation/policies/prequal.h"

#include <algorithm>
#include <utility>

namespace copperpoint::simulation {
namespace {

constexpr int kProbesPerRequest = 2;
constexpr int kMaxUses = 2;
constexpr std::size_t kMaxPool = 16;
constexpr std::size_t kMinPool = 2;  // with fewer responses, a backend is picked at random
constexpr std::size_t kRecentResponses = 64;
constexpr Duration kMaxAge{1000};
constexpr double kHotQuantile = 0.84;

}  // namespace

Prequal::Prequal(std::uint64_t seed, std::function<void(int)> probe)
    : RandomPicker(seed), probe_(std::move(probe)) {}

int Prequal::Pick(TimePoint now, const std::vector<Candidate>& all, const std::vector<int>& ready,
                  const std::vector<int>& tried) {
  if (ready.empty()) return -1;
  for (int k = 0; k < kProbesPerRequest; ++k) probe_(ready[random().Below(ready.size())]);
  DropExpired(now, all);
  Response* best = pool_.size() < kMinPool ? nullptr : Best(tried);
  if (!best) return Draw(ready, tried);
  ++best->uses;
  ++best->in_flight;
  return best->index;
}

void Prequal::DropExpired(TimePoint now, const std::vector<Candidate>& all) {
  std::erase_if(pool_, [&](const Response& response) {
    return now - response.at > kMaxAge || response.uses >= kMaxUses ||
           !all[static_cast<std::size_t>(response.index)].ready;
  });
}

// Returns null if `tried` contains every backend of the pool.
Prequal::Response* Prequal::Best(const std::vector<int>& tried) {
  const int threshold = HotThreshold();
  const auto better = [threshold](const Response& a, const Response& b) {
    const bool a_hot = a.in_flight > threshold;
    const bool b_hot = b.in_flight > threshold;
    if (a_hot != b_hot) return b_hot;
    return a_hot ? a.in_flight < b.in_flight : a.latency_ms < b.latency_ms;
  };
  Response* best = nullptr;
  for (Response& response : pool_) {
    if (WasTried(tried, response.index)) continue;
    if (!best || better(response, *best)) best = &response;
  }
  return best;
}

int Prequal::HotThreshold() const {
  std::vector<int> sorted(recent_in_flight_.begin(), recent_in_flight_.end());
  const auto at = static_cast<std::ptrdiff_t>(kHotQuantile * static_cast<double>(sorted.size() - 1));
  std::nth_element(sorted.begin(), sorted.begin() + at, sorted.end());
  return sorted[static_cast<std::size_t>(at)];
}

void Prequal::OnProbe(TimePoint now, int index, int in_flight, double latency_ms) {
  std::erase_if(pool_, [&](const Response& response) { return response.index == index; });
  if (pool_.size() >= kMaxPool) pool_.pop_front();
  pool_.push_back({index, in_flight, latency_ms, now, 0});
  recent_in_flight_.push_back(in_flight);
  if (recent_in_flight_.size() > kRecentResponses) recent_in_flight_.pop_front();
}

}  // namespace copperpoint::simulation
