// SPDX-License-Identifier: Apache-2.0
//
// The local time of a member: the host's time minus the durations for which the member's process paused.
#ifndef COPPERPOINT_MEMBERSHIP_LOCAL_CLOCK_H_
#define COPPERPOINT_MEMBERSHIP_LOCAL_CLOCK_H_

#include <algorithm>

#include "membership/options.h"

namespace copperpoint::membership {

// A process that was stopped, or that got no CPU time, has received nothing meanwhile, and must not conclude
// that the other members had stopped (Lifeguard). It detects a pause only by its own delayed wake-up. The
// delay is left out of the local time, by which all timeouts of the membership run.
//
// Owns the sum of the pauses and the time of the next expected wake-up.
class LocalClock {
 public:
  LocalClock(const Options& options, Time host_now)
      : options_(options), last_event_(host_now), expected_wakeup_(host_now) {}

  // Must be called at each event. Returns the local time.
  Time Enter(Time host_now) {
    if (options_.with_delayed_wakeups && host_now > expected_wakeup_ + options_.delayed_wakeup)
      paused_ += host_now - expected_wakeup_;
    last_event_ = host_now;
    expected_wakeup_ = std::max(expected_wakeup_, host_now);
    return ToLocal(host_now);
  }
  // Sets the time at which the host is to wake this member.
  void ExpectWakeup(Time host_due) { expected_wakeup_ = std::max(host_due, last_event_); }

  Time ToLocal(Time host_time) const { return host_time - paused_; }
  Time ToHost(Time local_time) const { return local_time + paused_; }

 private:
  const Options& options_;
  Time paused_{};
  Time last_event_, expected_wakeup_;  // in the host's time
};

}  // namespace copperpoint::membership

#endif  // COPPERPOINT_MEMBERSHIP_LOCAL_CLOCK_H_
