// SPDX-License-Identifier: Apache-2.0
//
// Rolling changes in virtual time: the members' own agents (src/rollout) over an emulated fleet that serves
// emulated traffic, with faults in the middle. What is asked is whether a change is stopped that should be
// and only then, how many members ever ran it, and whether what the agents promise holds whatever fails.
#ifndef COPPERPOINT_FAULT_TESTING_TRIAL_H_
#define COPPERPOINT_FAULT_TESTING_TRIAL_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "config/schema.h"

namespace copperpoint::fault_testing {

// What is wrong with the new version.
enum class Regression {
  kNone,
  kFails,         // `amount` more of its requests are not served in time
  kFailsClass,    // the same of one class
  kFailsTenant,   // of one account
  kFailsZone,     // in one zone
  kSlower,        // its answers take 1 + `amount` times as long
  kDoesNotStart,  // it does not come up, and its keeper takes it back
  kCrashes,       // it ends after `amount` seconds, again and again
  kIsolated,      // it serves and hears nobody
  kLeaksMemory,   // it takes `amount` MB more each minute
  kFailsAtScale,  // `amount` more fail once a third of the fleet runs it
  kFailsLater,    // better for 20 s, then `amount` more fail
  kUsesMoreCpu,   // 1 + `amount` times the processor time
};

// What befalls the fleet meanwhile, that is not the change's fault.
enum class Environment { kCalm, kFailingBackends, kTrafficSurge, kZoneLost };

struct TrialOptions {
  int members = 300, zones = 3, classes = 3, tenants = 4;
  double rate = 10;            // requests a second and member, in the mean
  double missed_share = 0.01;  // share not served in time, today
  double missed_cv = 0.3;      // deviation of that between members, over its mean
  double rate_cv = 0.7;        // deviation of a member's rate, over its mean
  Regression regression = Regression::kNone;
  double amount = 0.02;
  Environment environment = Environment::kCalm;
  bool member_faults = false;  // cuts, kills, pauses, a second plan, an abort, by the seed
  double length_s = 900;
  bool record_events = false;  // every event, in the story of a run that does not hold
  std::uint64_t seed = 1;
};

struct TrialResult {
  bool holds = true;               // what the agents promise
  std::vector<std::string> story;  // of what does not
  bool done = false, stopped = false;
  std::string why;  // of the stop
  int ever = 0;     // members that ever ran the new version
  double first_s = 0, ended_s = 0,
         last_back_s = 0;  // of the change's first member, its end, the last one back
  double harmed = 0;       // requests that the change cost, in the mean of chance
  nlohmann::ordered_json Json() const;
};

// `plan`: text of a plan (rollout/plan.h). Throws config::InvalidFile.
TrialResult SimulateRollout(const std::string& plan, const std::string& name_of_file,
                            const TrialOptions& options);

const std::vector<std::pair<std::string, Regression>>& RegressionNames();
const std::vector<std::pair<std::string, Environment>>& EnvironmentNames();

}  // namespace copperpoint::fault_testing

#endif  // COPPERPOINT_FAULT_TESTING_TRIAL_H_
