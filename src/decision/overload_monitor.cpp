// SPDX-License-Identifier: Apache-2.0
#include "decision/overload_monitor.h"

#include <cmath>
#include <utility>

namespace copperpoint {

const char* NameOf(OverloadState state) {
  switch (state) {
    case OverloadState::kCalm:
      return "calm";
    case OverloadState::kSurge:
      return "surge";
    case OverloadState::kStorm:
      return "storm";
    case OverloadState::kRecovery:
      return "recovery";
  }
  return "";
}

std::string OverloadMonitor::Describe() const {
  const auto percent = [](double fraction) { return std::to_string(std::lround(100 * fraction)); };
  return std::string("overload: ") + NameOf(previous_) + " to " + NameOf(state_) + "; " +
         percent(RejectedFraction()) + "% of requests rejected, " + percent(ClientRetryFraction()) +
         "% client retries";
}

OverloadState OverloadMonitor::IndicatedState() const {
  const bool rejecting = RejectedFraction() > kRejectedFraction;
  const bool no_answers = decayed_.unserved > 1 && decayed_.succeeded < 0.05 * decayed_.unserved;
  if (no_answers || (rejecting && ClientRetryFraction() > kClientRetryFraction)) return OverloadState::kStorm;
  return rejecting ? OverloadState::kSurge : OverloadState::kCalm;
}

OverloadState OverloadMonitor::NextState(TimePoint now, OverloadState indicated) const {
  const Duration lasted = now - indicated_since_;
  if (indicated > state_ || (state_ == OverloadState::kRecovery && indicated != OverloadState::kCalm))
    return lasted >= kEnterAfter ? indicated : state_;
  // Rejected clients keep retrying for a while, so that a storm is followed by recovery and not by calm.
  if (state_ == OverloadState::kStorm && indicated != OverloadState::kStorm)
    return lasted >= kLeaveAfter ? OverloadState::kRecovery : state_;
  if (state_ == OverloadState::kSurge && indicated == OverloadState::kCalm)
    return lasted >= kLeaveAfter ? OverloadState::kCalm : state_;
  if (state_ == OverloadState::kRecovery && now - entered_at_ >= kRecoveryTime) return OverloadState::kCalm;
  return state_;
}

std::optional<OverloadState> OverloadMonitor::Update(TimePoint now, Duration elapsed,
                                                     const OverloadCounts& counts) {
  const double remaining = std::exp(-elapsed / kMemory);
  const auto decay_and_add = [remaining](double& sum, double count) { sum = remaining * sum + count; };
  decay_and_add(decayed_.received, counts.received);
  decay_and_add(decayed_.client_retries, counts.client_retries);
  decay_and_add(decayed_.unserved, counts.unserved);
  decay_and_add(decayed_.succeeded, counts.succeeded);

  const OverloadState indicated = IndicatedState();
  if (indicated != indicated_) {
    indicated_ = indicated;
    indicated_since_ = now;
  }
  const OverloadState next = NextState(now, indicated);
  if (next == state_) return std::nullopt;
  previous_ = std::exchange(state_, next);
  entered_at_ = now;
  return state_;
}

}  // namespace copperpoint
