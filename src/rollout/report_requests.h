// SPDX-License-Identifier: Apache-2.0
//
// The requests with which a leader polls the members for their reports. A report counts from when it was
// requested, so that one that waited while this process stood still is as old as it is.
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
  static constexpr std::size_t kMaxOutstanding = 32;  // reports that answer an earlier request are dropped

  // This member leads from now on: reports to earlier leaders don't count.
  void Restart(Time now);
  bool IsDue(Time now) const { return now >= next_at_; }
  // The number of the next request.
  std::uint32_t Start(Time now);
  // Nothing if there is no such request.
  std::optional<Time> RequestedAt(std::uint32_t number) const;

 private:
  Time next_at_{};
  std::uint32_t last_number_ = 0;
  std::deque<Time> requested_at_;  // of the last requests
};

}  // namespace copperpoint::rollout

#endif  // COPPERPOINT_ROLLOUT_REPORT_REQUESTS_H_
