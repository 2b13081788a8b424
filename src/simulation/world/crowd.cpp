// SPDX-License-Identifier: Apache-2.0
#include "simulation/world/crowd.h"

#include <algorithm>
#include <cmath>

namespace copperpoint::simulation {
namespace {

constexpr double kAtOnceMs = 5;         // until who has no patience comes again
constexpr std::uint8_t kMostHops = 50;  // proxies that one try knocks at in vain

}  // namespace

Crowd::Crowd(State& state, std::uint64_t seed, std::function<void(std::uint32_t)> take)
    : s_(state), arrivals_(state.scenario, state.day), random_(seed, "crowd"), take_(std::move(take)) {
  listed_.resize(static_cast<std::size_t>(s_.scenario.fleet.zones));
  for (std::uint32_t p = 0; p < s_.proxies.size(); ++p)
    listed_[static_cast<std::size_t>(s_.proxies[p].zone)].push_back(p);
}

void Crowd::Begin() { Schedule(); }

void Crowd::Schedule() {
  next_ = arrivals_.Next();
  if (next_) s_.queue.Push(next_->at, Rank::kClient, kWish, 0, 0);
}

void Crowd::OnWish() {
  const Wish wish = *next_;
  Schedule();
  const RequestClass& c = s_.scenario.classes[wish.cls];
  const std::uint32_t slot = s_.NewTry();
  Try& t = s_.At(slot);
  t.wish = wish;
  t.patience = impatient_ > 0 && random_.Chance(impatient_) ? patience_ : 0;
  t.wish_due = wish.at + FromMs(c.deadline_ms);
  t.tries_left = s_.MostRepeats();
  s_.metrics.Asked(wish.at, wish.cls, wish.account, WorthOf(wish));
  s_.queue.Push(s_.now() + s_.network.ClientDelay(), Rank::kClient, kRetry, 0, slot);
  SetDue(t, wish.at);
}

double Crowd::WorthOf(const Wish& wish) const {
  return s_.scenario.classes[wish.cls].worth * wish.work_ms *
         (wish.over_share ? s_.scenario.rules.over_quota_weight : 1);
}

// A client with repeats left gives a try up early; the last has what is left of its deadline.
void Crowd::SetDue(Try& t, Micros sent) const {
  const Micros share = FromMs(s_.scenario.classes[t.wish.cls].deadline_ms * s_.scenario.clients.try_share);
  t.due = t.tries_left > 0 ? std::min(sent + share, t.wish_due) : t.wish_due;
  if (t.patience > 0) t.due = std::min(sent + t.patience, t.wish_due);
}

void Crowd::OnRetry(std::uint32_t slot) { Reach(slot); }

// The hold that a try was made with goes over to the end of the try.
void Crowd::Reach(std::uint32_t slot) {
  Try& t = s_.At(slot);
  if (s_.now() >= t.due) {
    OnTryOver(slot);
    return s_.Let(slot);
  }
  const auto proxy = Choose(t.wish.zone);
  if (proxy && s_.proxies[*proxy].alive) {
    ++s_.metrics.tries;
    t.proxy = *proxy;
    t.proxy_life = s_.proxies[*proxy].life;
    t.arrived = s_.now();
    t.taken = true;
    s_.queue.Push(t.due, Rank::kTimeout, kTryOver, 0, slot);
    s_.Tell(slot, "try of a client reaches proxy {}, to be over in {:.3f} ms", t.proxy,
            ToMs(t.due - s_.now()));
    return take_(slot);
  }
  // Nobody listens there: another proxy is tried, as often as need be.
  ++s_.metrics.unreachable;
  if (++t.hops >= kMostHops) {
    Comeback(slot, Final::kRefused, s_.now(), Duration(0));
    t.client_done = true;
    return s_.Let(slot);
  }
  s_.queue.Push(s_.now() + std::max<Micros>(1000, FromMs(s_.scenario.clients.reconnect_ms)), Rank::kClient,
                kRetry, 0, slot);
}

std::optional<std::uint32_t> Crowd::Choose(int zone) {
  const auto zones = listed_.size();
  for (std::size_t k = 0; k < zones; ++k) {
    const auto& here = listed_[(static_cast<std::size_t>(zone) + k) % zones];
    if (!here.empty()) return here[random_.Below(here.size())];
  }
  return std::nullopt;
}

void Crowd::OnFrontNotices(std::uint32_t proxy, bool there) {
  // Back already: a death that the front never noticed.
  if (!there && s_.proxies[proxy].alive && !s_.proxies[proxy].drained) return;
  auto& here = listed_[static_cast<std::size_t>(s_.proxies[proxy].zone)];
  std::erase(here, proxy);
  if (there) here.push_back(proxy);
  std::sort(here.begin(), here.end());
}

void Crowd::OnTryOver(std::uint32_t slot) {
  Try& t = s_.At(slot);
  if (t.client_done) return;
  t.client_done = true;
  s_.Tell(slot, "the client gives this try up");
  Comeback(slot, t.taken ? Final::kFailed : Final::kRefused, s_.now(), Duration(0));
}

void Crowd::OnFinal(std::uint32_t slot, Final final, Duration retry_after) {
  Try& t = s_.At(slot);
  if (t.client_done) return;
  const Micros heard = s_.now() + s_.network.ClientDelay();
  if (heard > t.due) return;  // the client has left by then: OnTryOver
  t.client_done = true;
  if (final != Final::kServed) return Comeback(slot, final, heard, retry_after);
  const RequestClass& c = s_.scenario.classes[t.wish.cls];
  const double took = ToMs(heard - t.wish.at);
  s_.metrics.Served(t.wish.at, t.wish.cls, t.wish.account, WorthOf(t.wish), took, took <= c.aim_ms,
                    t.tries_left < s_.MostRepeats());
}

// A client repeats what is safe after any failure, and what is not safe only after a refusal.
void Crowd::Comeback(std::uint32_t slot, Final final, Micros heard, Duration retry_after) {
  const Try& t = s_.At(slot);
  const RequestClass& c = s_.scenario.classes[t.wish.cls];
  // Who has no patience comes as often as there is time for.
  if ((t.tries_left <= 0 && t.patience == 0) || !(c.safe || final == Final::kRefused)) return;
  const Clients& clients = s_.scenario.clients;
  const int repeats = clients.retries - t.tries_left;
  const Micros at =
      heard + (t.patience > 0 ? FromMs(kAtOnceMs) : Backoff(repeats, retry_after, t.wish.honours));
  if (at >= t.wish_due) return;
  const std::uint32_t again = s_.NewTry();
  const Try& old = s_.At(slot);
  Try& fresh = s_.At(again);
  fresh.wish = old.wish;
  fresh.wish_due = old.wish_due;
  fresh.tries_left = std::max(0, old.tries_left - 1);
  fresh.patience = old.patience;
  fresh.was_at = old.was_at;
  SetDue(fresh, at);
  s_.queue.Push(at + s_.network.ClientDelay(), Rank::kClient, kRetry, 0, again);
}

Micros Crowd::Backoff(int repeats, Duration retry_after, bool honours) {
  const Clients& clients = s_.scenario.clients;
  double ms = 0;
  if (clients.retry == Retry::kFixed) ms = clients.backoff_ms;
  if (clients.retry == Retry::kExponential) ms = random_.Unit() * clients.backoff_ms * std::pow(2, repeats);
  if (honours && clients.retry_after_ms > 0)
    ms = std::max(ms, std::min(retry_after.count(), clients.retry_after_ms));
  return FromMs(ms);
}

}  // namespace copperpoint::simulation
