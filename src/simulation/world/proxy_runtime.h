// SPDX-License-Identifier: Apache-2.0
//
// Runs the policies of the proxies: starts and stops them, delivers events, and passes their actions on.
#ifndef COPPERPOINT_SIMULATION_WORLD_PROXY_RUNTIME_H_
#define COPPERPOINT_SIMULATION_WORLD_PROXY_RUNTIME_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

#include "simulation/world/world.h"

namespace copperpoint::simulation {

// Executes what a policy decides about requests and discovery.
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

  // Starts an incarnation of the proxy that knows these endpoints.
  void Start(std::uint32_t proxy, std::vector<Endpoint> known);
  // Its connections break; its requests are the caller's concern.
  void Stop(std::uint32_t proxy);
  // Hands an event to the policy. One that arises while another is handled waits for it.
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
  std::vector<Action> action_buffer_;  // used again, to save allocations
  std::uint64_t started_ = 0;          // incarnations of all proxies
};

}  // namespace copperpoint::simulation

#endif  // COPPERPOINT_SIMULATION_WORLD_PROXY_RUNTIME_H_
