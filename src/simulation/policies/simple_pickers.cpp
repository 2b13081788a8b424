// SPDX-License-Identifier: Apache-2.0
#include "simulation/policies/simple_pickers.h"

#include <algorithm>

namespace copperpoint::simulation {
namespace {

constexpr int kMaxDraws = 4;
constexpr std::uint64_t kMaxRoundRobinStart = 1u << 20;
constexpr double kAlreadyTriedPenalty = 1e6;  // requests in flight

}  // namespace

bool WasTried(const std::vector<int>& tried, int index) {
  return std::find(tried.begin(), tried.end(), index) != tried.end();
}

RandomPicker::RandomPicker(std::uint64_t seed) : random_(seed, "rival") {}

int RandomPicker::Pick(TimePoint /*now*/, const std::vector<Candidate>& /*all*/,
                       const std::vector<int>& ready, const std::vector<int>& tried) {
  return Draw(ready, tried);
}

int RandomPicker::Draw(const std::vector<int>& ready, const std::vector<int>& tried) {
  if (ready.empty()) return -1;
  int index = -1;
  for (int k = 0; k < kMaxDraws; ++k) {
    index = ready[random_.Below(ready.size())];
    if (!WasTried(tried, index)) break;
  }
  return index;
}

RoundRobin::RoundRobin(std::uint64_t seed) : next_(Random(seed, "rival").Below(kMaxRoundRobinStart)) {}

int RoundRobin::Pick(TimePoint /*now*/, const std::vector<Candidate>& /*all*/, const std::vector<int>& ready,
                     const std::vector<int>& tried) {
  if (ready.empty()) return -1;
  int index = ready[next_++ % ready.size()];
  if (WasTried(tried, index)) index = ready[next_++ % ready.size()];
  return index;
}

int LeastRequest::Pick(TimePoint /*now*/, const std::vector<Candidate>& all, const std::vector<int>& ready,
                       const std::vector<int>& tried) {
  int best = -1;
  int ties = 0;
  double lowest_score = 0;
  for (const int index : ready) {
    const double in_flight = all[static_cast<std::size_t>(index)].in_flight;
    const double score = in_flight + (WasTried(tried, index) ? kAlreadyTriedPenalty : 0);
    if (best >= 0 && score > lowest_score) continue;
    ties = best >= 0 && score == lowest_score ? ties + 1 : 1;
    if (ties > 1 && random().Below(static_cast<std::uint64_t>(ties)) != 0) continue;
    best = index;
    lowest_score = score;
  }
  return best;
}

int TwoChoices::Pick(TimePoint now, const std::vector<Candidate>& all, const std::vector<int>& ready,
                     const std::vector<int>& tried) {
  const int first = Draw(ready, tried);
  const int second = Draw(ready, tried);
  if (first < 0) return -1;
  const double first_cost = Cost(now, all[static_cast<std::size_t>(first)], first);
  const double second_cost = Cost(now, all[static_cast<std::size_t>(second)], second);
  return second_cost < first_cost ? second : first;
}

double TwoChoices::Cost(TimePoint /*now*/, const Candidate& backend, int /*index*/) const {
  return backend.in_flight;
}

}  // namespace copperpoint::simulation
