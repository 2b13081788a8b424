// SPDX-License-Identifier: Apache-2.0
//
// Counts the requests of this process by class and tenant, so that a rollout can compare the proxies that
// have changed with the others.
#ifndef COPPERPOINT_PROXY_MEMBERSHIP_REQUEST_COUNTS_H_
#define COPPERPOINT_PROXY_MEMBERSHIP_REQUEST_COUNTS_H_

#include <cstdint>
#include <map>
#include <utility>

#include "rollout.pb.h"

namespace copperpoint::proxy {

// How a request ended.
enum class RequestOutcome { kServed, kClientError, kRejected, kFailed, kClientDisconnected };
const char* NameOf(RequestOutcome outcome);  // for log lines

class RequestCounts {
 public:
  struct Sample {
    int request_class = 0;
    std::uint32_t tenant = 0;  // from 1; 0: a request without one
    RequestOutcome outcome = RequestOutcome::kFailed;
    bool before_deadline = false;
    int attempts = 0;
    double duration_ms = 0;  // from the request's arrival
  };

  // Counts a completed request, unless its client has disconnected.
  void Record(const Sample& sample);

  // Returns the counts, with processor time and memory of this process. It has as many strata as fit into one
  // message: classes before tenants, and those with most requests first.
  rollout::wire::MemberReport Report() const;
  std::uint64_t recorded() const { return recorded_; }

 private:
  // Returns null for a new stratum beyond the limit. `tenant` 0 stands for all requests of the class.
  rollout::wire::Stratum* FindOrAdd(std::uint32_t tenant, std::uint32_t request_class);

  std::map<std::pair<std::uint32_t, std::uint32_t>, rollout::wire::Stratum> strata_;  // by tenant and class
  std::uint64_t recorded_ = 0;
};

}  // namespace copperpoint::proxy

#endif  // COPPERPOINT_PROXY_MEMBERSHIP_REQUEST_COUNTS_H_
