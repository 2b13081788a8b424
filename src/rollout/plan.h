// SPDX-License-Identifier: Apache-2.0
//
// The types of a rollout's plan: its stages, the regressions to detect, and the action on a regression.
// plan_parser.h reads and writes plans; upgrade_order.h derives which members upgrade in which stage.
#ifndef COPPERPOINT_ROLLOUT_PLAN_H_
#define COPPERPOINT_ROLLOUT_PLAN_H_

#include <cstdint>
#include <string>
#include <vector>

#include "membership/options.h"

namespace copperpoint::rollout {

// The time since an origin that the process chooses, in microseconds.
using membership::Time;

inline Time FromSeconds(double seconds) { return Time(static_cast<std::int64_t>(seconds * 1e6)); }

struct Stage {
  // The stage ends when the greatest of these three numbers of members is upgraded.
  int members = 0;
  double member_fraction = 0;
  bool one_per_zone = false;

  double bake_time_s = 20;                 // The minimum time for which the canaries are compared.
  std::int64_t min_canary_requests = 500;  // The bake time also lasts until they received this many requests.
};

// The regressions that must be detected, and with what certainty. All but the last two fields are differences
// between the canaries (the upgraded members) and the baseline (the others).
struct Guardrails {
  double missed_fraction = 0.02;        // Requests not served before their deadline, as a fraction.
  double above_median_fraction = 0.15;  // Responses slower than the baseline's median, above one half.
  double above_tail_fraction = 0.03;    // Responses slower than the baseline's 95th percentile, above 0.05.
  double attempts_per_request = 0.1;
  double processor_increase = 0.5;  // The relative increase of processor time per request.
  double memory_increase = 1;       // The relative increase of resident memory.
  // The probability of stopping a rollout without a regression, over all evaluations, measures and stages.
  double false_alarm_probability = 0.01;
  double power = 0.9;  // The probability of detecting `missed_fraction` within one stage.
};

enum class RegressionAction { kStop, kRollBack };

struct Plan {
  std::string name;                      // A name for display only.
  std::string old_version, new_version;  // The supervisors' names of the versions.
  std::vector<Stage> stages;             // The stages in their order.
  int max_unavailable = 1;               // The number of members that may be upgrading at the same time.
  RegressionAction on_regression = RegressionAction::kRollBack;
  double settle_time_s = 3;       // The time between a stage's last upgrade and the start of its bake time.
  double upgrade_timeout_s = 30;  // The time within which a member must be ready at the new version.
  // An upgraded member has failed if it has no contact for this time while its zone has contact.
  double contact_timeout_s = 6;
  // An upgraded member without contact to a majority for this time rolls back; 0: it never does.
  double isolation_timeout_s = 60;
  double rollback_interval_s = 2;  // The time between rollbacks of `max_unavailable` members each.
  double start_timeout_s = 30;     // The rollout expires if no member was admitted within this time.
  double time_limit_s = 3600;      // The maximum duration of the rollout.
  Guardrails guardrails;
};

struct MemberInfo {
  std::string name, zone;
};

}  // namespace copperpoint::rollout

#endif  // COPPERPOINT_ROLLOUT_PLAN_H_
