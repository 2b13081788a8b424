// SPDX-License-Identifier: Apache-2.0
//
// Recognises client retries: requests that repeat one which was rejected or failed shortly before.
#ifndef COPPERPOINT_DECISION_CLIENT_RETRY_DETECTOR_H_
#define COPPERPOINT_DECISION_CLIENT_RETRY_DETECTOR_H_

#include <boost/unordered/unordered_flat_map.hpp>
#include <cstdint>
#include <deque>

#include "copperpoint/balancer.h"

namespace copperpoint {

// Returns a hash of the fields that all attempts of a client at one request have in common: class, tenant,
// key and estimated work. Returns 0 if the request has neither a key nor an estimate to be recognised by.
std::uint64_t FingerprintOf(const RequestReceived& request);

// A client's request over all attempts that the client made at it through this proxy.
struct LogicalRequest {
  TimePoint first_received{};  // when the client's first attempt arrived
  int client_attempts = 1;     // the client's attempts up to and including the current one
  bool within_quota = true;    // whether the first attempt was within its tenant's quota
};

// Clients give each attempt a new request id, so that a retry is recognised by its fingerprint. A fingerprint
// that several open requests share, or whose last request was answered lately, identifies no request: with a
// constant work estimate or a popular key, no retry is recognised, instead of one of the wrong request
// (docs/overload.md has the rates). Retries that the client marks need no detection.
//
// Owns the fingerprints seen within the clients' deadlines, at most kMaxFingerprints of them.
class ClientRetryDetector {
 public:
  static constexpr std::size_t kMaxFingerprints = 65536;  // further fingerprints are not recorded
  static constexpr Duration kSharedMemory{30000};  // how long a shared fingerprint identifies no request

  // Returns the logical request of an attempt received at `now`: a new one unless the attempt is a retry.
  LogicalRequest OnReceived(std::uint64_t fingerprint, TimePoint now);
  // Each attempt passed to OnReceived ends by one call: OnUnserved if it was not answered, and the client may
  // retry it until `until`; OnServed if it was answered, and the same fingerprint is no retry until `until`.
  void OnUnserved(std::uint64_t fingerprint, const LogicalRequest& request, TimePoint until);
  void OnServed(std::uint64_t fingerprint, TimePoint until);

  std::size_t size() const { return entries_.size(); }

 private:
  struct Entry {
    int open = 0;                // attempts received that have not ended
    LogicalRequest last_failed;  // logical request of the last attempt that ended without an answer
    TimePoint may_return_until{}, served_until{}, shared_until{};
    TimePoint ExpiresAt() const;
  };
  struct Expiry {
    TimePoint at{};
    std::uint64_t fingerprint = 0;
  };
  Entry* EndAttempt(std::uint64_t fingerprint);
  void RemoveExpired(TimePoint now);

  boost::unordered_flat_map<std::uint64_t, Entry> entries_;
  std::deque<Expiry> expiries_;  // in the order in which attempts ended, which is roughly that of `at`
};

}  // namespace copperpoint

#endif  // COPPERPOINT_DECISION_CLIENT_RETRY_DETECTOR_H_
