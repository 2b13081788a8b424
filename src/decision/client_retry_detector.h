// SPDX-License-Identifier: Apache-2.0
//
// Recognises a client's retry of a request that was rejected or failed a moment ago.
#ifndef COPPERPOINT_DECISION_CLIENT_RETRY_DETECTOR_H_
#define COPPERPOINT_DECISION_CLIENT_RETRY_DETECTOR_H_

#include <boost/unordered/unordered_flat_map.hpp>
#include <cstdint>
#include <deque>

#include "copperpoint/balancer.h"

namespace copperpoint {

// A hash of what all attempts of a client's request have in common: class, tenant, key and estimated work. 0:
// the client says too little to recognise it by.
std::uint64_t FingerprintOf(const RequestReceived& request);

// A client's request over all the attempts that the client made of it through this proxy.
struct LogicalRequest {
  TimePoint first_received{};  // its first attempt
  int client_attempts = 1;     // up to and including the current one
  bool within_quota = true;    // of its tenant, as found at the first attempt
};

// Clients that mark their retries need no detection; others give each attempt a new id and are recognised by
// the fingerprint. A fingerprint that several open requests share, or one that was answered lately,
// identifies no request: with a constant estimate or a popular key nothing is recognised, rather than the
// wrong request (docs/overload.md has the rates).
//
// Owns the fingerprints seen within the clients' deadlines, at most kMaxFingerprints of them.
class ClientRetryDetector {
 public:
  static constexpr std::size_t kMaxFingerprints = 65536;  // further ones are not remembered
  static constexpr Duration kSharedMemory{30000};         // a shared fingerprint is not trusted for this long

  // The logical request that an attempt received at `now` belongs to; a new one unless it is a retry.
  LogicalRequest OnReceived(std::uint64_t fingerprint, TimePoint now);
  // Each attempt received ends once: without an answer, so that the client may retry until `until`; or with
  // one, so that the same fingerprint is no retry until `until`.
  void OnUnserved(std::uint64_t fingerprint, const LogicalRequest& request, TimePoint until);
  void OnServed(std::uint64_t fingerprint, TimePoint until);

  std::size_t size() const { return entries_.size(); }

 private:
  struct Entry {
    int open = 0;                // attempts received that have not ended
    LogicalRequest last_failed;  // of the last attempt that ended without an answer
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
  std::deque<Expiry> expiries_;  // roughly by time
};

}  // namespace copperpoint

#endif  // COPPERPOINT_DECISION_CLIENT_RETRY_DETECTOR_H_
