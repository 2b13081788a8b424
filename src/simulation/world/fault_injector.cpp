// SPDX-License-Identifier: Apache-2.0
#include "simulation/world/fault_injector.h"

#include <algorithm>

namespace copperpoint::simulation {
namespace {

constexpr double kMsPerSecond = 1000;
constexpr double kRestartMs = 2000;          // until a backend that crashed or was drained starts again
constexpr double kProxyRestartMs = 1000;     // until the replacement of a drained proxy starts
constexpr double kBackendDrainMs = 4000;     // after discovery's delays, until a draining backend stops
constexpr double kProxyDrainMarginMs = 700;  // after the longest deadline, until a draining proxy stops
constexpr double kFrontEndUpdateMs = 200;    // until the front end stops or starts to send to a proxy

}  // namespace

FaultInjector::FaultInjector(World& world, std::uint64_t seed, const FaultTargets& targets)
    : world_(world), random_(seed, "fates"), targets_(targets) {}

void FaultInjector::Start() {
  for (std::size_t i = 0; i < world_.scenario.faults.size(); ++i) {
    const Fault& fault = world_.scenario.faults[i];
    world_.queue.Push(FromMs(fault.at_s * kMsPerSecond), EventPriority::kControl, kFaultStart, 0, i);
    world_.queue.Push(EndOf(fault), EventPriority::kControl, kFaultEnd, 0, i);
  }
}

Micros FaultInjector::EndOf(const Fault& fault) const {
  return FromMs(std::min(fault.at_s + fault.for_s, world_.scenario.length_s) * kMsPerSecond);
}

bool FaultInjector::IsUp(std::uint32_t backend) const {
  return world_.backends[backend].health() == Backend::Health::kUp;
}

void FaultInjector::Schedule(double delay_ms, EventKind kind, std::uint32_t target, std::uint64_t argument) {
  world_.queue.Push(world_.now() + FromMs(delay_ms), EventPriority::kControl, kind, target, argument);
}

// ---- the schedule -------------------------------------------------------------------------------------

void FaultInjector::OnFault(std::uint64_t index, bool starts) {
  const Fault& fault = world_.scenario.faults[index];
  if (fault.at_s >= world_.scenario.length_s) return;
  const std::vector<std::uint32_t>& targets = world_.drawn.fault_targets[index];
  switch (fault.kind) {
    case FaultKind::kPauses:
    case FaultKind::kStall:
    case FaultKind::kUnresponsive:
    case FaultKind::kZoneOutage:
    case FaultKind::kFastErrors:
    case FaultKind::kSlow:
    case FaultKind::kBackendOutage:
      for (const std::uint32_t backend : targets) OnBackendFault(fault, index, starts, backend);
      return;
    case FaultKind::kProxyRestart:
    case FaultKind::kProxyCrash:
      for (const std::uint32_t proxy : targets) OnProxyFault(fault, starts, proxy);
      return;
    case FaultKind::kRollingRestart:
      if (starts) ScheduleRollingRestart(fault, targets);
      return;
    case FaultKind::kPartition:
    case FaultKind::kTrafficBurst:
    case FaultKind::kPoisonRequest:
    case FaultKind::kDiscoveryDown:
    case FaultKind::kDiscoveryOverload:
    case FaultKind::kLostResponses:
    case FaultKind::kConnectionResets:
    case FaultKind::kShortTimeouts:
      return OnSystemFault(fault, starts);
  }
}

void FaultInjector::OnBackendFault(const Fault& fault, std::uint64_t index, bool starts,
                                   std::uint32_t backend) {
  switch (fault.kind) {
    case FaultKind::kPauses:
      if (starts) SchedulePause(backend, index);
      return;
    case FaultKind::kStall:
      if (starts && IsUp(backend)) world_.backends[backend].Pause(world_.now(), EndOf(fault));
      return;
    case FaultKind::kUnresponsive:
    case FaultKind::kZoneOutage:
      return starts ? MakeUnresponsive(backend) : EndUnresponsive(backend);
    case FaultKind::kFastErrors:
      return world_.backends[backend].SetFastErrorShare(starts ? std::min(1.0, fault.size) : 0);
    case FaultKind::kSlow:
      return world_.backends[backend].SetSlowdown(starts ? std::max(1.0, fault.size) : 1);
    default:
      return starts ? StartOutage(backend) : StartBackend(backend);
  }
}

void FaultInjector::OnProxyFault(const Fault& fault, bool starts, std::uint32_t proxy) {
  if (fault.kind == FaultKind::kProxyRestart) {
    if (starts) DrainProxy(proxy);
  } else {
    starts ? CrashProxy(proxy) : StartProxy(proxy);
  }
}

// Handles faults that do not affect particular backends or proxies.
void FaultInjector::OnSystemFault(const Fault& fault, bool starts) {
  switch (fault.kind) {
    case FaultKind::kPartition:
      if (starts) world_.network.Partition(fault.from_zone, fault.to_zone, EndOf(fault));
      return;
    case FaultKind::kPoisonRequest:
      world_.attempt_faults.poison_active = starts;
      return;
    case FaultKind::kLostResponses:
      world_.attempt_faults.lost_response_share = starts ? std::min(1.0, fault.size) : 0;
      return;
    case FaultKind::kConnectionResets:
      world_.attempt_faults.connection_reset_share = starts ? std::min(1.0, fault.size) : 0;
      return;
    case FaultKind::kDiscoveryDown:
      return targets_.discovery.SetDown(starts);
    case FaultKind::kDiscoveryOverload:
      return targets_.discovery.SetCapacityShare(starts ? fault.size : 1);
    case FaultKind::kShortTimeouts:
      return targets_.clients.SetShortTimeouts(starts ? fault.part : 0, FromMs(fault.size));
    default:
      return;  // kTrafficBurst is applied by ArrivalProcess
  }
}

void FaultInjector::SchedulePause(std::uint32_t backend, std::uint64_t fault) {
  Schedule(random_.Exponential(world_.scenario.faults[fault].every_ms), kBackendPause, backend, fault);
}

void FaultInjector::OnBackendPause(std::uint32_t backend, std::uint64_t index) {
  const Fault& fault = world_.scenario.faults[index];
  if (IsOver(fault)) return;
  if (IsUp(backend)) world_.backends[backend].Pause(world_.now(), world_.now() + FromMs(fault.size));
  SchedulePause(backend, index);
}

// Drains the backends in batches of `size`, spread evenly over the fault's length.
void FaultInjector::ScheduleRollingRestart(const Fault& fault, const std::vector<std::uint32_t>& backends) {
  const auto batch = static_cast<std::size_t>(std::max(1.0, fault.size));
  const std::size_t batches = (backends.size() + batch - 1) / batch;
  const double length_s = std::min(fault.for_s, world_.scenario.length_s - fault.at_s);
  for (std::size_t i = 0; i < backends.size(); ++i) {
    const std::size_t batch_index = i / batch;
    const double at_s = length_s * static_cast<double>(batch_index) / static_cast<double>(batches);
    Schedule(at_s * kMsPerSecond, kDrainBackend, backends[i], 0);
  }
}

// ---- backends -----------------------------------------------------------------------------------------

void FaultInjector::MakeUnresponsive(std::uint32_t backend) {
  if (!IsUp(backend)) return;
  targets_.backends.Stop(backend, Backend::Health::kUnresponsive);
  targets_.discovery.OnBackendChanged(backend, EndpointState::kRemoved, 0,
                                      world_.scenario.discovery.unresponsive_detection_ms);
}

void FaultInjector::EndUnresponsive(std::uint32_t backend) {
  if (world_.backends[backend].health() == Backend::Health::kUnresponsive) StartBackend(backend);
}

void FaultInjector::StartOutage(std::uint32_t backend) {
  StopBackend(backend);
  targets_.discovery.OnBackendChanged(backend, EndpointState::kRemoved, 0,
                                      world_.scenario.discovery.detection_ms);
}

void FaultInjector::CrashBackend(std::uint32_t backend) {
  if (!IsUp(backend)) return;
  targets_.backends.Stop(backend, Backend::Health::kDown);
  targets_.discovery.OnBackendChanged(backend, EndpointState::kRemoved, 0,
                                      world_.scenario.discovery.detection_ms);
  ScheduleBackendRestart(backend);
}

void FaultInjector::ScheduleBackendRestart(std::uint32_t backend) {
  Schedule(kRestartMs, kStartBackend, backend, 0);
}

void FaultInjector::DrainBackend(std::uint32_t backend) {
  if (!IsUp(backend)) return;
  const DiscoverySettings& discovery = world_.scenario.discovery;
  targets_.discovery.OnBackendChanged(backend, EndpointState::kDraining, world_.backends[backend].up_since(),
                                      discovery.detection_ms);
  Schedule(discovery.detection_ms + discovery.propagation_ms + kBackendDrainMs, kStopBackend, backend, 0);
}

bool FaultInjector::InBackendOutage() const {
  const auto& faults = world_.scenario.faults;
  return std::any_of(faults.begin(), faults.end(), [&](const Fault& fault) {
    return fault.kind == FaultKind::kBackendOutage && world_.now() >= FromMs(fault.at_s * kMsPerSecond) &&
           !IsOver(fault);
  });
}

void FaultInjector::StopBackend(std::uint32_t backend) {
  if (!IsUp(backend)) return;
  targets_.backends.Stop(backend, Backend::Health::kDown);
  if (!InBackendOutage()) ScheduleBackendRestart(backend);
}

void FaultInjector::StartBackend(std::uint32_t backend) {
  if (IsUp(backend)) return;
  targets_.backends.Start(backend);
  targets_.discovery.OnBackendChanged(backend, EndpointState::kReady, world_.backends[backend].up_since(),
                                      world_.scenario.discovery.detection_ms);
}

// ---- proxies ------------------------------------------------------------------------------------------

void FaultInjector::DrainProxy(std::uint32_t proxy) {
  world_.proxies[proxy].draining = true;
  targets_.membership.OnProxyChanged();
  Schedule(kFrontEndUpdateMs, kFrontEndUpdate, proxy, 0);
  Schedule(kFrontEndUpdateMs + world_.scenario.MaxDeadlineMs() + kProxyDrainMarginMs, kStopProxy, proxy, 0);
}

void FaultInjector::StopProxy(std::uint32_t proxy) {
  if (!world_.proxies[proxy].running) return;
  targets_.proxies.Stop(proxy);
  targets_.requests.OnProxyStopped(proxy);
  targets_.membership.OnProxyChanged();
  Schedule(kProxyRestartMs, kStartProxy, proxy, 0);
}

void FaultInjector::CrashProxy(std::uint32_t proxy) {
  if (!world_.proxies[proxy].running) return;
  targets_.proxies.Stop(proxy);
  targets_.requests.OnProxyStopped(proxy);
  targets_.membership.OnProxyChanged();
  Schedule(world_.scenario.clients.failure_detection_ms, kFrontEndUpdate, proxy, 0);
}

void FaultInjector::StartProxy(std::uint32_t proxy) {
  if (world_.proxies[proxy].running) return;
  targets_.proxies.Start(proxy, targets_.discovery.Snapshot(proxy));
  targets_.membership.OnProxyChanged();
  Schedule(kFrontEndUpdateMs, kFrontEndUpdate, proxy, 1);
}

}  // namespace copperpoint::simulation
