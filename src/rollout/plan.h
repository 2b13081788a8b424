// SPDX-License-Identifier: Apache-2.0
//
// The types of a rollout's plan: its stages, what is compared, and the action on a regression.
// plan_parser.h reads and writes it; upgrade_order.h derives from it which members upgrade in which stage.
#ifndef COPPERPOINT_ROLLOUT_PLAN_H_
#define COPPERPOINT_ROLLOUT_PLAN_H_

#include <cstdint>
#include <string>
#include <vector>

#include "membership/options.h"

namespace copperpoint::rollout {

// Since an origin of the host's own, in microseconds.
using membership::Time;

inline Time FromSeconds(double seconds) { return Time(static_cast<std::int64_t>(seconds * 1e6)); }

struct Stage {
  // The stage ends when this many members are upgraded: the greatest of the three.
  int members = 0;
  double member_fraction = 0;
  bool one_per_zone = false;

  double bake_time_s = 20;                 // observed for at least so long
  std::int64_t min_canary_requests = 500;  // and until the upgraded members received so many requests
};

// The regressions that must be detected, and with which certainty. All but the last two are differences
// between the canaries (upgraded members) and the baseline (the others).
struct Guardrails {
  double missed_fraction = 0.02;        // of requests that are not served before their deadline
  double above_median_fraction = 0.15;  // of responses slower than the baseline's median, above one half
  double above_tail_fraction = 0.03;    // of responses slower than the baseline's 95th percentile, above 0.05
  double attempts_per_request = 0.1;
  double processor_increase = 0.5;  // of processor time per request, relative
  double memory_increase = 1;       // of resident memory, relative
  // Of stopping a rollout without a regression, over all evaluations, measures and stages together.
  double false_alarm_probability = 0.01;
  double power = 0.9;  // probability of detecting `missed_fraction` within one stage
};

enum class RegressionAction { kStop, kRollBack };

struct Plan {
  std::string name;                      // for people
  std::string old_version, new_version;  // as the supervisors name them
  std::vector<Stage> stages;             // in order
  int max_unavailable = 1;               // members that may be upgrading at the same time
  RegressionAction on_regression = RegressionAction::kRollBack;
  double settle_time_s = 3;       // between a stage's last upgrade and the start of its bake time
  double upgrade_timeout_s = 30;  // for one member to be ready at the new version
  double contact_timeout_s = 6;  // an upgraded member without contact, while its zone has contact, has failed
  double isolation_timeout_s = 60;  // an upgraded member without contact to a majority rolls back; 0: never
  double rollback_interval_s = 2;   // between rollbacks, `max_unavailable` members at a time
  double start_timeout_s = 30;      // without a majority by then, the rollout expires
  double time_limit_s = 3600;       // for the complete rollout
  Guardrails guardrails;
};

struct MemberInfo {
  std::string name, zone;
};

}  // namespace copperpoint::rollout

#endif  // COPPERPOINT_ROLLOUT_PLAN_H_
