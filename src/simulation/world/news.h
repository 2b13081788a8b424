// SPDX-License-Identifier: Apache-2.0
//
// Discovery: one service that learns of changes late, tells them to the proxies later still, answers calls
// one after the other, and can be down.
#ifndef COPPERPOINT_SIMULATION_WORLD_NEWS_H_
#define COPPERPOINT_SIMULATION_WORLD_NEWS_H_

#include <functional>
#include <vector>

#include "simulation/world/state.h"

namespace copperpoint::simulation {

class News {
 public:
  News(State& state, std::uint64_t seed, std::function<void(std::uint32_t, Event)> feed);

  // What is true from now on; discovery gets to know of it after its notice.
  void Changed(std::uint32_t backend, EndpointState state, Micros up_since, double notice_ms);
  void OnNotice(std::uint64_t index);
  void OnNews(std::uint32_t proxy, std::uint64_t life);

  void Call(std::uint32_t proxy);
  void OnCalled(std::uint32_t proxy, std::uint64_t life);
  void OnShouldHaveAsked(std::uint32_t proxy, std::uint64_t life);
  void OnCallFailed(std::uint32_t proxy, std::uint64_t life);

  void SetDown(bool down);
  void SetOverbooked(double share) { share_ = share; }

  // The list as discovery has it now. A proxy that starts with it knows it.
  std::vector<Endpoint> List(std::uint32_t proxy);

 private:
  void LogList(std::uint32_t p, const char* kind, const std::vector<Endpoint>& entries);
  struct Known {
    EndpointState state = EndpointState::kReady;
    Micros up_since = 0;
    std::uint64_t change = 0;  // the latest that discovery knows: older news that come later are dropped
  };
  struct Pending {
    std::uint32_t backend = 0;
    Known known;
  };
  Endpoint Entry(std::uint32_t backend) const;
  void Deliver(std::uint32_t proxy);
  void Tell(std::uint32_t proxy, std::uint32_t backend);
  void Wait(std::uint32_t proxy);
  void Announce(std::uint32_t proxy);

  State& s_;
  Random random_;
  std::function<void(std::uint32_t, Event)> feed_;
  std::vector<Known> known_;
  std::vector<Pending> pending_;
  std::vector<std::uint32_t> log_;  // backends, in the order of their changes
  Micros busy_until_ = 0;
  double share_ = 1;
  bool down_ = false;
};

}  // namespace copperpoint::simulation

#endif  // COPPERPOINT_SIMULATION_WORLD_NEWS_H_
