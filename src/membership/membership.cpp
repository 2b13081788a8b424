// SPDX-License-Identifier: Apache-2.0
//
// A member's own incarnation: its start, its wakes, what it says of itself, its end.
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

const char* NameOf(Event::Kind kind) {
  switch (kind) {
    case Event::Kind::kJoined:
      return "joined";
    case Event::Kind::kSuspected:
      return "suspected";
    case Event::Kind::kRefuted:
      return "refuted";
    case Event::Kind::kDead:
      return "dead";
    case Event::Kind::kLeft:
      return "left";
    case Event::Kind::kHealed:
      return "healed";
    case Event::Kind::kNameTaken:
      return "name_taken";
    case Event::Kind::kTooNew:
      return "too_new";
  }
  return "unknown";
}

Membership::Membership(const Options& options, peers::FrameCodec codec, Record self, std::uint64_t seed,
                       Time now, RecordPool* shared)
    : options_(options),
      codec_(std::move(codec)),
      random_(Mix(seed)),
      members_(shared),
      incarnation_(Mix(seed + 0x9e3779b97f4a7c15u) | 1),
      queue_(options.max_queued_claims),
      suspicions_(options_),
      allowance_(static_cast<double>(options.max_gossip_bytes_per_s)),
      allowed_at_(now),
      next_probe_(now + options.probe_period * static_cast<int>(random_.Below(1000)) / 1000),
      next_gossip_(now),
      next_retry_(now + options.reconnect_period),
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
  self.set_incarnation(incarnation_);
  if (self.refutation_number() == 0) self.set_refutation_number(1);
  if (!Fits(self)) throw std::invalid_argument("name, address, zone or versions are too long for a message");
  me_ = members_.Add(std::make_shared<Record>(std::move(self)), MemberStatus::kAlive, now);
}

void Membership::Settle(Time now, const std::vector<std::shared_ptr<const Record>>& others) {
  now = Enter(now);
  members_.Reserve(others.size());
  for (const auto& record : others)
    if (record->name() != self().name()) members_.Add(record, MemberStatus::kAlive, now);
  established_ = true;
}

void Membership::Join(Time now, std::vector<std::string> seeds) {
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
Time Membership::Enter(Time now) {
  if (options_.with_delayed_wakeups && now > expected_ + options_.delayed_wakeup) away_ += now - expected_;
  entered_ = now;
  expected_ = std::max(expected_, now);
  return ToLocalTime(now);
}

Output Membership::Take() {
  expected_ = std::max(next(), entered_);
  return std::exchange(output_, {});
}

Time Membership::next() const {
  if (stopped_) return kNever;
  Time due = std::min({next_probe_, next_retry_, next_seed_, next_sweep_});
  if (!queue_.empty()) due = std::min(due, next_gossip_);
  if (rival_until_ > Time{}) due = std::min(due, rival_until_);
  if (!established_) due = std::min(due, alone_at_);
  for (const Probe& probe : const_cast<Membership*>(this)->prober_.out())
    due =
        std::min(due, probe.sent + (probe.indirect_sent || probe.confirming ? options_.probe_period
                                                                            : options_.direct_probe_timeout));
  for (const Relay& relay : relays_) due = std::min(due, relay.until);
  if (suspicions_.size() > 0) due = std::min(due, next_judgement_);
  return due + away_;
}

void Membership::OnTick(Time now) {
  if (stopped_) return;
  now = Enter(now);
  if (!established_ && now >= alone_at_) established_ = true;
  if (rival_until_ > Time{} && now >= rival_until_) {
    rival_until_ = Time{};
    Refute(rival_refutation_number_, now);  // nobody there: the name is this member's
  }
  LookAfterProbes(now);
  if (now >= next_probe_) {
    next_probe_ = std::max(next_probe_ + options_.probe_period, now);
    ProbeNext(now);
  }
  if (now >= next_judgement_) Judge(now);
  if (now >= next_retry_) {
    next_retry_ = now + options_.reconnect_period;
    AskTheDead(now);
  }
  if (now >= next_seed_) AskSeeds(now);
  if (now >= next_sweep_) {
    next_sweep_ = now + kSweep;
    ForgetOld(now);
  }
  if (now >= next_gossip_ && !queue_.empty()) Gossip(now);
}

void Membership::Change(std::shared_ptr<Record> self, Time now) {
  members_.Set(me_, std::move(self), MemberStatus::kAlive, now);
  queue_.Add(ClaimOf(me_, now), now);
  changed_ = now;
  agreed_ = 0;
}

void Membership::SetState(Time now, MemberState state) {
  if (stopped_ || self().state() == static_cast<std::uint32_t>(state)) return;
  now = Enter(now);
  auto next = std::make_shared<Record>(self());
  next->set_state(static_cast<std::uint32_t>(state));
  next->set_version(next->version() + 1);
  Change(std::move(next), now);
}

bool Membership::Publish(Time now, const std::string& key, const std::string& value) {
  if (stopped_) return false;
  auto next = std::make_shared<Record>(self());
  (*next->mutable_metadata())[key] = value;
  next->set_version(next->version() + 1);
  if (!Fits(*next)) return false;
  Change(std::move(next), Enter(now));
  return true;
}

// Above a claim that is not true of this member, in serial arithmetic.
void Membership::Refute(std::uint32_t above, Time now) {
  auto next = std::make_shared<Record>(self());
  next->set_refutation_number(above + 1);
  Change(std::move(next), now);
  next_gossip_ = now;
}

void Membership::Stop() {
  stopped_ = true;
  queue_ = GossipQueue(options_.max_queued_claims);
  prober_.out().clear();
  relays_.clear();
}

void Membership::Leave(Time now) {
  if (stopped_) return;
  now = Enter(now);
  wire::Claim goodbye;
  goodbye.set_status(wire::STATUS_LEFT);
  *goodbye.mutable_record() = *Bare(self());
  goodbye.set_reported_by(self().name());
  std::vector<int> others;
  for (const int at : members_.living())
    if (at != me_) others.push_back(at);
  for (int i = 0; i < kFarewells && !others.empty(); ++i) {
    const std::size_t pick = random_.Below(others.size());
    wire::Message message = Begin(wire::KIND_GOSSIP);
    *message.add_claims() = goodbye;
    Send(std::move(message), members_[others[pick]].record->address(), others[pick], now);
    others[pick] = others.back();
    others.pop_back();
  }
  Stop();
}

void Membership::Tell(Event::Kind kind, const std::string& name, const std::string& by, Time silent) {
  output_.events.push_back({kind, name, by, silent});
}

// Seeds are asked in turn, fast until one has answered; then now and then those that are not in the view, so
// that halves that never met find each other.
void Membership::AskSeeds(Time now) {
  next_seed_ =
      now + (established_ && members_.living().size() > 1 ? 5 * options_.reconnect_period : kSeedAgain);
  if (seeds_.empty()) return;
  const std::string& seed = seeds_[random_.Below(seeds_.size())];
  for (const int at : members_.living()) {
    if (members_[at].record->address() == seed) return;
  }
  Sync(seed, now);
}

void Membership::ForgetOld(Time now) {
  std::vector<int> old;
  members_.ForEach([&](int at, const Member& entry) {
    if (!entry.living() && now - entry.status_since > options_.tombstone_lifetime) old.push_back(at);
  });
  for (const int at : old) {
    // One that left never comes back. One that was cut off for long may.
    if (members_[at].status == MemberStatus::kLeft) EndIncarnation(members_[at].record->incarnation());
    members_.Remove(at);
  }
}

}  // namespace copperpoint::membership
