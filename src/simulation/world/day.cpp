// SPDX-License-Identifier: Apache-2.0
#include "simulation/world/day.h"

#include <algorithm>
#include <cmath>
#include <numeric>

#include "simulation/core/random.h"

namespace copperpoint::simulation {
namespace {

constexpr double kLeastSpeed = 0.05;      // of the kind's mean
constexpr std::int64_t kPoisonRank = 10;  // popular enough to come back

bool OfProxies(TroubleKind kind) {
  return kind == TroubleKind::kProxyRelease || kind == TroubleKind::kProxyKill;
}

std::vector<std::uint32_t> Targets(const Day& day, const Trouble& t, Random& random) {
  std::vector<std::uint32_t> all(OfProxies(t.kind) ? day.proxy_zones.size() : day.backends.size());
  std::iota(all.begin(), all.end(), 0u);
  if (t.kind == TroubleKind::kLostZone) {
    std::erase_if(all, [&](std::uint32_t b) { return day.backends[b].zone != t.from_zone; });
    return all;
  }
  for (std::size_t i = all.size(); i > 1; --i) std::swap(all[i - 1], all[random.Below(i)]);
  const bool everyone = t.kind == TroubleKind::kOutage;
  const auto wanted = static_cast<std::size_t>(std::lround(t.part * static_cast<double>(all.size())));
  if (!everyone) all.resize(std::min(all.size(), std::max<std::size_t>(1, wanted)));
  return all;
}

}  // namespace

Day Draw(const Scenario& scenario, std::uint64_t seed) {
  Day day;
  day.seed = seed;
  Random random(seed, "day");
  // Kinds by their shares exactly, as a fleet is bought; which machine stands where is chance.
  double shares = 0;
  for (const Machine& m : scenario.machines) shares += m.share;
  std::vector<int> kinds;
  double sum = 0;
  for (std::size_t k = 0; k < scenario.machines.size(); ++k) {
    sum += scenario.machines[k].share / shares * scenario.fleet.backends;
    while (static_cast<double>(kinds.size()) + 0.5 <= sum &&
           static_cast<int>(kinds.size()) < scenario.fleet.backends)
      kinds.push_back(static_cast<int>(k));
  }
  while (static_cast<int>(kinds.size()) < scenario.fleet.backends)
    kinds.push_back(static_cast<int>(scenario.machines.size()) - 1);
  for (std::size_t i = kinds.size(); i > 1; --i) std::swap(kinds[i - 1], kinds[random.Below(i)]);
  for (std::size_t i = 0; i < kinds.size(); ++i) {
    const Machine& m = scenario.machines[static_cast<std::size_t>(kinds[i])];
    DrawnBackend b;
    b.machine = kinds[i];
    b.zone = static_cast<int>(i) % scenario.fleet.zones;
    b.cell = static_cast<int>(i) / scenario.fleet.cell_size;
    b.speed = m.speed * std::max(kLeastSpeed, m.speed_cv > 0 ? random.Lognormal(1, m.speed_cv) : 1);
    day.backends.push_back(b);
  }
  for (int p = 0; p < scenario.fleet.proxies; ++p) day.proxy_zones.push_back(p % scenario.fleet.zones);
  for (std::size_t i = 0; i < scenario.troubles.size(); ++i) {
    Random of_trouble(seed, "trouble", i);
    day.targets.push_back(Targets(day, scenario.troubles[i], of_trouble));
  }
  if (scenario.load.keys > 0)
    day.poison = static_cast<std::uint64_t>(std::min(kPoisonRank, scenario.load.keys));
  return day;
}

nlohmann::ordered_json Json(const Scenario& scenario, const Day& day) {
  nlohmann::ordered_json json{{"seed", day.seed}};
  auto& backends = json["backends"] = nlohmann::ordered_json::array();
  for (std::size_t i = 0; i < day.backends.size(); ++i) {
    const DrawnBackend& b = day.backends[i];
    backends.push_back({{"id", i},
                        {"machine", scenario.machines[static_cast<std::size_t>(b.machine)].name},
                        {"zone", b.zone},
                        {"cell", b.cell},
                        {"speed", std::round(b.speed * 1e6) / 1e6}});
  }
  json["proxy_zones"] = day.proxy_zones;
  json["trouble_targets"] = day.targets;
  return json;
}

Settings SettingsOf(const Scenario& scenario, const Day& day, int proxy) {
  Settings s;
  s.proxy_count = scenario.fleet.proxies;
  s.proxy_index = proxy;
  s.zone = day.proxy_zones[static_cast<std::size_t>(proxy)];
  for (const RequestClass& c : scenario.classes) {
    ClassSettings settings;
    settings.idempotency = c.safe ? Idempotency::kIdempotent : Idempotency::kNonIdempotent;
    settings.latency_objective = Duration(c.aim_ms);
    settings.deadline = Duration(c.deadline_ms);
    settings.priority_weight = c.worth;
    s.classes.push_back(settings);
  }
  for (const Account& a : scenario.accounts) s.tenants.push_back({a.quota > 0 ? a.quota : 1e9});
  s.service_objective = {scenario.goal.whole, scenario.goal.worst_class, scenario.goal.worst_account};
  s.over_quota_weight = scenario.rules.over_quota_weight;
  s.cross_zone_cost = scenario.rules.cross_zone_price;
  s.polls_endpoints = scenario.discovery.ask;
  s.max_attempts = scenario.rules.max_attempts;
  s.max_retry_after = Duration(scenario.clients.retry_after_ms);
  s.max_poll_interval = Duration(scenario.rules.must_ask_ms);
  s.overload_factor = 0;
  for (const Machine& m : scenario.machines) {
    s.key_affinity |= m.warm_key_gain > 0;
    s.slow_start_window = std::max(s.slow_start_window, Duration(m.warm_up_s * 1000));
    s.slow_start_min_capacity = std::min(s.slow_start_min_capacity, m.slow_start_min_capacity);
    if (m.overload_factor <= 0) continue;
    s.overload_factor =
        s.overload_factor > 0 ? std::min(s.overload_factor, m.overload_factor) : m.overload_factor;
    s.overload_window = std::max(s.overload_window, Duration(m.fall_ms));
  }
  if (s.overload_factor <= 0)
    s.slow_start_window = Duration(0);  // nothing falls over: nothing to be careful of
  return s;
}

}  // namespace copperpoint::simulation
