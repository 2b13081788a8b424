// SPDX-License-Identifier: Apache-2.0
#include "simulation/world/observer.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace copperpoint::simulation {
namespace {

constexpr double kGuiltyShare = 2.0 / 3;  // of the work that pushed a cold backend over

std::uint64_t Pair(std::uint32_t proxy, std::uint32_t backend) {
  return static_cast<std::uint64_t>(proxy) << 32 | backend;
}

}  // namespace

void Observer::Break(Broken broken) {
  ++count_;
  if (broken_.size() < kMostKept) broken_.push_back(std::move(broken));
}

void Observer::Told(std::uint32_t proxy, std::uint32_t backend, bool usable, Micros at) {
  if (usable) {
    barred_.erase(Pair(proxy, backend));
    return;
  }
  const auto [found, added] = barred_.try_emplace(Pair(proxy, backend), at);
  if (!added) found->second = std::min(found->second, at);
}

void Observer::ProxyStarted(std::uint32_t proxy) {
  boost::unordered::erase_if(barred_, [proxy](const auto& entry) { return entry.first >> 32 == proxy; });
}

void Observer::Dispatched(Micros now, std::uint64_t request, std::uint32_t proxy, std::uint32_t backend,
                          const Attempts& before, bool already_final) {
  if (already_final) Break({Rule::kOneAnswer, now, request, proxy, backend, "sent after its final answer"});
  if (before.unsafe && before.may_have_run)
    Break(
        {Rule::kRunOnce, now, request, proxy, backend, "sent again though an earlier attempt may have run"});
  const auto barred = barred_.find(Pair(proxy, backend));
  if (barred != barred_.end() && now > barred->second + grace_)
    Break({Rule::kDrain, now, request, proxy, backend,
           fmt::format("sent {:.1f} ms after the news that the backend is not to be used",
                       ToMs(now - barred->second))});
}

void Observer::Refused(Micros now, std::uint64_t request, std::uint32_t proxy, const Attempts& attempts) {
  if (attempts.unsafe && attempts.may_have_run)
    Break({Rule::kRunOnce, now, request, proxy, 0, "refused as harmless though an attempt may have run"});
}

void Observer::Answered(Micros now, std::uint64_t request, std::uint32_t proxy, bool again) {
  if (again) Break({Rule::kOneAnswer, now, request, proxy, 0, "a second final answer"});
}

void Observer::Unanswered(Micros now, std::uint64_t request, std::uint32_t proxy) {
  Break({Rule::kOneAnswer, now, request, proxy, 0, "no final answer within its time and the slack"});
}

void Observer::Ran(Micros now, std::uint64_t request, std::uint32_t backend, int times) {
  if (times > 1)
    Break({Rule::kRunOnce, now, request, 0, backend, fmt::format("ran for the {}. time", times)});
}

void Observer::FellOver(Micros now, std::uint32_t backend, double told_share) {
  if (told_share >= kGuiltyShare)
    Break(
        {Rule::kCold, now, 0, 0, backend,
         fmt::format("a cold backend fell over; {:.0f}% of its work came from proxies that knew of its start",
                     100 * told_share)});
}

}  // namespace copperpoint::simulation
