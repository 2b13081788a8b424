// SPDX-License-Identifier: Apache-2.0
//
// Faults that wait for something to happen, so that they land while it is half done: `settled` (all living
// members have one view, the true one), `EVENT` (the first log event of that name at any member) or
// `EVENT:MEMBER` (the first that is about that member).
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
      if (!plan.faults[i].when.empty()) waiting_.push_back({i, plan.faults[i].when});
  }

  // The faults, by number, that waited for this; each is named once.
  std::vector<std::size_t> Met(std::string_view event, std::string_view member = {}) {
    std::vector<std::size_t> met;
    if (waiting_.empty()) return met;
    std::string whole(event);
    if (!member.empty()) whole.append(":").append(member);
    std::erase_if(waiting_, [&](const Waiting& of) {
      if (of.when != event && of.when != whole) return false;
      met.push_back(of.fault);
      return true;
    });
    return met;
  }
  // What nothing has met yet.
  std::vector<std::string> unmet() const {
    std::vector<std::string> words;
    for (const Waiting& of : waiting_) words.push_back(of.when);
    return words;
  }

 private:
  struct Waiting {
    std::size_t fault;
    std::string when;
  };
  std::vector<Waiting> waiting_;
};

}  // namespace copperpoint::fault_testing

#endif  // COPPERPOINT_FAULT_TESTING_CONDITIONS_H_
