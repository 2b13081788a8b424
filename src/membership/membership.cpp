// SPDX-License-Identifier: Apache-2.0
//
// A member's own life: its start, its wakes, what it says of itself, its end.
#include "membership/membership.h"

#include <stdexcept>
#include <utility>

namespace copperpoint::membership {
namespace {

constexpr Time kNever = Time::max() / 2;
constexpr Time kSweep = std::chrono::seconds(5);
constexpr Time kAlone = std::chrono::seconds(2);
constexpr Time kSeedAgain = milliseconds(200);  // until one has answered
constexpr int kFarewells = 8;

// Random, from whatever the host drew.
std::uint64_t Mix(std::uint64_t x) {
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9u;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebu;
  return x ^ (x >> 31);
}

}  // namespace

const char* NameOf(Happened::Kind kind) {
  switch (kind) {
    case Happened::Kind::kJoined:
      return "joined";
    case Happened::Kind::kSuspected:
      return "suspected";
    case Happened::Kind::kRefuted:
      return "refuted";
    case Happened::Kind::kDead:
      return "dead";
    case Happened::Kind::kLeft:
      return "left";
    case Happened::Kind::kHealed:
      return "healed";
    case Happened::Kind::kNameTaken:
      return "name_taken";
    case Happened::Kind::kTooNew:
      return "too_new";
  }
  return "unknown";
}

View::View(const Options& options, peers::Seal seal, Record self, std::uint64_t seed, Time now,
           Records* shared)
    : options_(options),
      seal_(std::move(seal)),
      draw_(Mix(seed)),
      members_(shared),
      life_(Mix(seed + 0x9e3779b97f4a7c15u) | 1),
      news_(options.most_news),
      suspicions_(options_),
      allowance_(static_cast<double>(options.most_told)),
      allowed_at_(now),
      next_probe_(now + options.period * static_cast<int>(draw_.Below(1000)) / 1000),
      next_gossip_(now),
      next_retry_(now + options.retry),
      next_seed_(kNever),
      next_sweep_(now + kSweep),
      next_sync_(now),
      next_refusal_(now),
      next_judgement_(now),
      next_fetch_(now),
      changed_(now),
      last_agreed_(now),
      alone_at_(now + kAlone),
      entered_(now),
      expected_(now) {
  self.set_life(life_);
  if (self.incarnation() == 0) self.set_incarnation(1);
  if (!Fits(self)) throw std::invalid_argument("name, address, zone or versions are too long for a message");
  me_ = members_.Add(std::make_shared<Record>(std::move(self)), Status::kAlive, now);
}

void View::Settle(Time now, const std::vector<std::shared_ptr<const Record>>& others) {
  now = Enter(now);
  members_.Reserve(others.size());
  for (const auto& record : others)
    if (record->name() != self().name()) members_.Add(record, Status::kAlive, now);
  established_ = true;
}

void View::Join(Time now, std::vector<std::string> seeds) {
  now = Enter(now);
  seeds_ = std::move(seeds);
  std::erase(seeds_, self().address());
  if (seeds_.empty()) {
    established_ = true;
  } else {
    next_seed_ = now;
    AskSeeds(now);
  }
}

// The host's time in, this member's own out: without the times at which the process stood still. It learns
// only by its own late wake that it did, and must not take what it did not hear meanwhile for the silence of
// others.
Time View::Enter(Time now) {
  if (options_.with_own_time && now > expected_ + options_.starved) away_ += now - expected_;
  entered_ = now;
  expected_ = std::max(expected_, now);
  return own(now);
}

Output View::Take() {
  expected_ = std::max(next(), entered_);
  return std::exchange(output_, {});
}

Time View::next() const {
  if (silent_) return kNever;
  Time due = std::min({next_probe_, next_retry_, next_seed_, next_sweep_});
  if (!news_.empty()) due = std::min(due, next_gossip_);
  if (rival_until_ > Time{}) due = std::min(due, rival_until_);
  if (!established_) due = std::min(due, alone_at_);
  for (const Probe& probe : const_cast<View*>(this)->prober_.out())
    due = std::min(due, probe.sent + (probe.helped || probe.judging ? options_.period : options_.direct));
  for (const Relay& relay : relays_) due = std::min(due, relay.until);
  if (suspicions_.size() > 0) due = std::min(due, next_judgement_);
  return due + away_;
}

void View::OnTick(Time now) {
  if (silent_) return;
  now = Enter(now);
  if (!established_ && now >= alone_at_) established_ = true;
  if (rival_until_ > Time{} && now >= rival_until_) {
    rival_until_ = Time{};
    Refute(rival_incarnation_, now);  // nobody there: the name is this member's
  }
  LookAfterProbes(now);
  if (now >= next_probe_) {
    next_probe_ = std::max(next_probe_ + options_.period, now);
    ProbeNext(now);
  }
  if (now >= next_judgement_) Judge(now);
  if (now >= next_retry_) {
    next_retry_ = now + options_.retry;
    AskTheDead(now);
  }
  if (now >= next_seed_) AskSeeds(now);
  if (now >= next_sweep_) {
    next_sweep_ = now + kSweep;
    ForgetOld(now);
  }
  if (now >= next_gossip_ && !news_.empty()) Gossip(now);
}

void View::Change(std::shared_ptr<Record> self, Time now) {
  members_.Set(me_, std::move(self), Status::kAlive, now);
  news_.Tell(ClaimOf(me_, now), now);
  changed_ = now;
  agreed_ = 0;
}

void View::SetState(Time now, State state) {
  if (silent_ || self().state() == static_cast<std::uint32_t>(state)) return;
  now = Enter(now);
  auto next = std::make_shared<Record>(self());
  next->set_state(static_cast<std::uint32_t>(state));
  next->set_version(next->version() + 1);
  Change(std::move(next), now);
}

bool View::Publish(Time now, const std::string& key, const std::string& value) {
  if (silent_) return false;
  auto next = std::make_shared<Record>(self());
  (*next->mutable_bag())[key] = value;
  next->set_version(next->version() + 1);
  if (!Fits(*next)) return false;
  Change(std::move(next), Enter(now));
  return true;
}

// Above a claim that is not true of this member, in serial arithmetic.
void View::Refute(std::uint32_t above, Time now) {
  auto next = std::make_shared<Record>(self());
  next->set_incarnation(above + 1);
  Change(std::move(next), now);
  next_gossip_ = now;
}

void View::GoSilent() {
  silent_ = true;
  news_ = News(options_.most_news);
  prober_.out().clear();
  relays_.clear();
}

void View::Leave(Time now) {
  if (silent_) return;
  now = Enter(now);
  wire::Claim goodbye;
  goodbye.set_status(wire::STATUS_LEFT);
  *goodbye.mutable_record() = *Bare(self());
  goodbye.set_by(self().name());
  std::vector<int> others;
  for (const int at : members_.living())
    if (at != me_) others.push_back(at);
  for (int i = 0; i < kFarewells && !others.empty(); ++i) {
    const std::size_t pick = draw_.Below(others.size());
    wire::Message message = Begin(wire::KIND_GOSSIP);
    *message.add_claims() = goodbye;
    Send(std::move(message), members_[others[pick]].record->address(), others[pick], now);
    others[pick] = others.back();
    others.pop_back();
  }
  GoSilent();
}

void View::Tell(Happened::Kind kind, const std::string& name, const std::string& by, Time silent) {
  output_.events.push_back({kind, name, by, silent});
}

// Seeds are asked in turn, fast until one has answered; then now and then those that are not in the view, so
// that halves that never met find each other.
void View::AskSeeds(Time now) {
  next_seed_ = now + (established_ && members_.living().size() > 1 ? 5 * options_.retry : kSeedAgain);
  if (seeds_.empty()) return;
  const std::string& seed = seeds_[draw_.Below(seeds_.size())];
  for (const int at : members_.living()) {
    if (members_[at].record->address() == seed) return;
  }
  Sync(seed, now);
}

void View::ForgetOld(Time now) {
  std::vector<int> old;
  members_.Each([&](int at, const Entry& entry) {
    if (!entry.living() && now - entry.since > options_.tombstone) old.push_back(at);
  });
  for (const int at : old) {
    // One that left never comes back. One that was cut off for long may.
    if (members_[at].status == Status::kLeft) Retire(members_[at].record->life());
    members_.Remove(at);
  }
}

}  // namespace copperpoint::membership
