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
enum class RequestOutcome { kServed, kRejected, kRefused, kFailed, kClientGone };
const char* NameOf(RequestOutcome outcome);  // as the log has it

class RequestCounts {
 public:
  // `account`: 0 where there is none; `in_time`: the answer was of use. A client that has gone is no answer
  // of ours, and does not count.
  void Record(int request_class, std::uint32_t account, RequestOutcome outcome, bool in_time, int attempts,
              double after_ms);
  // So much of it as goes into a letter: classes before accounts, those asked most before others.
  rollout::wire::Report Report() const;
  std::uint64_t asked() const { return asked_; }

 private:
  std::map<std::pair<std::uint32_t, std::uint32_t>, rollout::wire::Stratum> strata_;  // account, class
  std::uint64_t asked_ = 0;
};

}  // namespace copperpoint::proxy

#endif  // COPPERPOINT_PROXY_MEMBERSHIP_REQUEST_COUNTS_H_
