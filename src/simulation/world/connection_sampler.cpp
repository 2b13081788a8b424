// SPDX-License-Identifier: Apache-2.0
#include "simulation/world/connection_sampler.h"

namespace copperpoint::simulation {
namespace {

constexpr double kIntervalMs = 1000;
constexpr double kMsPerSecond = 1000;
constexpr double kMinUptimeMs = 5000;  // proxies are still connecting to a backend that started more recently

}  // namespace

void ConnectionSampler::Start() {
  world_.queue.Push(FromMs(kIntervalMs), EventPriority::kControl, kConnectionSample, 0, 0);
}

void ConnectionSampler::OnSample() {
  double sum = 0;
  double squares = 0;
  double count = 0;
  for (const Backend& backend : world_.backends) {
    const bool settled = backend.up_since() + FromMs(kMinUptimeMs) <= world_.now();
    if (backend.health() != Backend::Health::kUp || !settled) continue;
    const double connections = backend.connections();
    ++count;
    sum += connections;
    squares += connections * connections;
  }
  if (sum > 0) world_.metrics.OnConnectionSample(sum / count, squares / count);
  if (ToMs(world_.now()) >= world_.scenario.length_s * kMsPerSecond) return;
  world_.queue.Push(world_.now() + FromMs(kIntervalMs), EventPriority::kControl, kConnectionSample, 0, 0);
}

}  // namespace copperpoint::simulation
