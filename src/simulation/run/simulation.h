// SPDX-License-Identifier: Apache-2.0
//
// The simulation of one run: connects the components of the simulated world, owns their state and dispatches
// events to them.
#ifndef COPPERPOINT_SIMULATION_RUN_SIMULATION_H_
#define COPPERPOINT_SIMULATION_RUN_SIMULATION_H_

#include <cstdint>
#include <memory>
#include <nlohmann/json.hpp>

#include "simulation/run/run.h"
#include "simulation/world/attempt_handler.h"
#include "simulation/world/client_population.h"
#include "simulation/world/connection_sampler.h"
#include "simulation/world/discovery_service.h"
#include "simulation/world/fault_injector.h"
#include "simulation/world/membership_model.h"
#include "simulation/world/probe_handler.h"
#include "simulation/world/proxy_runtime.h"
#include "simulation/world/request_handler.h"
#include "simulation/world/true_response_times.h"
#include "simulation/world/world.h"

namespace copperpoint::simulation {

class Simulation : private ActionHandler {
 public:
  // `scenario` and `options` must outlive the simulation.
  Simulation(const Scenario& scenario, const RunOptions& options);

  RunResult Run();

 private:
  // ActionHandler
  void StartAttempt(std::uint32_t proxy, const copperpoint::StartAttempt& action) override;
  void RejectRequest(std::uint32_t proxy, const copperpoint::RejectRequest& action) override;
  void FailRequest(std::uint32_t proxy, const copperpoint::FailRequest& action) override;
  void PollEndpoints(std::uint32_t proxy) override;

  std::unique_ptr<Policy> MakePolicy(std::uint32_t proxy, std::uint64_t seed);
  void Start();
  void Dispatch(const ScheduledEvent& event);
  void OnClientTimeout(std::uint32_t slot);
  nlohmann::ordered_json Json() const;

  const RunOptions& options_;
  const Micros end_;
  World world_;
  TrueResponseTimes truth_;
  ProxyRuntime proxies_;
  DiscoveryService discovery_;
  ClientPopulation clients_;
  RequestHandler requests_;
  AttemptHandler attempts_;
  ProbeHandler probes_;
  MembershipModel membership_;
  ConnectionSampler connection_sampler_;
  FaultInjector faults_;
};

}  // namespace copperpoint::simulation

#endif  // COPPERPOINT_SIMULATION_RUN_SIMULATION_H_
