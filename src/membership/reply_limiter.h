// SPDX-License-Identifier: Apache-2.0
//
// Limits the replies to senders whose messages are not accepted, so that a sender cannot make a member send
// many datagrams.
#ifndef COPPERPOINT_MEMBERSHIP_REPLY_LIMITER_H_
#define COPPERPOINT_MEMBERSHIP_REPLY_LIMITER_H_

#include "membership/options.h"

namespace copperpoint::membership {

// Owns the time of the next reply.
class ReplyLimiter {
 public:
  explicit ReplyLimiter(Time now) : next_(now) {}

  // Returns whether a reply may be sent now. If so, it counts as sent.
  bool TryAcquire(Time now) {
    if (now < next_) return false;
    next_ = now + kPeriod;
    return true;
  }

 private:
  static constexpr Time kPeriod = std::chrono::seconds(1);

  Time next_;
};

}  // namespace copperpoint::membership

#endif  // COPPERPOINT_MEMBERSHIP_REPLY_LIMITER_H_
