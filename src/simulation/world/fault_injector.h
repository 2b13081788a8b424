// SPDX-License-Identifier: Apache-2.0
//
// Carries out the scenario's fault schedule and the operators' planned restarts of backends and proxies.
// Faults may overlap: a machine stays unresponsive until the fault that made it so ends, and a backend that
// is down is not paused.
#ifndef COPPERPOINT_SIMULATION_WORLD_FAULT_INJECTOR_H_
#define COPPERPOINT_SIMULATION_WORLD_FAULT_INJECTOR_H_

#include <cstdint>
#include <vector>

#include "simulation/world/backend_runtime.h"
#include "simulation/world/client_population.h"
#include "simulation/world/discovery_service.h"
#include "simulation/world/membership_model.h"
#include "simulation/world/proxy_runtime.h"
#include "simulation/world/request_handler.h"
#include "simulation/world/world.h"

namespace copperpoint::simulation {

// The parts of the simulation that faults act on.
struct FaultTargets {
  ProxyRuntime& proxies;
  RequestHandler& requests;
  BackendRuntime& backends;
  DiscoveryService& discovery;
  ClientPopulation& clients;
  MembershipModel& membership;
};

class FaultInjector {
 public:
  FaultInjector(World& world, std::uint64_t seed, const FaultTargets& targets);

  void Start();  // schedules the faults
  // A fault starts or ends.
  void OnFault(std::uint64_t index, bool starts);
  void OnBackendPause(std::uint32_t backend, std::uint64_t fault);

  void DrainBackend(std::uint32_t backend);
  void StopBackend(std::uint32_t backend);
  void StartBackend(std::uint32_t backend);
  // The backend's process crashes, and restarts after a delay.
  void CrashBackend(std::uint32_t backend);

  void DrainProxy(std::uint32_t proxy);
  // Stops a proxy after its drain, and schedules the start of its replacement.
  void StopProxy(std::uint32_t proxy);
  void CrashProxy(std::uint32_t proxy);
  void StartProxy(std::uint32_t proxy);

 private:
  Micros EndOf(const Fault& fault) const;  // no later than the end of the arrivals
  bool IsOver(const Fault& fault) const { return world_.now() >= EndOf(fault); }
  bool IsUp(std::uint32_t backend) const;
  bool InBackendOutage() const;
  void Schedule(double delay_ms, EventKind kind, std::uint32_t target, std::uint64_t argument);
  void ScheduleBackendRestart(std::uint32_t backend);

  void OnBackendFault(const Fault& fault, std::uint64_t index, bool starts, std::uint32_t backend);
  void OnProxyFault(const Fault& fault, bool starts, std::uint32_t proxy);
  void OnSystemFault(const Fault& fault, bool starts);
  void SchedulePause(std::uint32_t backend, std::uint64_t fault);
  void MakeUnresponsive(std::uint32_t backend);
  void EndUnresponsive(std::uint32_t backend);
  void StartOutage(std::uint32_t backend);
  void ScheduleRollingRestart(const Fault& fault, const std::vector<std::uint32_t>& backends);

  World& world_;
  Random random_;
  FaultTargets targets_;
};

}  // namespace copperpoint::simulation

#endif  // COPPERPOINT_SIMULATION_WORLD_FAULT_INJECTOR_H_
