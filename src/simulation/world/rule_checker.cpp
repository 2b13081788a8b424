// SPDX-License-Identifier: Apache-2.0
#include "simulation/world/rule_checker.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace copperpoint::simulation {
namespace {

// Share of the work that overloaded a backend from which on informed proxies count as the cause.
constexpr double kInformedShare = 2.0 / 3;
constexpr double kPercent = 100;
constexpr int kProxyShift = 32;

std::uint64_t PairOf(std::uint32_t proxy, std::uint32_t backend) {
  return static_cast<std::uint64_t>(proxy) << kProxyShift | backend;
}

}  // namespace

void RuleChecker::Report(RuleViolation violation) {
  ++violation_count_;
  if (violations_.size() < kMaxReported) violations_.push_back(std::move(violation));
}

void RuleChecker::OnEndpointUpdate(std::uint32_t proxy, std::uint32_t backend, bool usable, Micros at) {
  if (usable) {
    unusable_since_.erase(PairOf(proxy, backend));
    return;
  }
  const auto [found, added] = unusable_since_.try_emplace(PairOf(proxy, backend), at);
  if (!added) found->second = std::min(found->second, at);
}

void RuleChecker::OnProxyStarted(std::uint32_t proxy) {
  boost::unordered::erase_if(unusable_since_,
                             [proxy](const auto& entry) { return entry.first >> kProxyShift == proxy; });
}

void RuleChecker::OnAttemptStarted(Micros now, std::uint64_t request, std::uint32_t proxy,
                                   std::uint32_t backend, const AttemptHistory& history, bool has_response) {
  if (has_response)
    Report({Rule::kOneResponse, now, request, proxy, backend, "attempt sent after the final response"});
  if (!history.idempotent && history.may_have_run) {
    Report({Rule::kRunOnce, now, request, proxy, backend,
            "non-idempotent request sent again after an attempt that may have been executed"});
  }
  const auto unusable = unusable_since_.find(PairOf(proxy, backend));
  if (unusable == unusable_since_.end() || now <= unusable->second + drain_grace_) return;
  Report({Rule::kDrain, now, request, proxy, backend,
          fmt::format("attempt sent {:.1f} ms after the update that the backend drains or was removed",
                      ToMs(now - unusable->second))});
}

void RuleChecker::OnRejected(Micros now, std::uint64_t request, std::uint32_t proxy,
                             const AttemptHistory& history) {
  if (history.idempotent || !history.may_have_run) return;
  Report({Rule::kRunOnce, now, request, proxy, 0,
          "non-idempotent request rejected after an attempt that may have been executed"});
}

void RuleChecker::OnResponse(Micros now, std::uint64_t request, std::uint32_t proxy, bool has_response) {
  if (has_response) Report({Rule::kOneResponse, now, request, proxy, 0, "second final response"});
}

void RuleChecker::OnResponseOverdue(Micros now, std::uint64_t request, std::uint32_t proxy) {
  Report({Rule::kOneResponse, now, request, proxy, 0,
          "no final response within the request's timeout and the response slack"});
}

void RuleChecker::OnExecution(Micros now, std::uint64_t request, std::uint32_t backend, int times) {
  if (times > 1)
    Report({Rule::kRunOnce, now, request, 0, backend,
            fmt::format("non-idempotent request executed {} times", times)});
}

void RuleChecker::OnOverload(Micros now, std::uint32_t backend, double informed_share) {
  if (informed_share < kInformedShare) return;
  Report(
      {Rule::kSlowStart, now, 0, 0, backend,
       fmt::format(
           "backend overloaded in slow start; {:.0f}% of the work was sent by proxies that knew of its start",
           kPercent * informed_share)});
}

}  // namespace copperpoint::simulation
