// SPDX-License-Identifier: Apache-2.0
//
// Estimates how long a client has already been waiting for its answer when a request arrives.
#ifndef COPPERPOINT_DECISION_CLIENT_TIMEOUTS_H_
#define COPPERPOINT_DECISION_CLIENT_TIMEOUTS_H_

#include <algorithm>
#include <array>
#include <cmath>

#include "copperpoint/balancer.h"

namespace copperpoint {

// The time that has passed of a client's deadline has also passed of its latency objective. Each client uses
// one of a few usual timeouts for all of its attempts but the last, which has the rest of the deadline. A
// request that arrives with a usual timeout therefore is no last attempt, and its remaining time doesn't tell
// how much has passed. The usual timeouts of a class are found by counting how often each recurs.
//
// Owns the counts of at most kTimeouts timeouts of one class. A new timeout replaces the one counted least.
class ClientTimeouts {
 public:
  // Counts a request that arrived with `remaining` until its deadline, where the class has the deadline
  // `deadline`. Returns how long its client has been waiting for; 0 while too few requests were counted.
  // `client_retry`: the client marked the request as a retry.
  Duration ElapsedOnArrival(Duration remaining, Duration deadline, bool client_retry) {
    const Duration elapsed = std::max(Duration(0), deadline - remaining);
    if (Count(remaining) >= kMinCount) return client_retry ? elapsed * 0.5 : Duration(0);
    return MaxCount() >= kMinCount ? elapsed : Duration(0);
  }

 private:
  static constexpr int kTimeouts = 8;
  static constexpr int kMinCount = 10;            // a timeout counted this often is a usual one
  static constexpr double kEqualFraction = 0.04;  // timeouts that differ by less are counted as equal
  static constexpr int kHalvingRequests = 256;    // all counts are halved each time after this many requests

  struct Timeout {
    Duration time{0};
    int count = 0;
  };

  int Count(Duration remaining) {
    if (++requests_ % kHalvingRequests == 0) {
      for (Timeout& timeout : timeouts_) timeout.count /= 2;
    }
    Timeout* rarest = timeouts_.data();
    for (Timeout& timeout : timeouts_) {
      if (timeout.count > 0 &&
          std::abs((remaining - timeout.time).count()) <= kEqualFraction * timeout.time.count())
        return ++timeout.count;
      if (timeout.count < rarest->count) rarest = &timeout;
    }
    *rarest = {remaining, 1};
    return 1;
  }
  int MaxCount() const {
    int max = 0;
    for (const Timeout& timeout : timeouts_) max = std::max(max, timeout.count);
    return max;
  }

  std::array<Timeout, kTimeouts> timeouts_{};
  int requests_ = 0;
};

}  // namespace copperpoint

#endif  // COPPERPOINT_DECISION_CLIENT_TIMEOUTS_H_
