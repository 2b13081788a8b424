// SPDX-License-Identifier: Apache-2.0
//
// Runs a fault test plan in virtual time: the members' real protocol objects over an emulated network. The
// same plan and seed give a byte-identical result.
#ifndef COPPERPOINT_FAULT_TESTING_VIRTUAL_H_
#define COPPERPOINT_FAULT_TESTING_VIRTUAL_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "fault_testing/plan.h"

namespace copperpoint::fault_testing {

struct Outcome {
  bool holds = true;
  nlohmann::ordered_json json;
  std::vector<std::string> failures;  // one line for each detail of what did not hold
};

struct VirtualOptions {
  std::uint64_t seed = 1;
  membership::Options membership_options;
  bool settled = false;          // members that start with the run already know each other
  bool record_timeline = false;  // adds the number of distinct views over time to the result, for plots
};

Outcome PlayVirtual(const Plan& plan, const VirtualOptions& options);

}  // namespace copperpoint::fault_testing

#endif  // COPPERPOINT_FAULT_TESTING_VIRTUAL_H_
