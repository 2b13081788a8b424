// SPDX-License-Identifier: Apache-2.0
//
// What proxies know of each other where they keep a view (docs/membership.md), as far as the service feels
// it: their positions among those of their zone, told some time after each change. The protocol itself is
// played by `copperpoint rig`. And how evenly the proxies' connections lie on the backends.
#ifndef COPPERPOINT_SIMULATION_WORLD_VIEWS_H_
#define COPPERPOINT_SIMULATION_WORLD_VIEWS_H_

#include <functional>
#include <optional>
#include <vector>

#include "simulation/world/state.h"

namespace copperpoint::simulation {

class Views {
 public:
  Views(State& state, std::function<void(std::uint32_t, Event)> feed);

  void Begin();
  void Changed();  // a proxy started, drains or is gone
  void OnTold();
  void OnSample();

 private:
  struct Seen {
    bool known = false;
    Micros gone_at = -1;  // -1: it serves
  };

  bool Serves(std::uint32_t proxy) const { return s_.proxies[proxy].alive && !s_.proxies[proxy].drained; }

  State& s_;
  std::function<void(std::uint32_t, Event)> feed_;
  std::vector<Seen> seen_;
  struct Said {
    std::uint32_t life = 0;
    double turn = -1;
  };
  std::vector<Said> said_;
};

}  // namespace copperpoint::simulation

#endif  // COPPERPOINT_SIMULATION_WORLD_VIEWS_H_
