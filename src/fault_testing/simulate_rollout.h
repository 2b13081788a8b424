// SPDX-License-Identifier: Apache-2.0
//
// Simulates rollouts in virtual time: the members' real agents (src/rollout) on an emulated fleet with
// emulated traffic and injected faults. Checks whether a rollout stops exactly when it should, counts the
// members that ever ran the new version, and checks that the guarantees of the agents hold under any fault.
#ifndef COPPERPOINT_FAULT_TESTING_SIMULATE_ROLLOUT_H_
#define COPPERPOINT_FAULT_TESTING_SIMULATE_ROLLOUT_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "config/schema.h"

namespace copperpoint::fault_testing {

// What is wrong with the new version.
enum class Regression {
  kNone,
  kFails,         // an additional share `amount` of its requests is not served in time
  kFailsClass,    // likewise, for the requests of one class
  kFailsTenant,   // likewise, for the requests of one tenant
  kFailsZone,     // likewise, in one zone
  kSlower,        // its responses take 1 + `amount` times as long
  kDoesNotStart,  // it does not become ready, and its supervisor rolls back
  kCrashes,       // it exits `amount` seconds after each start
  kIsolated,      // it serves requests, but none of its messages reaches another member
  kLeaksMemory,   // its memory grows by `amount` MB a minute
  kFailsAtScale,  // like kFails, once a third of the fleet runs it
  kFailsLater,    // it fails fewer requests for 20 s, then like kFails
  kUsesMoreCpu,   // it uses 1 + `amount` times the processor time
};

// Disturbances during the rollout that the new version does not cause.
enum class Environment { kCalm, kFailingBackends, kTrafficSurge, kZoneLost };

struct TrialOptions {
  int members = 300, zones = 3, classes = 3, tenants = 4;
  double rate = 10;            // mean requests a second of a member
  double missed_share = 0.01;  // mean share of requests not served in time by the old version
  double missed_cv = 0.3;      // spread of that share between members (lognormal)
  double rate_cv = 0.7;        // spread of the rate between members (lognormal)
  Regression regression = Regression::kNone;
  double amount = 0.02;
  Environment environment = Environment::kCalm;
  bool member_faults = false;  // partitions, kills, pauses, a second plan and aborts, drawn with the seed
  double length_s = 900;
  bool record_events = false;  // includes all rollout events in `story` if the run does not hold
  std::uint64_t seed = 1;
};

struct TrialResult {
  bool holds = true;               // whether the guarantees of the agents held
  std::vector<std::string> story;  // violations and events, one line each; empty if the run holds
  bool done = false, stopped = false;
  std::string why;  // reason for stopping
  int ever = 0;     // number of members that ever ran the new version
  double first_s = 0, ended_s = 0,
         last_back_s = 0;  // first start of the new version, end of the rollout, last rollback of a member
  double harmed = 0;       // expected number of requests not served in time because of the new version
  nlohmann::ordered_json Json() const;
};

// Simulates a rollout of `plan`, the text of a plan (rollout/plan.h); `name_of_file` is named in errors.
// Throws config::InvalidFile.
TrialResult SimulateRollout(const std::string& plan, const std::string& name_of_file,
                            const TrialOptions& options);

const std::vector<std::pair<std::string, Regression>>& RegressionNames();
const std::vector<std::pair<std::string, Environment>>& EnvironmentNames();

}  // namespace copperpoint::fault_testing

#endif  // COPPERPOINT_FAULT_TESTING_SIMULATE_ROLLOUT_H_
