// SPDX-License-Identifier: Apache-2.0
#include "overload/repeats.h"

#include <xxhash.h>

#include <algorithm>
#include <bit>

namespace copperpoint::overload {

std::uint64_t FingerprintOf(const Submit& submit) {
  if (submit.key == 0 && !submit.has_hint) return 0;
  const std::uint64_t same[] = {static_cast<std::uint64_t>(submit.request_class),
                                static_cast<std::uint64_t>(submit.tenant), submit.key,
                                submit.has_hint ? std::bit_cast<std::uint64_t>(submit.work_ms) : 0};
  return std::max<std::uint64_t>(1, XXH64(same, sizeof same, 0));
}

void Repeats::Unserved(std::uint64_t fingerprint, const Wish& wish, TimePoint until) {
  if (fingerprint == 0) return;
  while (kept_ >= kMostKept) Forget(order_.front().until);
  ended_[fingerprint].push_back({wish, until});
  order_.push_back({until, fingerprint});
  ++kept_;
}

Wish Repeats::Take(std::uint64_t fingerprint, TimePoint now) {
  while (!order_.empty() && order_.front().until < now) Forget(now);
  const auto found = ended_.find(fingerprint);
  if (fingerprint == 0 || found == ended_.end()) return {now, 1};
  // The oldest that can still come: a client does not wait longer than it has to.
  while (!found->second.empty() && found->second.front().until < now) {
    found->second.pop_front();
    --kept_;
  }
  if (found->second.empty()) {
    ended_.erase(found);
    return {now, 1};
  }
  const Wish wish = found->second.front().wish;
  found->second.pop_front();
  --kept_;
  if (found->second.empty()) ended_.erase(found);
  return {wish.since, wish.tries + 1};
}

// The place at the front with what it stands for, if that is still there and no later than `now`.
void Repeats::Forget(TimePoint now) {
  const Place place = order_.front();
  order_.pop_front();
  const auto found = ended_.find(place.fingerprint);
  if (found == ended_.end()) return;
  while (!found->second.empty() && found->second.front().until <= std::max(now, place.until)) {
    found->second.pop_front();
    --kept_;
  }
  if (found->second.empty()) ended_.erase(found);
}

}  // namespace copperpoint::overload
