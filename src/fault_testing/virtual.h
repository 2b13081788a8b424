// SPDX-License-Identifier: Apache-2.0
//
// A plan in virtual time: the members' own protocol objects over an emulated network. The same plan and seed
// give the same result, to the byte.
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
  std::vector<std::string> failures;
};

struct VirtualOptions {
  std::uint64_t seed = 1;
  membership::Options membership_options;
  bool settled = false;          // those that start with the run have long known each other
  bool record_timeline = false;  // keeps how many views there are over time, for plots
};

Outcome PlayVirtual(const Plan& plan, const VirtualOptions& options);

}  // namespace copperpoint::fault_testing

#endif  // COPPERPOINT_FAULT_TESTING_VIRTUAL_H_
