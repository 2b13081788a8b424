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
  double share = 0;
  bool each_zone = false;  // one of each
  double watch_s = 20;
  std::int64_t watch_requests = 500;  // that the changed members were asked meanwhile

  void Describe(config::Visitor& v);
};

// What must not go unseen, and with which certainty.
struct Guard {
  double worth = 0.02;     // share of requests not served in time, more than with the others
  double slower = 0.15;    // share of answers that take longer than the others' median, beyond a half
  double tail = 0.03;      // the same of the others' slowest twentieth
  double attempts = 0.1;   // more attempts a request
  double processor = 0.5;  // more processor time a request, as a share
  double memory = 1;       // more memory, as a share
  double alarm = 0.01;     // chance that a good change is stopped, over all looks, measures and stages
  double power = 0.9;      // chance that a loss of `worth` is seen within a stage

  void Describe(config::Visitor& v);
};

enum class OnWorse { kStop, kBack };

struct Plan {
  std::string name, from, to;  // versions, as keepers know them
  std::vector<Stage> stages;
  int at_once = 1;
  OnWorse on_worse = OnWorse::kBack;
  double settle_s = 3;   // after the last of a stage is back, before it is watched
  double change_s = 30;  // for one member to be back as the new version
  double silence_s = 6;  // a changed member that the leader does not hear, where others of its zone are heard
  double alone_back_s = 60;    // a changed member that does not hear a majority goes back; 0: never
  double back_step_s = 2;      // between members that go back, `at_once` at a time
  double start_within_s = 30;  // without a majority that holds to it, a change ends before it has begun
  double limit_s = 3600;       // for the whole
  Guard guard;

  void Describe(config::Visitor& v);
};

// Throws config::BadFile with every fault, line and key.
Plan ReadPlan(const std::string& text, const std::string& name_of_file);
std::string TextOf(const Plan& plan);

struct Named {
  std::string name, zone;
};

// Who goes when: `members` in turn by zone and within a zone by a hash of the change and the name; `ends[k]`
// of them have changed when stage k is over.
struct Order {
  std::vector<Named> members;
  std::vector<int> ends;

  int RankOf(const std::string& name) const;  // below 0: not of this change
  int StageOf(int prefix) const;              // the first stage that `prefix` is not beyond
};
Order MakeOrder(const Plan& plan, std::vector<Named> members, std::uint64_t change);

// What a stage can see with the traffic there is.
struct Sight {
  int changed = 0, others = 0;
  double requests = 0;    // of the changed members while it is watched
  double longest_s = 0;   // changing and watching, without waiting for requests
  double seen_worth = 0;  // the least loss that is seen with the plan's power; above 1: none
  double needed_s = 0;    // of watching, to see `guard.worth`
};
// `rate`: requests a second over all members; `missed`: share of them that is not served in time today.
std::vector<Sight> Foresee(const Plan& plan, const Order& order, double rate, double missed);

}  // namespace copperpoint::rollout

#endif  // COPPERPOINT_ROLLOUT_PLAN_H_
