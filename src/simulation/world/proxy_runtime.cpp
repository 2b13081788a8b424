// SPDX-License-Identifier: Apache-2.0
#include "simulation/world/proxy_runtime.h"

#include <algorithm>
#include <cmath>
#include <utility>
#include <variant>

#include "log/event_names.h"

namespace copperpoint::simulation {
namespace {

constexpr double kMicrosPerMs = 1000;
constexpr double kMaxTimerMicros = 1e15;

}  // namespace

ProxyRuntime::ProxyRuntime(World& world, ActionHandler& actions, MakePolicy make_policy)
    : world_(world), actions_(actions), make_policy_(std::move(make_policy)) {}

void ProxyRuntime::Start(std::uint32_t proxy, std::vector<Endpoint> known) {
  ProxyState& state = world_.proxies[proxy];
  ++state.incarnation;
  state.running = true;
  state.draining = false;
  state.subscription.active = false;
  state.subscription.update_pending = false;
  state.subscription.last_poll = world_.now();
  state.events.clear();
  state.connections.clear();
  state.retry_accuracy = ClientRetryAccuracy();
  Random seeds(world_.drawn.seed, "proxy", ++started_);
  state.policy = make_policy_(proxy, seeds.Bits());
  world_.rules.OnProxyStarted(proxy);
  Deliver(proxy, EndpointUpdate{EndpointUpdateKind::kCached, std::move(known)});
}

void ProxyRuntime::Stop(std::uint32_t proxy) {
  ProxyState& state = world_.proxies[proxy];
  state.running = false;
  state.subscription.active = false;
  state.events.clear();
  for (const auto& [backend, pool] : state.connections) {
    Backend& b = world_.backends[backend];
    if (pool.incarnation == b.incarnation()) b.CloseConnections(pool.open);
  }
  state.connections.clear();
}

void ProxyRuntime::Deliver(std::uint32_t proxy, Event event) {
  ProxyState& state = world_.proxies[proxy];
  state.events.push_back(std::move(event));
  if (state.handling_event) return;
  state.handling_event = true;
  while (!state.events.empty()) {
    const Event next = std::move(state.events.front());
    state.events.pop_front();
    std::vector<Action> actions = std::exchange(action_buffer_, {});
    actions.clear();
    state.policy->Handle(world_.time(), next, &actions);
    for (const Action& action : actions) std::visit([&](const auto& a) { Execute(proxy, a); }, action);
    action_buffer_ = std::move(actions);
  }
  state.handling_event = false;
}

void ProxyRuntime::OnTimer(std::uint32_t proxy, std::uint64_t token_and_incarnation) {
  const ProxyState& state = world_.proxies[proxy];
  if (!state.running || state.incarnation != IncarnationOf(token_and_incarnation)) return;
  Deliver(proxy, TimerFired{LowHalf(token_and_incarnation)});
}

void ProxyRuntime::Execute(std::uint32_t proxy, const StartAttempt& action) {
  actions_.StartAttempt(proxy, action);
}

void ProxyRuntime::Execute(std::uint32_t proxy, const RejectRequest& action) {
  actions_.RejectRequest(proxy, action);
}

void ProxyRuntime::Execute(std::uint32_t proxy, const FailRequest& action) {
  actions_.FailRequest(proxy, action);
}

void ProxyRuntime::Execute(std::uint32_t proxy, const PollEndpoints&) { actions_.PollEndpoints(proxy); }

void ProxyRuntime::Execute(std::uint32_t proxy, const Log& action) {
  world_.LogTo(proxy, log::events::kDecision, {{log::fields::kText, action.text}});
}

void ProxyRuntime::Execute(std::uint32_t proxy, const SetTimer& action) {
  const double in_ms = (action.at - world_.time()).count();
  // Rounded up: if the timer fired a fraction of a microsecond early, the policy would not set it again.
  const Micros at =
      world_.now() + static_cast<Micros>(std::ceil(std::clamp(in_ms * kMicrosPerMs, 0.0, kMaxTimerMicros)));
  world_.queue.Push(at, EventPriority::kTimeout, kProxyTimer, proxy,
                    WithIncarnation(LowHalf(action.token), world_.proxies[proxy].incarnation));
}

void ProxyRuntime::Execute(std::uint32_t proxy, const CloseIdleConnections& action) {
  auto& connections = world_.proxies[proxy].connections;
  const auto found = connections.find(action.backend);
  if (found == connections.end()) return;
  ConnectionPool& pool = found->second;
  Backend& backend = world_.backends[action.backend];
  if (pool.incarnation == backend.incarnation()) backend.CloseConnections(pool.idle);
  pool.open -= std::exchange(pool.idle, 0);
}

}  // namespace copperpoint::simulation
