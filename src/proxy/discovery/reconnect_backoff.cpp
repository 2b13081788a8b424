// SPDX-License-Identifier: Apache-2.0
#include "proxy/discovery/reconnect_backoff.h"

#include <algorithm>

namespace copperpoint::proxy {
namespace {

// One step of Knuth's MMIX linear congruential generator.
std::uint64_t NextJitterState(std::uint64_t state) {
  return state * 6364136223846793005u + 1442695040888963407u;
}

// Returns a number in [0, 1) from the upper bits, which are the random ones.
double ToUnit(std::uint64_t state) { return static_cast<double>(state >> 33) / (1ull << 31); }

}  // namespace

Steady::duration ReconnectBackoff::Next(Steady::duration left) {
  backoff_ = std::clamp(backoff_ * 2, kMin, kMax);
  Steady::duration longest = backoff_;
  if (left > Steady::duration::zero())
    longest = std::min(longest, std::max<Steady::duration>(left / 2, kMin));
  jitter_state_ = NextJitterState(jitter_state_);
  const auto jitter = std::chrono::duration_cast<Steady::duration>(longest / 2 * ToUnit(jitter_state_));
  return longest / 2 + jitter;
}

}  // namespace copperpoint::proxy
