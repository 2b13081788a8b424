// SPDX-License-Identifier: Apache-2.0
#include "rollout/report_requests.h"

namespace copperpoint::rollout {

void ReportRequests::Restart(Time now) {
  next_at_ = now;
  requested_at_.clear();
}

std::uint32_t ReportRequests::Start(Time now) {
  next_at_ = now + kInterval;
  requested_at_.push_back(now);
  if (requested_at_.size() > kMaxOutstanding) requested_at_.pop_front();
  return ++last_number_;
}

std::optional<Time> ReportRequests::RequestedAt(std::uint32_t number) const {
  const std::uint32_t requests_since = last_number_ - number;  // Wraps around if `number` is not used yet.
  if (requests_since >= requested_at_.size()) return std::nullopt;
  return requested_at_[requested_at_.size() - 1 - requests_since];
}

}  // namespace copperpoint::rollout
