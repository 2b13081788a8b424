// SPDX-License-Identifier: Apache-2.0
//
// Conditions that trigger faults, so that a fault occurs while an operation is in progress: `settled` (all
// members run and agree on the true membership), `EVENT` (the first log event of that name at any member)
// or `EVENT:MEMBER` (the first such event about that member).
#ifndef COPPERPOINT_FAULT_TESTING_CONDITIONS_H_
#define COPPERPOINT_FAULT_TESTING_CONDITIONS_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "fault_testing/plan.h"

namespace copperpoint::fault_testing {

class Conditions {
 public:
  explicit Conditions(const Plan& plan) {
    for (std::size_t i = 0; i < plan.faults.size(); ++i)
      if (!plan.faults[i].when.empty()) pending_.push_back({i, plan.faults[i].when});
  }

  // Returns the indexes of the faults that this event triggers. Each fault is returned once.
  std::vector<std::size_t> TakeTriggered(std::string_view event, std::string_view member = {}) {
    std::vector<std::size_t> triggered;
    if (pending_.empty()) return triggered;
    std::string event_of_member(event);
    if (!member.empty()) event_of_member.append(":").append(member);
    std::erase_if(pending_, [&](const PendingFault& pending) {
      if (pending.when != event && pending.when != event_of_member) return false;
      triggered.push_back(pending.fault);
      return true;
    });
    return triggered;
  }
  // The conditions that have not occurred yet.
  std::vector<std::string> untriggered() const {
    std::vector<std::string> conditions;
    for (const PendingFault& pending : pending_) conditions.push_back(pending.when);
    return conditions;
  }

 private:
  struct PendingFault {
    std::size_t fault;
    std::string when;
  };
  std::vector<PendingFault> pending_;
};

}  // namespace copperpoint::fault_testing

#endif  // COPPERPOINT_FAULT_TESTING_CONDITIONS_H_
