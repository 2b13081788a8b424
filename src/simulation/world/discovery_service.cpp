// SPDX-License-Identifier: Apache-2.0
#include "simulation/world/discovery_service.h"

#include <algorithm>
#include <set>
#include <utility>

#include "decision/log_names.h"
#include "log/event_names.h"

namespace copperpoint::simulation {
namespace {

constexpr double kMsPerSecond = 1000;
constexpr double kMinCallsPerSecond = 1e-6;
constexpr double kFailedCallMs = 1;  // until a poll fails while discovery is down

}  // namespace

DiscoveryService::DiscoveryService(World& world, std::uint64_t seed,
                                   std::function<void(std::uint32_t, Event)> deliver)
    : world_(world), random_(seed, "news"), deliver_(std::move(deliver)), known_(world.backends.size()) {}

Subscription* DiscoveryService::SubscriptionOf(std::uint32_t proxy, std::uint64_t incarnation) {
  ProxyState& state = world_.proxies[proxy];
  return state.running && state.incarnation == incarnation ? &state.subscription : nullptr;
}

Endpoint DiscoveryService::EndpointOf(std::uint32_t backend) const {
  Endpoint endpoint;
  endpoint.backend = backend;
  endpoint.zone = world_.backends[backend].zone();
  endpoint.kind = world_.drawn.backends[backend].type;
  endpoint.cell = world_.backends[backend].cell();
  endpoint.state = known_[backend].state;
  if (known_[backend].up_since > 0) endpoint.up_since = World::Time(known_[backend].up_since);
  return endpoint;
}

// ---- changes and updates ------------------------------------------------------------------------------

void DiscoveryService::OnBackendChanged(std::uint32_t backend, EndpointState state, Micros up_since,
                                        double detection_ms) {
  changes_.push_back({backend, {state, up_since, changes_.size() + 1}});
  world_.queue.Push(world_.now() + FromMs(detection_ms), EventPriority::kControl, kChangeDetected, 0,
                    changes_.size() - 1);
}

void DiscoveryService::OnChangeDetected(std::uint64_t index) {
  const Change& change = changes_[index];
  if (change.known.change < known_[change.backend].change) return;
  known_[change.backend] = change.known;
  change_log_.push_back(change.backend);
  for (std::uint32_t p = 0; p < world_.proxies.size(); ++p) {
    if (!world_.proxies[p].running) continue;
    const Subscription& subscription = world_.proxies[p].subscription;
    if (!world_.scenario.discovery.polled || (subscription.active && !down_)) {
      ScheduleUpdate(p);
    } else if (subscription.overdue) {
      world_.rules.OnEndpointUpdate(p, change.backend, IsReady(change.backend), world_.now());
    }
  }
}

void DiscoveryService::ScheduleUpdate(std::uint32_t proxy) {
  ProxyState& state = world_.proxies[proxy];
  if (state.subscription.update_pending) return;
  state.subscription.update_pending = true;
  const Micros delay = FromMs(world_.scenario.discovery.propagation_ms * random_.Unit());
  world_.queue.Push(world_.now() + delay, EventPriority::kControl, kEndpointUpdate, proxy, state.incarnation);
}

void DiscoveryService::OnEndpointUpdate(std::uint32_t proxy, std::uint64_t incarnation) {
  Subscription* subscription = SubscriptionOf(proxy, incarnation);
  if (!subscription) return;
  subscription->update_pending = false;
  if (world_.scenario.discovery.polled && !subscription->active) return;
  if (down_) return ScheduleUpdate(proxy);  // tried again until discovery is up
  SendUpdate(proxy);
}

// Sends all backends that have changed since the proxy's last update, each once.
void DiscoveryService::SendUpdate(std::uint32_t proxy) {
  Subscription& subscription = world_.proxies[proxy].subscription;
  const std::set<std::uint32_t> changed(
      change_log_.begin() + static_cast<std::ptrdiff_t>(subscription.revision), change_log_.end());
  subscription.revision = change_log_.size();
  EndpointUpdate update;
  for (const std::uint32_t backend : changed) {
    RecordSent(proxy, backend);
    update.endpoints.push_back(EndpointOf(backend));
  }
  LogEndpoints(proxy, LogName(EndpointUpdateKind::kIncremental), update.endpoints);
  deliver_(proxy, std::move(update));
}

std::vector<Endpoint> DiscoveryService::Snapshot(std::uint32_t proxy) {
  Subscription& subscription = world_.proxies[proxy].subscription;
  subscription.revision = change_log_.size();
  subscription.known_starts.clear();
  std::vector<Endpoint> endpoints;
  for (std::uint32_t b = 0; b < known_.size(); ++b) {
    if (known_[b].up_since > 0) RecordSent(proxy, b);
    if (known_[b].state != EndpointState::kRemoved) endpoints.push_back(EndpointOf(b));
  }
  LogEndpoints(proxy, LogName(EndpointUpdateKind::kCached), endpoints);
  return endpoints;
}

void DiscoveryService::RecordSent(std::uint32_t proxy, std::uint32_t backend) {
  world_.rules.OnEndpointUpdate(proxy, backend, IsReady(backend), world_.now());
  if (IsReady(backend)) world_.proxies[proxy].subscription.known_starts[backend] = known_[backend].up_since;
}

void DiscoveryService::LogEndpoints(std::uint32_t proxy, const char* kind,
                                    const std::vector<Endpoint>& endpoints) {
  if (!world_.logs) return;
  world_.LogTo(
      proxy, log::events::kEndpointListReceived,
      {{log::fields::kKind, kind}, {log::fields::kEndpoints, static_cast<std::int64_t>(endpoints.size())}});
  for (const Endpoint& endpoint : endpoints) {
    const Micros up_since = known_[endpoint.backend].up_since;
    world_.LogTo(proxy, log::events::kEndpointListed,
                 {{log::fields::kBackend, endpoint.backend},
                  {"zone", endpoint.zone},
                  {log::fields::kUpSinceMs, up_since > 0 ? ProxyLogs::kOriginMs + ToMs(up_since) : 0}});
  }
}

// ---- polls --------------------------------------------------------------------------------------------

void DiscoveryService::Poll(std::uint32_t proxy) {
  ++world_.metrics.discovery_polls;
  world_.LogTo(proxy, log::events::kDiscoveryPolled, {});
  ExpectPoll(proxy);
  const std::uint32_t incarnation = world_.proxies[proxy].incarnation;
  const DiscoverySettings& settings = world_.scenario.discovery;
  const Micros timeout = FromMs(settings.call_timeout_ms);
  const Micros work =
      FromMs(kMsPerSecond / std::max(kMinCallsPerSecond, settings.calls_per_s * capacity_share_));
  const Micros wait = std::max<Micros>(0, busy_until_ - world_.now());
  if (down_ || wait > timeout) {
    const Micros failure = world_.now() + (down_ ? FromMs(kFailedCallMs) : timeout);
    world_.queue.Push(failure, EventPriority::kControl, kPollFailed, proxy, incarnation);
    return;
  }
  busy_until_ = world_.now() + wait + work;
  world_.queue.Push(busy_until_, EventPriority::kControl, kPollAnswered, proxy, incarnation);
}

// A proxy without a subscription has to poll again within the maximum interval.
void DiscoveryService::ExpectPoll(std::uint32_t proxy) {
  ProxyState& state = world_.proxies[proxy];
  state.subscription.last_poll = world_.now();
  state.subscription.overdue = false;
  const Micros due = world_.now() + FromMs(world_.scenario.rules.max_poll_interval_ms);
  world_.queue.Push(due, EventPriority::kControl, kPollOverdue, proxy, state.incarnation);
}

void DiscoveryService::OnPollOverdue(std::uint32_t proxy, std::uint64_t incarnation) {
  Subscription* subscription = SubscriptionOf(proxy, incarnation);
  if (!subscription || subscription->active) return;
  const Micros interval = FromMs(world_.scenario.rules.max_poll_interval_ms);
  if (world_.now() - subscription->last_poll < interval) return;
  subscription->overdue = true;
  for (std::size_t i = subscription->revision; i < change_log_.size(); ++i)
    world_.rules.OnEndpointUpdate(proxy, change_log_[i], IsReady(change_log_[i]), world_.now());
}

void DiscoveryService::OnPollAnswered(std::uint32_t proxy, std::uint64_t incarnation) {
  Subscription* subscription = SubscriptionOf(proxy, incarnation);
  if (!subscription) return;
  if (down_) return OnPollFailed(proxy, incarnation);
  subscription->active = true;
  SendUpdate(proxy);
}

void DiscoveryService::OnPollFailed(std::uint32_t proxy, std::uint64_t incarnation) {
  if (!SubscriptionOf(proxy, incarnation)) return;
  world_.LogTo(proxy, log::events::kDiscoveryFailed, {{"reason", "no answer"}});
  deliver_(proxy, EndpointUpdate{EndpointUpdateKind::kFailed, {}});
}

void DiscoveryService::SetDown(bool down) {
  down_ = down;
  if (!down || !world_.scenario.discovery.polled) return;
  for (std::uint32_t p = 0; p < world_.proxies.size(); ++p) {
    ProxyState& proxy = world_.proxies[p];
    if (!proxy.running || !proxy.subscription.active) continue;
    proxy.subscription.active = false;
    ExpectPoll(p);
    deliver_(p, EndpointUpdate{EndpointUpdateKind::kFailed, {}});
  }
}

}  // namespace copperpoint::simulation
