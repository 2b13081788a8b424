// SPDX-License-Identifier: Apache-2.0
//
// What clients wish for and when: drawn ahead of everything else from a stream of its own, so that every
// policy meets the same wishes. Open loop: nobody waits for an answer before the next wish.
#ifndef COPPERPOINT_SIMULATION_WORLD_ARRIVALS_H_
#define COPPERPOINT_SIMULATION_WORLD_ARRIVALS_H_

#include <optional>
#include <string>
#include <vector>

#include "simulation/core/queue.h"
#include "simulation/core/random.h"
#include "simulation/scenario/scenario.h"
#include "simulation/world/day.h"

namespace copperpoint::simulation {

struct Wish {
  Micros at = 0;
  std::uint16_t cls = 0, account = 0, zone = 0;
  bool honours = false;     // follows Retry-After
  bool over_share = false;  // its account is beyond its quota
  std::uint64_t key = 0;
  float work_ms = 0, hint_ms = 0;
};

class Arrivals {
 public:
  // Reads the replay file, if one is named; throws config::BadFile on a bad line of it.
  Arrivals(const Scenario& scenario, const Day& day);

  // Nothing after the scenario's length.
  std::optional<Wish> Next();

 private:
  double RateAt(double at_s);
  bool Draw(Wish* wish);
  double Work(const RequestClass& c);
  void Finish(Wish* wish);

  const Scenario& scenario_;
  Random random_, attributes_, keys_random_;
  Weighted classes_, accounts_, zones_;
  std::optional<Weighted> keys_;
  std::vector<Wish> replay_;
  std::size_t replayed_ = 0;
  double rate_, most_rate_, at_s_ = 0;
  double spell_until_s_ = 0, spell_ = 1;
  std::vector<double> tokens_;
  double tokens_at_s_ = 0;
};

}  // namespace copperpoint::simulation

#endif  // COPPERPOINT_SIMULATION_WORLD_ARRIVALS_H_
