// SPDX-License-Identifier: Apache-2.0
#include "simulation/world/news.h"

#include <algorithm>
#include <set>

#include "decision/log_names.h"
#include "log/event_names.h"

namespace copperpoint::simulation {

News::News(State& state, std::uint64_t seed, std::function<void(std::uint32_t, Event)> feed)
    : s_(state), random_(seed, "news"), feed_(std::move(feed)), known_(state.backends.size()) {}

Endpoint News::Entry(std::uint32_t backend) const {
  Endpoint entry;
  entry.backend = backend;
  entry.zone = s_.backends[backend].zone();
  entry.kind = s_.day.backends[backend].machine;
  entry.cell = s_.backends[backend].cell();
  entry.state = known_[backend].state;
  if (known_[backend].up_since > 0) entry.up_since = State::Time(known_[backend].up_since);
  return entry;
}

void News::Changed(std::uint32_t backend, EndpointState state, Micros up_since, double notice_ms) {
  pending_.push_back({backend, {state, up_since, pending_.size() + 1}});
  s_.queue.Push(s_.now() + FromMs(notice_ms), Rank::kNews, kNotice, 0, pending_.size() - 1);
}

void News::OnNotice(std::uint64_t index) {
  const Pending& change = pending_[index];
  if (change.known.change < known_[change.backend].change) return;
  known_[change.backend] = change.known;
  log_.push_back(change.backend);
  for (std::uint32_t p = 0; p < s_.proxies.size(); ++p) {
    ProxyHost& proxy = s_.proxies[p];
    if (!proxy.alive) continue;
    if (!s_.scenario.discovery.ask || (proxy.subscribed && !down_)) {
      Announce(p);
    } else if (proxy.overdue) {
      s_.observer.Told(p, change.backend, known_[change.backend].state == EndpointState::kReady, s_.now());
    }
  }
}

void News::Announce(std::uint32_t p) {
  ProxyHost& proxy = s_.proxies[p];
  if (proxy.news_due) return;
  proxy.news_due = true;
  const Micros spread = FromMs(s_.scenario.discovery.spread_ms * random_.Unit());
  s_.queue.Push(s_.now() + spread, Rank::kNews, kNews, p, proxy.life);
}

void News::OnNews(std::uint32_t p, std::uint64_t life) {
  ProxyHost& proxy = s_.proxies[p];
  if (!proxy.alive || proxy.life != life) return;
  proxy.news_due = false;
  if (s_.scenario.discovery.ask && !proxy.subscribed) return;
  if (down_) return Announce(p);  // pushed again when it can be
  Deliver(p);
}

// From now on it has so long to call, if it does not watch.
void News::Wait(std::uint32_t p) {
  ProxyHost& proxy = s_.proxies[p];
  proxy.last_call = s_.now();
  proxy.overdue = false;
  s_.queue.Push(s_.now() + FromMs(s_.scenario.rules.must_ask_ms), Rank::kNews, kShouldHaveAsked, p,
                proxy.life);
}

void News::OnShouldHaveAsked(std::uint32_t p, std::uint64_t life) {
  ProxyHost& proxy = s_.proxies[p];
  const bool called = s_.now() - proxy.last_call < FromMs(s_.scenario.rules.must_ask_ms);
  if (!proxy.alive || proxy.life != life || proxy.subscribed || called) return;
  proxy.overdue = true;
  for (std::size_t i = proxy.revision; i < log_.size(); ++i)
    s_.observer.Told(p, log_[i], known_[log_[i]].state == EndpointState::kReady, s_.now());
}

void News::Tell(std::uint32_t p, std::uint32_t backend) {
  const bool usable = known_[backend].state == EndpointState::kReady;
  s_.observer.Told(p, backend, usable, s_.now());
  if (usable) s_.proxies[p].known_start[backend] = known_[backend].up_since;
}

// All that has changed since this proxy was last told, each backend once.
void News::Deliver(std::uint32_t p) {
  ProxyHost& proxy = s_.proxies[p];
  EndpointUpdate update;
  std::set<std::uint32_t> changed(log_.begin() + static_cast<std::ptrdiff_t>(proxy.revision), log_.end());
  proxy.revision = log_.size();
  for (const std::uint32_t backend : changed) {
    Tell(p, backend);
    update.endpoints.push_back(Entry(backend));
  }
  LogList(p, LogName(EndpointUpdateKind::kIncremental), update.endpoints);
  feed_(p, std::move(update));
}

void News::LogList(std::uint32_t p, const char* kind, const std::vector<Endpoint>& entries) {
  if (!s_.logs) return;
  s_.LogOf(
      p, log::events::kEndpointListReceived,
      {{log::fields::kKind, kind}, {log::fields::kEndpoints, static_cast<std::int64_t>(entries.size())}});
  for (const Endpoint& entry : entries) {
    const Micros up_since = known_[entry.backend].up_since;
    s_.LogOf(p, log::events::kEndpointListed,
             {{log::fields::kBackend, entry.backend},
              {"zone", entry.zone},
              {log::fields::kUpSinceMs, up_since > 0 ? ProxyLogs::kOriginMs + ToMs(up_since) : 0}});
  }
}

std::vector<Endpoint> News::List(std::uint32_t p) {
  std::vector<Endpoint> list;
  s_.proxies[p].revision = log_.size();
  s_.proxies[p].known_start.clear();
  for (std::uint32_t b = 0; b < known_.size(); ++b) {
    if (known_[b].up_since > 0) Tell(p, b);
    if (known_[b].state != EndpointState::kRemoved) list.push_back(Entry(b));
  }
  LogList(p, LogName(EndpointUpdateKind::kCached), list);
  return list;
}

void News::Call(std::uint32_t p) {
  ++s_.metrics.discovery_calls;
  s_.LogOf(p, log::events::kDiscoveryPolled, {});
  ProxyHost& proxy = s_.proxies[p];
  Wait(p);
  const Registry& r = s_.scenario.discovery;
  const Micros limit = FromMs(r.call_timeout_ms);
  const Micros work = FromMs(1000 / std::max(1e-6, r.calls_per_s * share_));
  const Micros wait = std::max<Micros>(0, busy_until_ - s_.now());
  if (down_ || wait > limit) {
    s_.queue.Push(s_.now() + (down_ ? FromMs(1) : limit), Rank::kNews, kCallFailed, p, proxy.life);
    return;
  }
  busy_until_ = s_.now() + wait + work;
  s_.queue.Push(busy_until_, Rank::kNews, kCalled, p, proxy.life);
}

void News::OnCalled(std::uint32_t p, std::uint64_t life) {
  ProxyHost& proxy = s_.proxies[p];
  if (!proxy.alive || proxy.life != life) return;
  if (down_) return OnCallFailed(p, life);
  proxy.subscribed = true;
  Deliver(p);
}

void News::OnCallFailed(std::uint32_t p, std::uint64_t life) {
  ProxyHost& proxy = s_.proxies[p];
  if (!proxy.alive || proxy.life != life) return;
  s_.LogOf(p, log::events::kDiscoveryFailed, {{"reason", "no answer"}});
  feed_(p, EndpointUpdate{EndpointUpdateKind::kFailed, {}});
}

// Those that watch are cut off when it goes down.
void News::SetDown(bool down) {
  down_ = down;
  if (!down || !s_.scenario.discovery.ask) return;
  for (std::uint32_t p = 0; p < s_.proxies.size(); ++p) {
    if (!s_.proxies[p].alive || !s_.proxies[p].subscribed) continue;
    s_.proxies[p].subscribed = false;
    Wait(p);
    feed_(p, EndpointUpdate{EndpointUpdateKind::kFailed, {}});
  }
}

}  // namespace copperpoint::simulation
