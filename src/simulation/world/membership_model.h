// SPDX-License-Identifier: Apache-2.0
//
// A model of the proxies' membership (docs/membership.md), as far as it affects the service: the ring offset
// of each proxy among the proxies of its zone, updated with a delay after each change. `copperpoint
// fault-test` tests the membership protocol itself.
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
  // `deliver` passes an event to a proxy.
  MembershipModel(World& world, std::function<void(std::uint32_t proxy, Event)> deliver);

  void Start();           // sends the first ring offsets
  void OnProxyChanged();  // a proxy started, drains or stopped
  void OnUpdate();        // the proxies learn of changes

 private:
  struct Member {
    bool known = false;   // it has a place in the ring
    Micros left_at = -1;  // -1: it has not left
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
