// SPDX-License-Identifier: Apache-2.0
//
// Estimates how much of its client's time a request has already used when it arrives.
#ifndef COPPERPOINT_DECISION_CLIENT_TIMEOUTS_H_
#define COPPERPOINT_DECISION_CLIENT_TIMEOUTS_H_

#include <algorithm>
#include <array>
#include <cmath>

#include "copperpoint/balancer.h"

namespace copperpoint {

// What has passed of a client's deadline has passed of its latency objective too. A client gives each attempt
// but the last one of a few usual timeouts, which differ among clients; the last attempt has what is left of
// the deadline. The usual timeouts of a class are found by counting how often each recurs.
//
// Owns the counts of one class, of at most kTimeouts timeouts; a new one replaces the one counted rarest.
class ClientTimeouts {
 public:
  // Counts a request that arrived with `remaining` until its deadline, where the settings' is `deadline`, and
  // returns how much time it has used, 0 while too few requests were counted. `client_retry`: the client
  // marks it as such.
  Duration ElapsedOnArrival(Duration remaining, Duration deadline, bool client_retry) {
    const Duration elapsed = std::max(Duration(0), deadline - remaining);
    if (Count(remaining) >= kMinCount) return client_retry ? elapsed * 0.5 : Duration(0);
    return MaxCount() >= kMinCount ? elapsed : Duration(0);
  }

 private:
  static constexpr int kTimeouts = 8;
  static constexpr int kMinCount = 10;            // of a usual timeout
  static constexpr double kEqualFraction = 0.04;  // by which equal timeouts may differ
  static constexpr int kHalvingRequests = 256;    // after so many, all counts are halved

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
