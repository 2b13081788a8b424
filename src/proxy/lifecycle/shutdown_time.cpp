// SPDX-License-Identifier: Apache-2.0
#include "proxy/lifecycle/shutdown_time.h"

#include <algorithm>

#include "decision/max_suspension.h"

namespace copperpoint::proxy {
namespace {

constexpr Duration kMaxCountedDeadline{3000};
constexpr Duration kKillDelay{700};  // from the end of the longest deadline to SIGKILL
// From the timer that ends an attempt to the client's receipt of the last byte, while not suspended.
constexpr Duration kResponseDelivery{50};

}  // namespace

Duration ShutdownResponseTime(const std::vector<ClassSettings>& classes) {
  Duration longest_deadline{0};
  for (const ClassSettings& settings : classes)
    longest_deadline = std::max(longest_deadline, settings.deadline);
  const Duration kill_time = std::min(longest_deadline, kMaxCountedDeadline) + kKillDelay;
  return kill_time - kMaxSuspension - kResponseDelivery;
}

}  // namespace copperpoint::proxy
