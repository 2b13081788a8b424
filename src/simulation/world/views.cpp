// SPDX-License-Identifier: Apache-2.0
#include "simulation/world/views.h"

#include <string>

#include "subsetting/ring_position.h"

namespace copperpoint::simulation {
namespace {

constexpr double kSampleMs = 1000;

}  // namespace

Views::Views(State& state, std::function<void(std::uint32_t, Event)> feed)
    : s_(state), feed_(std::move(feed)), seen_(state.proxies.size()), said_(state.proxies.size()) {}

void Views::Begin() {
  s_.queue.Push(FromMs(kSampleMs), Rank::kNews, kSample, 0, 0);
  if (s_.scenario.fleet.positions == Positions::kView) OnTold();
  if (s_.scenario.fleet.positions != Positions::kChance) return;
  for (std::uint32_t p = 0; p < s_.proxies.size(); ++p) {
    Random random(s_.day.seed, "position", p);
    feed_(p, SubsetPosition{random.Unit()});
  }
}

void Views::Changed() {
  if (s_.scenario.fleet.positions != Positions::kView) return;
  s_.queue.Push(s_.now() + FromMs(s_.scenario.fleet.view_ms), Rank::kNews, kViewTold, 0, 0);
}

void Views::OnTold() {
  const auto keep = std::chrono::duration_cast<std::chrono::microseconds>(
      subsetting::RingPosition::Options().departed_retention);
  std::vector<subsetting::Peer> peers;
  for (std::uint32_t p = 0; p < seen_.size(); ++p) {
    Seen& seen = seen_[p];
    if (Serves(p)) {
      seen = {true, -1};
    } else if (seen.known && seen.gone_at < 0) {
      seen.gone_at = s_.now();
      s_.queue.Push(s_.now() + keep.count(), Rank::kNews, kViewTold, 0, 0);
    }
    seen.known = seen.known && (seen.gone_at < 0 || s_.now() < seen.gone_at + keep.count());
    if (seen.known) peers.push_back({fmt::format("proxy-{}", p), std::to_string(s_.proxies[p].zone)});
  }
  for (std::uint32_t p = 0; p < seen_.size(); ++p) {
    if (!s_.proxies[p].alive) continue;
    const auto turn = subsetting::RingOffsetAmong(peers, fmt::format("proxy-{}", p));
    if (!turn || (said_[p].life == s_.proxies[p].life && said_[p].turn == *turn)) continue;
    said_[p] = {s_.proxies[p].life, *turn};
    feed_(p, SubsetPosition{*turn});
  }
}

void Views::OnSample() {
  double sum = 0, squares = 0, count = 0;
  for (const Backend& b : s_.backends) {
    // Those that started a moment ago are still being met.
    if (b.health() != Backend::Health::kUp || b.up_since() + FromMs(5 * kSampleMs) > s_.now()) continue;
    ++count;
    sum += b.connections();
    squares += static_cast<double>(b.connections()) * b.connections();
  }
  if (sum > 0) s_.metrics.ConnectionsLie(sum / count, squares / count);
  if (ToMs(s_.now()) < s_.scenario.length_s * 1000)
    s_.queue.Push(s_.now() + FromMs(kSampleMs), Rank::kNews, kSample, 0, 0);
}

}  // namespace copperpoint::simulation
