// SPDX-License-Identifier: Apache-2.0
//
// The plan of a rolling change: its stages, what is watched, what worse means and what is done then. In which
// order members change follows from the plan and the names alone, so that every member knows the same.
#ifndef COPPERPOINT_ROLLOUT_PLAN_H_
#define COPPERPOINT_ROLLOUT_PLAN_H_

#include <cstdint>
#include <string>
#include <vector>

#include "config/schema.h"
#include "membership/options.h"

namespace copperpoint::rollout {

using membership::Time;

struct Stage {
  // How many members have changed when it is over: the most of these three.
  int members = 0;
  double member_fraction = 0;
  bool one_per_zone = false;  // one of each
  double bake_time_s = 20;
  std::int64_t min_canary_requests = 500;  // that the changed members were asked meanwhile

  void Describe(config::Visitor& v);
};

// What must not go unseen, and with which certainty.
struct Guardrails {
  double missed_fraction = 0.02;  // share of requests not served in time, more than with the others
  double above_median_fraction =
      0.15;  // share of answers that take longer than the others' median, beyond a half
  double above_tail_fraction = 0.03;  // the same of the others' slowest twentieth
  double attempts_per_request = 0.1;  // more attempts a request
  double processor_increase = 0.5;    // more processor time a request, as a share
  double memory_increase = 1;         // more memory, as a share
  double false_alarm_probability =
      0.01;            // chance that a good change is stopped, over all looks, measures and stages
  double power = 0.9;  // chance that a loss of `worth` is seen within a stage

  void Describe(config::Visitor& v);
};

enum class RegressionAction { kStop, kRollBack };

struct Plan {
  std::string name, old_version, new_version;  // versions, as keepers know them
  std::vector<Stage> stages;
  int max_unavailable = 1;
  RegressionAction on_regression = RegressionAction::kRollBack;
  double settle_time_s = 3;       // after the last of a stage is back, before it is watched
  double upgrade_timeout_s = 30;  // for one member to be back as the new version
  double contact_timeout_s =
      6;  // a changed member that the leader does not hear, where others of its zone are heard
  double isolation_timeout_s = 60;  // a changed member that does not hear a majority goes back; 0: never
  double rollback_interval_s = 2;   // between members that go back, `at_once` at a time
  double start_timeout_s = 30;      // without a majority that holds to it, a change ends before it has begun
  double time_limit_s = 3600;       // for the whole
  Guardrails guardrails;

  void Describe(config::Visitor& v);
};

// Throws config::BadFile with every fault, line and key.
Plan ParsePlan(const std::string& text, const std::string& name_of_file);
std::string FormatPlan(const Plan& plan);

struct MemberInfo {
  std::string name, zone;
};

// Who goes when: `members` in turn by zone and within a zone by a hash of the change and the name; `ends[k]`
// of them have changed when stage k is over.
struct UpgradeOrder {
  std::vector<MemberInfo> members;
  std::vector<int> stage_ends;

  int RankOf(const std::string& name) const;  // below 0: not of this change
  int StageOf(int prefix) const;              // the first stage that `prefix` is not beyond
};
UpgradeOrder MakeUpgradeOrder(const Plan& plan, std::vector<MemberInfo> members, std::uint64_t change);

// What a stage can see with the traffic there is.
struct StageForecast {
  int changed = 0, others = 0;
  double requests = 0;              // of the changed members while it is watched
  double max_duration_s = 0;        // changing and watching, without waiting for requests
  double detectable_fraction = 0;   // the least loss that is seen with the plan's power; above 1: none
  double required_bake_time_s = 0;  // of watching, to see `guard.worth`
};
// `rate`: requests a second over all members; `missed`: share of them that is not served in time today.
std::vector<StageForecast> ForecastStages(const Plan& plan, const UpgradeOrder& order, double rate,
                                          double missed);

}  // namespace copperpoint::rollout

#endif  // COPPERPOINT_ROLLOUT_PLAN_H_
