// SPDX-License-Identifier: Apache-2.0
//
// Probes: whom to ask, and what an answer that does not come means.
#include <algorithm>
#include <utility>

#include "membership/membership.h"

namespace copperpoint::membership {
namespace {

constexpr int kJudgeAsks = 2;   // others, each time that a confirmer asks its suspect
constexpr int kMostAsked = 32;  // suspects in one look: a fleet in ruins is no reason for a storm

}  // namespace

void Membership::ProbeNext(Time now) {
  const auto others = [this] {
    std::vector<int> all = members_.living();
    std::erase(all, me_);
    return all;
  };
  // Those gone since the order was drawn are passed over; each order is walked once at most.
  for (std::size_t i = 0; i <= members_.living().size(); ++i) {
    const int at = prober_.Next(others, random_);
    if (at < 0) return;
    if (!members_[at].record || !members_[at].living()) continue;
    Ask(at, /*confirming=*/false, now);
    return;
  }
}

std::uint32_t Membership::Ask(int at, bool confirming, Time now) {
  const Member& entry = members_[at];
  wire::Message ping = Begin(wire::KIND_PING);
  const std::uint32_t probe =
      prober_.Start(entry.record->name(), entry.record->refutation_number(), now, confirming).id;
  ping.set_probe(probe);
  Send(std::move(ping), entry.record->address(), at, now);
  return probe;
}

void Membership::LookAfterProbes(Time now) {
  std::vector<Probe> over;
  std::vector<std::uint32_t> to_help;
  for (Probe& probe : prober_.out()) {
    if (now >= probe.sent + options_.probe_period) {
      over.push_back(probe);
    } else if (!probe.confirming && !probe.indirect_sent &&
               now >= probe.sent + options_.direct_probe_timeout) {
      probe.indirect_sent = true;
      if (options_.with_indirect_probes) to_help.push_back(probe.id);
    }
  }
  for (const std::uint32_t id : to_help) {
    const auto& out = prober_.out();
    const auto probe = std::find_if(out.begin(), out.end(), [id](const Probe& p) { return p.id == id; });
    AskThrough(options_.indirect_probes, id, std::string(probe->target), now);
  }
  for (const Probe& probe : over) {
    prober_.Take(probe.id);
    const int at = members_.Find(probe.target);
    if (at == MemberTable::kNotFound || !members_[at].living()) continue;
    const Member& entry = members_[at];
    if (entry.record->refutation_number() != probe.refutation_number || entry.last_contact >= probe.sent)
      continue;
    Accuse(at, self().name(), probe.sent, now);
    if (Suspicion* suspicion = suspicions_.Find(at)) SuspicionTable::MakeConfirmer(*suspicion, now);
  }
  std::erase_if(relays_, [&](const Relay& relay) { return now >= relay.until; });
}

// Others ask the target, and say at once how long ago they heard of it.
void Membership::AskThrough(int helpers, std::uint32_t probe, const std::string& target, Time now) {
  std::vector<int> others;
  const int at = members_.Find(target);
  for (const int other : members_.living())
    if (other != me_ && other != at && members_[other].status == MemberStatus::kAlive)
      others.push_back(other);
  for (int n = 0; n < helpers && !others.empty(); ++n) {
    const std::size_t pick = random_.Below(others.size());
    wire::Message message = Begin(wire::KIND_INDIRECT_PING);
    message.set_probe(probe);
    message.set_target(target);
    Send(std::move(message), members_[others[pick]].record->address(), others[pick], now);
    others[pick] = others.back();
    others.pop_back();
  }
}

void Membership::Judge(Time now) {
  next_judgement_ = now + options_.probe_period / 4;
  std::vector<int> over;
  const std::size_t living = members_.living().size();
  int asked = 0;
  const std::size_t healthy = living - std::min(living, suspicions_.size());
  for (auto& [at, suspicion] : suspicions_.all()) {
    if (suspicions_.Overdue(suspicion, now)) SuspicionTable::MakeConfirmer(suspicion, now);
    if (suspicions_.HasFailed(suspicion, members_[at].last_contact, healthy, now)) {
      over.push_back(at);
    } else if (suspicion.confirmer && now - suspicion.asked >= options_.probe_period &&
               ++asked <= kMostAsked) {
      suspicion.asked = now;
      const std::uint32_t probe = Ask(at, /*confirming=*/true, now);
      // A report of its last contact may have missed this confirmer alone.
      if (options_.with_indirect_probes) AskThrough(kJudgeAsks, probe, members_[at].record->name(), now);
    }
  }
  for (const int at : over) {
    Bury(at, MemberStatus::kDead, self().name(), 0, now);
    next_gossip_ = now;
  }
}

// So that halves of a fleet find each other again: whoever answers is no longer dead.
void Membership::AskTheDead(Time now) {
  if (members_.living().size() == members_.size()) return;
  int chosen = MemberTable::kNotFound;
  std::size_t seen = 0;
  members_.ForEach([&](int at, const Member& entry) {
    if (entry.status == MemberStatus::kDead && !entry.record->address().empty() && random_.Below(++seen) == 0)
      chosen = at;
  });
  if (chosen == MemberTable::kNotFound) return;
  wire::Message ping = Begin(wire::KIND_PING);
  ping.set_probe(prober_.NewId());
  Send(std::move(ping), members_[chosen].record->address(), chosen, now);
}

}  // namespace copperpoint::membership
