// SPDX-License-Identifier: Apache-2.0
//
// Runs the policies of the proxies: starts and stops them, delivers events and executes their actions.
#ifndef COPPERPOINT_SIMULATION_WORLD_PROXY_RUNTIME_H_
#define COPPERPOINT_SIMULATION_WORLD_PROXY_RUNTIME_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

#include "simulation/world/world.h"

namespace copperpoint::simulation {

// Executes the actions of policies that concern requests and discovery.
class ActionHandler {
 public:
  virtual ~ActionHandler() = default;
  virtual void StartAttempt(std::uint32_t proxy, const copperpoint::StartAttempt& action) = 0;
  virtual void RejectRequest(std::uint32_t proxy, const copperpoint::RejectRequest& action) = 0;
  virtual void FailRequest(std::uint32_t proxy, const copperpoint::FailRequest& action) = 0;
  virtual void PollEndpoints(std::uint32_t proxy) = 0;
};

class ProxyRuntime {
 public:
  using MakePolicy = std::function<std::unique_ptr<Policy>(std::uint32_t proxy, std::uint64_t seed)>;

  ProxyRuntime(World& world, ActionHandler& actions, MakePolicy make_policy);

  // Starts a new incarnation of the proxy, with `known` as its first endpoint list.
  void Start(std::uint32_t proxy, std::vector<Endpoint> known);
  // Stops the proxy and closes its connections. The caller takes care of its requests.
  void Stop(std::uint32_t proxy);
  // Passes an event to the policy. An event that arises while the policy handles another waits for it.
  void Deliver(std::uint32_t proxy, Event event);
  void OnTimer(std::uint32_t proxy, std::uint64_t token_and_incarnation);

 private:
  void Execute(std::uint32_t proxy, const StartAttempt& action);
  void Execute(std::uint32_t proxy, const RejectRequest& action);
  void Execute(std::uint32_t proxy, const FailRequest& action);
  void Execute(std::uint32_t proxy, const PollEndpoints& action);
  void Execute(std::uint32_t proxy, const SetTimer& action);
  void Execute(std::uint32_t proxy, const CloseIdleConnections& action);
  void Execute(std::uint32_t proxy, const Log& action);

  World& world_;
  ActionHandler& actions_;
  MakePolicy make_policy_;
  std::vector<Action> action_buffer_;  // kept between calls, to save allocations
  std::uint64_t started_ = 0;          // incarnations started so far, of all proxies
};

}  // namespace copperpoint::simulation

#endif  // COPPERPOINT_SIMULATION_WORLD_PROXY_RUNTIME_H_
