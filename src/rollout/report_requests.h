// SPDX-License-Identifier: Apache-2.0
//
// The requests with which a leader polls the members for their reports. A report is dated by the time of its
// request: one that was queued while this process was suspended is not taken for a recent contact.
#ifndef COPPERPOINT_ROLLOUT_REPORT_REQUESTS_H_
#define COPPERPOINT_ROLLOUT_REPORT_REQUESTS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

#include "rollout/plan.h"

namespace copperpoint::rollout {

class ReportRequests {
 public:
  static constexpr Time kInterval = std::chrono::milliseconds(500);
  // Reports that answer a request before the latest kMaxOutstanding are dropped.
  static constexpr std::size_t kMaxOutstanding = 32;

  // This member leads from now on: reports that answer earlier requests are dropped.
  void Restart(Time now);
  bool IsDue(Time now) const { return now >= next_at_; }
  // Starts a request and returns its number.
  std::uint32_t Start(Time now);
  // Returns when the request of that number was started; nothing if it is not among the latest ones.
  std::optional<Time> RequestedAt(std::uint32_t number) const;

 private:
  Time next_at_{};
  std::uint32_t last_number_ = 0;
  std::deque<Time> requested_at_;  // The times of the latest requests, in their order.
};

}  // namespace copperpoint::rollout

#endif  // COPPERPOINT_ROLLOUT_REPORT_REQUESTS_H_
