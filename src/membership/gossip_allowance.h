// SPDX-License-Identifier: Apache-2.0
//
// Limits the bytes of claims that a member sends, so that many events at once, as when a whole fleet
// restarts, spread at a bounded rate. Probes and acks are not limited.
#ifndef COPPERPOINT_MEMBERSHIP_GOSSIP_ALLOWANCE_H_
#define COPPERPOINT_MEMBERSHIP_GOSSIP_ALLOWANCE_H_

#include <algorithm>
#include <cstddef>

#include "membership/options.h"

namespace copperpoint::membership {

// A token bucket that holds at most the bytes of one second. Owns its level.
class GossipAllowance {
 public:
  GossipAllowance(std::size_t bytes_per_s, Time now)
      : rate_(static_cast<double>(bytes_per_s)), allowance_(rate_), updated_at_(now) {}

  // Returns the number of bytes that may be sent now.
  std::size_t Available(Time now) {
    allowance_ =
        std::min(rate_, allowance_ + rate_ * std::chrono::duration<double>(now - updated_at_).count());
    updated_at_ = now;
    return static_cast<std::size_t>(std::max(0.0, allowance_));
  }
  void Spend(std::size_t bytes) { allowance_ -= static_cast<double>(bytes); }

 private:
  const double rate_;  // in bytes per second
  double allowance_;   // in bytes, at updated_at_
  Time updated_at_;
};

}  // namespace copperpoint::membership

#endif  // COPPERPOINT_MEMBERSHIP_GOSSIP_ALLOWANCE_H_
