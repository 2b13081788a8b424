// SPDX-License-Identifier: Apache-2.0
//
// The discovery service. It detects changes of backends with a delay, sends updates to the proxies with a
// further delay, answers polls one after the other, and can be down.
#ifndef COPPERPOINT_SIMULATION_WORLD_DISCOVERY_SERVICE_H_
#define COPPERPOINT_SIMULATION_WORLD_DISCOVERY_SERVICE_H_

#include <cstdint>
#include <functional>
#include <vector>

#include "simulation/world/world.h"

namespace copperpoint::simulation {

class DiscoveryService {
 public:
  // `deliver` passes an event to a proxy.
  DiscoveryService(World& world, std::uint64_t seed, std::function<void(std::uint32_t proxy, Event)> deliver);

  // A backend changes to this state now; discovery detects the change after `detection_ms`.
  void OnBackendChanged(std::uint32_t backend, EndpointState state, Micros up_since, double detection_ms);
  void OnChangeDetected(std::uint64_t index);
  void OnEndpointUpdate(std::uint32_t proxy, std::uint64_t incarnation);

  // A proxy polls. The answer starts its subscription to updates.
  void Poll(std::uint32_t proxy);
  void OnPollAnswered(std::uint32_t proxy, std::uint64_t incarnation);
  void OnPollOverdue(std::uint32_t proxy, std::uint64_t incarnation);
  void OnPollFailed(std::uint32_t proxy, std::uint64_t incarnation);

  // Going down ends all subscriptions.
  void SetDown(bool down);
  // Discovery can answer only this share of its normal rate of polls.
  void SetCapacityShare(double share) { capacity_share_ = share; }

  // The endpoint list as discovery knows it now, for a proxy that starts with it.
  std::vector<Endpoint> Snapshot(std::uint32_t proxy);

 private:
  struct KnownState {
    EndpointState state = EndpointState::kReady;
    Micros up_since = 0;
    std::uint64_t change = 0;  // number of the latest change detected; older ones are ignored after it
  };
  struct Change {
    std::uint32_t backend = 0;
    KnownState known;
  };

  // The subscription of a proxy, or null unless the proxy runs in this incarnation.
  Subscription* SubscriptionOf(std::uint32_t proxy, std::uint64_t incarnation);
  Endpoint EndpointOf(std::uint32_t backend) const;
  bool IsReady(std::uint32_t backend) const { return known_[backend].state == EndpointState::kReady; }
  void ScheduleUpdate(std::uint32_t proxy);
  void SendUpdate(std::uint32_t proxy);
  void RecordSent(std::uint32_t proxy, std::uint32_t backend);
  void ExpectPoll(std::uint32_t proxy);
  void LogEndpoints(std::uint32_t proxy, const char* kind, const std::vector<Endpoint>& endpoints);

  World& world_;
  Random random_;
  std::function<void(std::uint32_t, Event)> deliver_;
  std::vector<KnownState> known_;          // by backend
  std::vector<Change> changes_;            // in the order in which they happened
  std::vector<std::uint32_t> change_log_;  // backends, in the order in which their changes were detected
  bool down_ = false;
  double capacity_share_ = 1;
  Micros busy_until_ = 0;  // when the answers to all accepted polls are sent
};

}  // namespace copperpoint::simulation

#endif  // COPPERPOINT_SIMULATION_WORLD_DISCOVERY_SERVICE_H_
