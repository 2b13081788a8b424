// SPDX-License-Identifier: Apache-2.0
#include "simulation/world/drawn_scenario.h"

#include <algorithm>
#include <cmath>
#include <numeric>

#include "simulation/core/random.h"

namespace copperpoint::simulation {
namespace {

constexpr double kMinSpeedFactor = 0.05;  // lower bound, relative to the type's mean
constexpr std::int64_t kPoisonRank = 10;  // popularity rank of the poison key: it is requested repeatedly
constexpr double kUnlimitedQuota = 1e9;   // requests a second
constexpr double kMsPerSecond = 1000;
constexpr double kJsonPrecision = 1e6;

template <typename T>
void Shuffle(std::vector<T>* items, Random* random) {
  for (std::size_t i = items->size(); i > 1; --i) std::swap((*items)[i - 1], (*items)[random->Below(i)]);
}

bool AffectsProxies(FaultKind kind) {
  return kind == FaultKind::kProxyRestart || kind == FaultKind::kProxyCrash;
}

std::vector<std::uint32_t> DrawTargets(const DrawnScenario& drawn, const Fault& fault, Random* random) {
  std::vector<std::uint32_t> targets(AffectsProxies(fault.kind) ? drawn.proxy_zones.size()
                                                                : drawn.backends.size());
  std::iota(targets.begin(), targets.end(), 0u);
  if (fault.kind == FaultKind::kZoneOutage) {
    std::erase_if(targets, [&](std::uint32_t b) { return drawn.backends[b].zone != fault.from_zone; });
    return targets;
  }
  Shuffle(&targets, random);
  if (fault.kind == FaultKind::kBackendOutage) return targets;
  const auto wanted = static_cast<std::size_t>(std::lround(fault.part * static_cast<double>(targets.size())));
  targets.resize(std::min(targets.size(), std::max<std::size_t>(1, wanted)));
  return targets;
}

// The type of each backend: as many backends of each type as its share gives, in random order.
std::vector<int> DrawTypes(const Scenario& scenario, Random* random) {
  const auto backends = static_cast<std::size_t>(scenario.fleet.backends);
  double shares = 0;
  for (const BackendType& type : scenario.backend_types) shares += type.share;
  std::vector<int> types;
  double sum = 0;
  for (std::size_t k = 0; k < scenario.backend_types.size(); ++k) {
    sum += scenario.backend_types[k].share / shares * scenario.fleet.backends;
    while (static_cast<double>(types.size()) + 0.5 <= sum && types.size() < backends)
      types.push_back(static_cast<int>(k));
  }
  while (types.size() < backends) types.push_back(static_cast<int>(scenario.backend_types.size()) - 1);
  Shuffle(&types, random);
  return types;
}

DrawnBackend DrawBackend(const Scenario& scenario, int index, int type_index, Random* random) {
  const BackendType& type = scenario.backend_types[static_cast<std::size_t>(type_index)];
  DrawnBackend backend;
  backend.type = type_index;
  backend.zone = index % scenario.fleet.zones;
  backend.cell = index / scenario.fleet.cell_size;
  const double factor = type.speed_cv > 0 ? random->Lognormal(1, type.speed_cv) : 1;
  backend.speed = type.speed * std::max(kMinSpeedFactor, factor);
  return backend;
}

void SetClasses(const Scenario& scenario, Settings* settings) {
  for (const RequestClass& c : scenario.classes) {
    ClassSettings class_settings;
    class_settings.idempotency = c.idempotent ? Idempotency::kIdempotent : Idempotency::kNonIdempotent;
    class_settings.latency_objective = Duration(c.latency_objective_ms);
    class_settings.deadline = Duration(c.deadline_ms);
    class_settings.priority_weight = c.priority_weight;
    settings->classes.push_back(class_settings);
  }
}

// Uses the most conservative values of all types, as a proxy does not know the type of a backend.
void SetSlowStart(const Scenario& scenario, Settings* settings) {
  Settings& s = *settings;
  s.overload_factor = 0;
  for (const BackendType& type : scenario.backend_types) {
    s.key_affinity |= type.cached_key_gain > 0;
    s.slow_start_window = std::max(s.slow_start_window, Duration(type.slow_start_window_s * kMsPerSecond));
    s.slow_start_min_capacity = std::min(s.slow_start_min_capacity, type.slow_start_min_capacity);
    if (type.overload_factor <= 0) continue;
    s.overload_factor =
        s.overload_factor > 0 ? std::min(s.overload_factor, type.overload_factor) : type.overload_factor;
    s.overload_window = std::max(s.overload_window, Duration(type.overload_window_ms));
  }
  // Slow start is not needed if no backend crashes from overload.
  if (s.overload_factor <= 0) s.slow_start_window = Duration(0);
}

}  // namespace

DrawnScenario DrawScenario(const Scenario& scenario, std::uint64_t seed) {
  DrawnScenario drawn;
  drawn.seed = seed;
  Random random(seed, "day");
  const std::vector<int> types = DrawTypes(scenario, &random);
  for (std::size_t i = 0; i < types.size(); ++i)
    drawn.backends.push_back(DrawBackend(scenario, static_cast<int>(i), types[i], &random));
  for (int p = 0; p < scenario.fleet.proxies; ++p) drawn.proxy_zones.push_back(p % scenario.fleet.zones);
  for (std::size_t i = 0; i < scenario.faults.size(); ++i) {
    Random fault_random(seed, "trouble", i);
    drawn.fault_targets.push_back(DrawTargets(drawn, scenario.faults[i], &fault_random));
  }
  if (scenario.load.keys > 0)
    drawn.poison_key = static_cast<std::uint64_t>(std::min(kPoisonRank, scenario.load.keys));
  return drawn;
}

nlohmann::ordered_json Json(const Scenario& scenario, const DrawnScenario& drawn) {
  nlohmann::ordered_json json{{"seed", drawn.seed}};
  auto& backends = json["backends"] = nlohmann::ordered_json::array();
  for (std::size_t i = 0; i < drawn.backends.size(); ++i) {
    const DrawnBackend& b = drawn.backends[i];
    backends.push_back({{"id", i},
                        {"machine", scenario.backend_types[static_cast<std::size_t>(b.type)].name},
                        {"zone", b.zone},
                        {"cell", b.cell},
                        {"speed", std::round(b.speed * kJsonPrecision) / kJsonPrecision}});
  }
  json["proxy_zones"] = drawn.proxy_zones;
  json["trouble_targets"] = drawn.fault_targets;
  return json;
}

Settings ProxySettings(const Scenario& scenario, const DrawnScenario& drawn, int proxy) {
  Settings settings;
  settings.proxy_count = scenario.fleet.proxies;
  settings.proxy_index = proxy;
  settings.zone = drawn.proxy_zones[static_cast<std::size_t>(proxy)];
  SetClasses(scenario, &settings);
  for (const Tenant& tenant : scenario.tenants)
    settings.tenants.push_back({tenant.quota > 0 ? tenant.quota : kUnlimitedQuota});
  const ObjectiveWeights& objective = scenario.objective;
  settings.service_objective = {objective.overall, objective.worst_class, objective.worst_tenant};
  settings.over_quota_weight = scenario.rules.over_quota_weight;
  settings.cross_zone_cost = scenario.rules.cross_zone_cost;
  settings.polls_endpoints = scenario.discovery.polled;
  settings.max_attempts = scenario.rules.max_attempts;
  settings.max_retry_after = Duration(scenario.clients.max_retry_after_ms);
  settings.max_poll_interval = Duration(scenario.rules.max_poll_interval_ms);
  SetSlowStart(scenario, &settings);
  return settings;
}

}  // namespace copperpoint::simulation
