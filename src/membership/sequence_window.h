// SPDX-License-Identifier: Apache-2.0
//
// Detects messages that arrive twice, by the sequence numbers received from one sender.
#ifndef COPPERPOINT_MEMBERSHIP_SEQUENCE_WINDOW_H_
#define COPPERPOINT_MEMBERSHIP_SEQUENCE_WINDOW_H_

#include <cstdint>

namespace copperpoint::membership {

// A sliding window over serial numbers, as in RFC 6479. Owns the latest number, and which of the 64 numbers
// up to it were received. Numbers below the window count as received.
class SequenceWindow {
 public:
  // Returns whether the message is new. If so, it counts as received.
  bool Accept(std::uint32_t sequence) {
    const auto ahead = static_cast<std::int32_t>(sequence - latest_);
    if (ahead > 0) {
      received_ = ahead >= kWidth ? 0 : received_ << ahead;
      received_ |= 1;
      latest_ = sequence;
    } else if (ahead <= -kWidth || (received_ >> -ahead & 1) != 0) {
      return false;
    } else {
      received_ |= std::uint64_t{1} << -ahead;
    }
    return true;
  }

 private:
  static constexpr std::int32_t kWidth = 64;

  std::uint32_t latest_ = 0;
  std::uint64_t received_ = 0;  // bit n is set if latest_ - n was received
};

}  // namespace copperpoint::membership

#endif  // COPPERPOINT_MEMBERSHIP_SEQUENCE_WINDOW_H_
