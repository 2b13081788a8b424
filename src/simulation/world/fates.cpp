// SPDX-License-Identifier: Apache-2.0
#include "simulation/world/fates.h"

#include <algorithm>

namespace copperpoint::simulation {
namespace {

constexpr double kRestartMs = 2000;     // of a process that crashed or is replaced
constexpr double kDrainMs = 4000;       // beyond discovery's notice, until a draining backend stops
constexpr double kStopMarginMs = 700;   // beyond the longest deadline, until a drained proxy stops
constexpr double kFrontLeavesMs = 200;  // until the front leaves a drained proxy

}  // namespace

Fates::Fates(State& state, std::uint64_t seed, Service& service, News& news, Crowd& crowd, Views& views)
    : s_(state), random_(seed, "fates"), service_(service), news_(news), crowd_(crowd), views_(views) {
  service_.on_crash = [this](std::uint32_t backend) { Crash(backend); };
}

void Fates::Begin() {
  for (std::size_t i = 0; i < s_.scenario.troubles.size(); ++i) {
    const Trouble& t = s_.scenario.troubles[i];
    s_.queue.Push(FromMs(t.at_s * 1000), Rank::kNews, kTroubleBegins, 0, i);
    s_.queue.Push(EndOf(t), Rank::kNews, kTroubleEnds, 0, i);
  }
}

Micros Fates::EndOf(const Trouble& t) const {
  return FromMs(std::min(t.at_s + t.for_s, s_.scenario.length_s) * 1000);
}

bool Fates::Over(const Trouble& t) const { return s_.now() >= EndOf(t); }

void Fates::OnTrouble(std::uint64_t index, bool begins) {
  const Trouble& t = s_.scenario.troubles[index];
  if (t.at_s >= s_.scenario.length_s) return;
  const std::vector<std::uint32_t>& targets = s_.day.targets[index];
  switch (t.kind) {
    case TroubleKind::kPauses:
      if (begins)
        for (const std::uint32_t b : targets) NextPause(b, index);
      return;
    case TroubleKind::kStall:
      if (begins)
        for (const std::uint32_t b : targets) {
          if (s_.backends[b].health() == Backend::Health::kUp) s_.backends[b].Freeze(s_.now(), EndOf(t));
        }
      return;
    case TroubleKind::kVanish:
    case TroubleKind::kLostZone:
      for (const std::uint32_t b : targets) begins ? Silence(b) : Return(b);
      return;
    case TroubleKind::kFastErrors:
      for (const std::uint32_t b : targets) s_.backends[b].FailFast(begins ? std::min(1.0, t.size) : 0);
      return;
    case TroubleKind::kSlow:
      for (const std::uint32_t b : targets) s_.backends[b].Slow(begins ? std::max(1.0, t.size) : 1);
      return;
    case TroubleKind::kCut:
      if (begins) s_.network.Cut(t.from_zone, t.to_zone, EndOf(t));
      return;
    case TroubleKind::kBurst:
      return;  // the arrivals know
    case TroubleKind::kRelease:
      if (begins) Release(t, targets);
      return;
    case TroubleKind::kProxyRelease:
      if (begins)
        for (const std::uint32_t p : targets) OnDrainProxy(p);
      return;
    case TroubleKind::kProxyKill:
      for (const std::uint32_t p : targets) begins ? OnStopProxy(p, /*killed=*/true) : OnStartProxy(p);
      return;
    case TroubleKind::kPoison:
      return service_.SetPoisonous(begins);
    case TroubleKind::kOutage:
      for (const std::uint32_t b : targets) {
        if (begins) {
          OnStopBackend(b);
          news_.Changed(b, EndpointState::kRemoved, 0, s_.scenario.discovery.notice_ms);
        } else {
          OnStartBackend(b);
        }
      }
      return;
    case TroubleKind::kDiscoveryDown:
      return news_.SetDown(begins);
    case TroubleKind::kOverbooked:
      return news_.SetOverbooked(begins ? t.size : 1);
    case TroubleKind::kLostAnswers:
      return service_.SetLostAnswers(begins ? std::min(1.0, t.size) : 0);
    case TroubleKind::kResets:
      return service_.SetResets(begins ? std::min(1.0, t.size) : 0);
    case TroubleKind::kImpatience:
      return crowd_.SetImpatient(begins ? t.part : 0, FromMs(t.size));
  }
}

void Fates::NextPause(std::uint32_t backend, std::uint64_t trouble) {
  const Trouble& t = s_.scenario.troubles[trouble];
  s_.queue.Push(s_.now() + FromMs(random_.Exponential(t.every_ms)), Rank::kNews, kPause, backend, trouble);
}

void Fates::OnPause(std::uint32_t backend, std::uint64_t trouble) {
  const Trouble& t = s_.scenario.troubles[trouble];
  if (Over(t)) return;
  if (s_.backends[backend].health() == Backend::Health::kUp)
    s_.backends[backend].Freeze(s_.now(), s_.now() + FromMs(t.size));
  NextPause(backend, trouble);
}

void Fates::Silence(std::uint32_t backend) {
  if (s_.backends[backend].health() != Backend::Health::kUp) return;
  service_.StopBackend(backend, /*silent=*/true);
  news_.Changed(backend, EndpointState::kRemoved, 0, s_.scenario.discovery.silent_notice_ms);
}

void Fates::Return(std::uint32_t backend) {
  if (s_.backends[backend].health() == Backend::Health::kSilent) OnStartBackend(backend);
}

void Fates::Crash(std::uint32_t backend) {
  if (s_.backends[backend].health() != Backend::Health::kUp) return;
  service_.StopBackend(backend, /*silent=*/false);
  news_.Changed(backend, EndpointState::kRemoved, 0, s_.scenario.discovery.notice_ms);
  s_.queue.Push(s_.now() + FromMs(kRestartMs), Rank::kNews, kStartBackend, backend, 0);
}

// `size` backends at a time, the batches evenly over the trouble's length.
void Fates::Release(const Trouble& t, const std::vector<std::uint32_t>& targets) {
  const auto batch = static_cast<std::size_t>(std::max(1.0, t.size));
  const std::size_t batches = (targets.size() + batch - 1) / batch;
  const double length_s = std::min(t.for_s, s_.scenario.length_s - t.at_s);
  for (std::size_t i = 0; i < targets.size(); ++i) {
    const double at_s = length_s * static_cast<double>(i / batch) / static_cast<double>(batches);
    s_.queue.Push(s_.now() + FromMs(at_s * 1000), Rank::kNews, kDrainBackend, targets[i], 0);
  }
}

void Fates::OnDrainBackend(std::uint32_t backend) {
  if (s_.backends[backend].health() != Backend::Health::kUp) return;
  const Registry& r = s_.scenario.discovery;
  news_.Changed(backend, EndpointState::kDraining, s_.backends[backend].up_since(), r.notice_ms);
  s_.queue.Push(s_.now() + FromMs(r.notice_ms + r.spread_ms + kDrainMs), Rank::kNews, kStopBackend, backend,
                0);
}

void Fates::OnStopBackend(std::uint32_t backend) {
  if (s_.backends[backend].health() != Backend::Health::kUp) return;
  service_.StopBackend(backend, /*silent=*/false);
  const bool outage =
      std::any_of(s_.scenario.troubles.begin(), s_.scenario.troubles.end(), [&](const Trouble& t) {
        return t.kind == TroubleKind::kOutage && s_.now() >= FromMs(t.at_s * 1000) && !Over(t);
      });
  if (!outage) s_.queue.Push(s_.now() + FromMs(kRestartMs), Rank::kNews, kStartBackend, backend, 0);
}

void Fates::OnStartBackend(std::uint32_t backend) {
  if (s_.backends[backend].health() == Backend::Health::kUp) return;
  service_.StartBackend(backend);
  news_.Changed(backend, EndpointState::kReady, s_.backends[backend].up_since(),
                s_.scenario.discovery.notice_ms);
}

void Fates::OnDrainProxy(std::uint32_t proxy) {
  s_.proxies[proxy].drained = true;
  views_.Changed();
  double longest = 0;
  for (const RequestClass& c : s_.scenario.classes) longest = std::max(longest, c.deadline_ms);
  s_.queue.Push(s_.now() + FromMs(kFrontLeavesMs), Rank::kNews, kFrontNotices, proxy, 0);
  s_.queue.Push(s_.now() + FromMs(kFrontLeavesMs + longest + kStopMarginMs), Rank::kNews, kStopProxy, proxy,
                0);
}

void Fates::OnStopProxy(std::uint32_t proxy, bool killed) {
  if (!s_.proxies[proxy].alive) return;
  service_.KillProxy(proxy);
  views_.Changed();
  if (killed) {
    s_.queue.Push(s_.now() + FromMs(s_.scenario.clients.notice_ms), Rank::kNews, kFrontNotices, proxy, 0);
  } else {
    s_.queue.Push(s_.now() + FromMs(kRestartMs / 2), Rank::kNews, kStartProxy, proxy, 0);
  }
}

void Fates::OnStartProxy(std::uint32_t proxy) {
  if (s_.proxies[proxy].alive) return;
  service_.StartProxy(proxy, news_.List(proxy));
  views_.Changed();
  s_.queue.Push(s_.now() + FromMs(kFrontLeavesMs), Rank::kNews, kFrontNotices, proxy, 1);
}

}  // namespace copperpoint::simulation
