// SPDX-License-Identifier: Apache-2.0
//
// The delay between a failed call to discovery and the next one.
#ifndef COPPERPOINT_PROXY_DISCOVERY_RECONNECT_BACKOFF_H_
#define COPPERPOINT_PROXY_DISCOVERY_RECONNECT_BACKOFF_H_

#include <chrono>
#include <cstdint>

#include "proxy/clock.h"

namespace copperpoint::proxy {

// Exponential backoff, half of which is jitter, so that proxies do not call at the same time. While the list
// has to be current by a given time, a delay takes at most half of what is left until then.
//
// Invariant: after k failures in a row, each reported c later than its call began, call k + 1 begins no later
// than k * c + sum over i = 1..k of min(kMin * 2^(i-1), kMax, max(left_i / 2, kMin)), where left_i is what
// was left at failure i.
class ReconnectBackoff {
 public:
  static constexpr std::chrono::milliseconds kMin{50};
  static constexpr std::chrono::milliseconds kMax{1000};

  // @param seed of the jitter.
  explicit ReconnectBackoff(std::uint64_t seed) : jitter_state_(seed | 1) {}

  // To be called after a success, and before the first call to another address.
  void Reset() { backoff_ = std::chrono::milliseconds(0); }

  // @param left until the list has to be current; zero or negative if no such time lies ahead.
  // @return the delay before the next call.
  Steady::duration Next(Steady::duration left);

 private:
  std::chrono::milliseconds backoff_{0};  // the last one, before cap and jitter
  std::uint64_t jitter_state_;
};

}  // namespace copperpoint::proxy

#endif  // COPPERPOINT_PROXY_DISCOVERY_RECONNECT_BACKOFF_H_
