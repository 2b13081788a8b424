// SPDX-License-Identifier: Apache-2.0
#include "overload/repeats.h"

#include <xxhash.h>

#include <algorithm>
#include <bit>

namespace copperpoint::overload {

std::uint64_t FingerprintOf(const RequestReceived& submit) {
  if (submit.key == 0 && !submit.has_work_estimate) return 0;
  const std::uint64_t same[] = {
      static_cast<std::uint64_t>(submit.request_class), static_cast<std::uint64_t>(submit.tenant), submit.key,
      submit.has_work_estimate ? std::bit_cast<std::uint64_t>(submit.estimated_work_ms) : 0};
  return std::max<std::uint64_t>(1, XXH64(same, sizeof same, 0));
}

TimePoint Repeats::Known::Until() const { return std::max({may_return_until, final_until, shared_until}); }

Wish Repeats::Arrived(std::uint64_t fingerprint, TimePoint now) {
  Forget(now);
  if (fingerprint == 0) return {now};
  auto found = known_.find(fingerprint);
  if (found == known_.end()) {
    if (known_.size() >= kMostKept) return {now};
    found = known_.try_emplace(fingerprint).first;
  }
  Known& known = found->second;
  if (known.open > 0 || now < known.final_until) known.shared_until = now + kShared;
  ++known.open;
  if (now < known.shared_until || now >= known.may_return_until) return {now};
  known.may_return_until = TimePoint{};  // one next try for each that ended
  Wish wish = known.ended;
  ++wish.tries;
  return wish;
}

Repeats::Known* Repeats::End(std::uint64_t fingerprint) {
  const auto found = known_.find(fingerprint);
  if (found == known_.end() || found->second.open == 0) return nullptr;
  --found->second.open;
  return &found->second;
}

void Repeats::Unserved(std::uint64_t fingerprint, const Wish& wish, TimePoint until) {
  Known* known = End(fingerprint);
  if (!known) return;
  known->ended = wish;
  known->may_return_until = until;
  order_.push_back({known->Until(), fingerprint});
}

void Repeats::Final(std::uint64_t fingerprint, TimePoint until) {
  Known* known = End(fingerprint);
  if (!known) return;
  known->final_until = until;
  order_.push_back({known->Until(), fingerprint});
}

void Repeats::Forget(TimePoint now) {
  while (!order_.empty() && order_.front().at <= now) {
    const auto found = known_.find(order_.front().fingerprint);
    order_.pop_front();
    if (found != known_.end() && found->second.open == 0 && found->second.Until() <= now) known_.erase(found);
  }
}

}  // namespace copperpoint::overload
