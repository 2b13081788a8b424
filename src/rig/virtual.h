// SPDX-License-Identifier: Apache-2.0
//
// A plan in virtual time: the members' own protocol objects over an emulated network. The same plan and seed
// give the same result, to the byte.
#ifndef COPPERPOINT_RIG_VIRTUAL_H_
#define COPPERPOINT_RIG_VIRTUAL_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "rig/plan.h"

namespace copperpoint::rig {

struct Outcome {
  bool holds = true;
  nlohmann::ordered_json json;
  std::vector<std::string> story;
};

struct VirtualOptions {
  std::uint64_t seed = 1;
  view::Options view;
  bool settled = false;   // those that start with the run have long known each other
  bool timeline = false;  // keeps how many views there are over time, for plots
};

Outcome PlayVirtual(const Plan& plan, const VirtualOptions& options);

}  // namespace copperpoint::rig

#endif  // COPPERPOINT_RIG_VIRTUAL_H_
