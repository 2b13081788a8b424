// SPDX-License-Identifier: Apache-2.0
#include "simulation/world/probe_handler.h"

namespace copperpoint::simulation {
namespace {

constexpr double kProbeWorkMs = 0.03;  // on a core of speed 1

}  // namespace

ProbeHandler::ProbeHandler(World& world, const BackendRuntime& backends)
    : world_(world), backends_(backends) {}

void ProbeHandler::Send(std::uint32_t proxy, std::uint32_t backend) {
  ++world_.metrics.probes;
  const ProxyState& state = world_.proxies[proxy];
  const Micros request_delay =
      world_.network.Delay(world_.now(), state.zone, world_.backends[backend].zone());
  world_.queue.Push(world_.now() + request_delay, EventPriority::kBackend, kProbeReceived, proxy,
                    WithIncarnation(backend, state.incarnation));
}

std::uint64_t ProbeHandler::NewResponse() {
  if (free_responses_.empty()) {
    responses_.emplace_back();
    return responses_.size() - 1;
  }
  const std::uint64_t index = free_responses_.back();
  free_responses_.pop_back();
  return index;
}

void ProbeHandler::OnReceived(std::uint32_t proxy, std::uint64_t backend_and_incarnation) {
  const std::uint32_t id = LowHalf(backend_and_incarnation);
  const Backend& backend = world_.backends[id];
  if (backend.health() != Backend::Health::kUp || backend.IsPaused(world_.now())) return;
  world_.metrics.executed_ms += kProbeWorkMs;
  world_.metrics.useful_ms += kProbeWorkMs;
  const std::uint64_t index = NewResponse();
  responses_[index] = {IncarnationOf(backend_and_incarnation), id, backend.requests(),
                       backends_.RecentLatencyMs(id)};
  const Micros response_delay =
      world_.network.Delay(world_.now(), backend.zone(), world_.proxies[proxy].zone);
  world_.queue.Push(world_.now() + response_delay, EventPriority::kBackend, kProbeResponse, proxy, index);
}

void ProbeHandler::OnResponse(std::uint32_t proxy, std::uint64_t index) {
  const Response response = responses_[index];
  free_responses_.push_back(index);
  const ProxyState& state = world_.proxies[proxy];
  if (state.running && state.incarnation == response.proxy_incarnation)
    state.policy->OnProbe(world_.time(), response.backend, response.in_flight, response.latency_ms);
}

}  // namespace copperpoint::simulation
