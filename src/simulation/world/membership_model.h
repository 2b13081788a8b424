// SPDX-License-Identifier: Apache-2.0
//
// What proxies know of each other by their membership (docs/membership.md), as far as the service is affected
// by it: their ring offsets among the proxies of their zone, updated some time after each change. The
// membership protocol itself is tested by `copperpoint fault-test`.
#ifndef COPPERPOINT_SIMULATION_WORLD_MEMBERSHIP_MODEL_H_
#define COPPERPOINT_SIMULATION_WORLD_MEMBERSHIP_MODEL_H_

#include <cstdint>
#include <functional>
#include <vector>

#include "simulation/world/world.h"
#include "subsetting/ring_position.h"

namespace copperpoint::simulation {

class MembershipModel {
 public:
  // `deliver` hands an event to a proxy.
  MembershipModel(World& world, std::function<void(std::uint32_t proxy, Event)> deliver);

  void Start();
  void OnProxyChanged();  // one started, drains or stopped
  void OnUpdate();

 private:
  struct Member {
    bool known = false;
    Micros left_at = -1;  // -1: it serves
  };
  struct SentOffset {
    std::uint32_t incarnation = 0;
    double ring_offset = -1;  // -1: none yet
  };

  bool Serves(std::uint32_t proxy) const;
  std::vector<subsetting::Peer> UpdateMembers();

  World& world_;
  std::function<void(std::uint32_t, Event)> deliver_;
  std::vector<Member> members_;   // by proxy
  std::vector<SentOffset> sent_;  // by proxy
};

}  // namespace copperpoint::simulation

#endif  // COPPERPOINT_SIMULATION_WORLD_MEMBERSHIP_MODEL_H_
