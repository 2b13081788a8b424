// SPDX-License-Identifier: Apache-2.0
#include "decision/client_retry_detector.h"

#include <xxhash.h>

#include <algorithm>
#include <bit>

namespace copperpoint {

std::uint64_t FingerprintOf(const RequestReceived& request) {
  if (request.key == 0 && !request.has_work_estimate) return 0;
  const std::uint64_t common[] = {
      static_cast<std::uint64_t>(request.request_class), static_cast<std::uint64_t>(request.tenant),
      request.key, request.has_work_estimate ? std::bit_cast<std::uint64_t>(request.estimated_work_ms) : 0};
  return std::max<std::uint64_t>(1, XXH64(common, sizeof common, 0));
}

TimePoint ClientRetryDetector::Entry::ExpiresAt() const {
  return std::max({may_return_until, served_until, shared_until});
}

LogicalRequest ClientRetryDetector::OnReceived(std::uint64_t fingerprint, TimePoint now) {
  RemoveExpired(now);
  if (fingerprint == 0) return {now};
  auto found = entries_.find(fingerprint);
  if (found == entries_.end()) {
    if (entries_.size() >= kMaxFingerprints) return {now};
    found = entries_.try_emplace(fingerprint).first;
  }
  Entry& entry = found->second;
  if (entry.open > 0 || now < entry.served_until) entry.shared_until = now + kSharedMemory;
  ++entry.open;
  if (now < entry.shared_until || now >= entry.may_return_until) return {now};
  entry.may_return_until = TimePoint{};  // the client retries each failed attempt once at most
  LogicalRequest request = entry.last_failed;
  ++request.client_attempts;
  return request;
}

ClientRetryDetector::Entry* ClientRetryDetector::EndAttempt(std::uint64_t fingerprint) {
  const auto found = entries_.find(fingerprint);
  if (found == entries_.end() || found->second.open == 0) return nullptr;
  --found->second.open;
  return &found->second;
}

void ClientRetryDetector::OnUnserved(std::uint64_t fingerprint, const LogicalRequest& request,
                                     TimePoint until) {
  Entry* entry = EndAttempt(fingerprint);
  if (!entry) return;
  entry->last_failed = request;
  entry->may_return_until = until;
  expiries_.push_back({entry->ExpiresAt(), fingerprint});
}

void ClientRetryDetector::OnServed(std::uint64_t fingerprint, TimePoint until) {
  Entry* entry = EndAttempt(fingerprint);
  if (!entry) return;
  entry->served_until = until;
  expiries_.push_back({entry->ExpiresAt(), fingerprint});
}

void ClientRetryDetector::RemoveExpired(TimePoint now) {
  while (!expiries_.empty() && expiries_.front().at <= now) {
    const auto found = entries_.find(expiries_.front().fingerprint);
    expiries_.pop_front();
    if (found != entries_.end() && found->second.open == 0 && found->second.ExpiresAt() <= now)
      entries_.erase(found);
  }
}

}  // namespace copperpoint
