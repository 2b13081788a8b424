// SPDX-License-Identifier: Apache-2.0
#include "proxy/core/timer_queue.h"

#include <utility>

namespace copperpoint::proxy {
namespace {

constexpr TimePoint kUnarmed{Duration(1e300)};

}  // namespace

TimerQueue::TimerQueue(boost::asio::io_context& io, const BalancerClock& clock, OnDue on_due)
    : clock_(clock), on_due_(std::move(on_due)), armed_for_(kUnarmed), timer_(io) {}

void TimerQueue::Add(TimePoint at, std::uint64_t token) { tokens_.emplace(at, token); }

void TimerQueue::Arm() {
  if (tokens_.empty() || tokens_.begin()->first >= armed_for_) return;
  armed_for_ = tokens_.begin()->first;
  timer_.expires_at(clock_.ToSteady(armed_for_));
  timer_.async_wait([this](const boost::system::error_code& cancelled) {
    if (cancelled) return;
    armed_for_ = kUnarmed;
    ReportDue();
    Arm();
  });
}

// The event loop's timer may expire slightly early, because of rounding: tokens that are not due stay queued.
void TimerQueue::ReportDue() {
  while (!tokens_.empty() && tokens_.begin()->first <= clock_.Now()) {
    const std::uint64_t token = tokens_.begin()->second;
    tokens_.erase(tokens_.begin());
    on_due_(token);
  }
}

}  // namespace copperpoint::proxy
