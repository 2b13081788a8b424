// SPDX-License-Identifier: Apache-2.0
//
// What this process has served, by class and account, for a change's cohorts to be compared by.
#ifndef COPPERPOINT_PROXY_MEMBERSHIP_REQUEST_COUNTS_H_
#define COPPERPOINT_PROXY_MEMBERSHIP_REQUEST_COUNTS_H_

#include <cstdint>
#include <map>
#include <utility>

#include "rollout.pb.h"

namespace copperpoint::proxy {

// How a request ended.
enum class RequestOutcome { kServed, kClientError, kRejected, kFailed, kClientDisconnected };
const char* NameOf(RequestOutcome outcome);  // as the log has it

class RequestCounts {
 public:
  // `tenant`: 0 where there is none; `in_time`: answered before the deadline. A request whose client has
  // disconnected does not count.
  void Record(int request_class, std::uint32_t tenant, RequestOutcome outcome, bool in_time, int attempts,
              double duration_ms);
  // As much as fits into one message: classes before tenants, those with most requests first.
  rollout::wire::MemberReport Report() const;
  std::uint64_t asked() const { return asked_; }

 private:
  std::map<std::pair<std::uint32_t, std::uint32_t>, rollout::wire::Stratum> strata_;  // tenant, class
  std::uint64_t asked_ = 0;
};

}  // namespace copperpoint::proxy

#endif  // COPPERPOINT_PROXY_MEMBERSHIP_REQUEST_COUNTS_H_
