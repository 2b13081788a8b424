// SPDX-License-Identifier: Apache-2.0
#include "membership/failure_detector.h"

#include <algorithm>
#include <optional>
#include <utility>
#include <vector>

namespace copperpoint::membership {
namespace {

// The indirect probes that a confirmer requests with each direct probe of a suspect.
constexpr int kConfirmerIndirectProbes = 2;
// The greatest number of probes that a confirmer sends in one check of the suspicions, so that many failures
// at once do not cause a burst of probes.
constexpr int kMaxConfirmerProbes = 32;
constexpr int kSuspicionChecksPerPeriod = 4;  // checks per probe_period

}  // namespace

FailureDetector::FailureDetector(const Options& options, const MemberTable& members,
                                 SuspicionTable& suspicions, OutstandingProbes& probes, GossipQueue& queue,
                                 const LocalMember& local, MemberLifecycle& lifecycle, MessageSender& sender,
                                 RandomSource& random, Time first_probe, Time now)
    : options_(options),
      members_(members),
      suspicions_(suspicions),
      probes_(probes),
      queue_(queue),
      local_(local),
      lifecycle_(lifecycle),
      sender_(sender),
      random_(random),
      next_probe_(first_probe),
      next_dead_probe_(now + options.reconnect_period),
      next_suspicion_check_(now) {}

Time FailureDetector::next() const {
  Time due = std::min(next_probe_, next_dead_probe_);
  for (const Probe& probe : probes_.all()) {
    const bool waits_for_end = probe.indirect_sent || probe.confirming;
    due = std::min(due, probe.sent + (waits_for_end ? options_.probe_period : options_.direct_probe_timeout));
  }
  return suspicions_.empty() ? due : std::min(due, next_suspicion_check_);
}

void FailureDetector::OnTimer(Time now) {
  CheckProbes(now);
  if (now >= next_probe_) {
    next_probe_ = std::max(next_probe_ + options_.probe_period, now);
    ProbeNextMember(now);
  }
  if (now >= next_suspicion_check_) CheckSuspicions(now);
  if (now >= next_dead_probe_) {
    next_dead_probe_ = now + options_.reconnect_period;
    ProbeDeadMember(now);
  }
}

void FailureDetector::OnAck(const wire::Message& message, Time now) {
  const std::optional<Probe> probe = probes_.Take(message.probe());
  if (!probe || message.target().empty() || message.target() != probe->target) return;
  // An ack with a target was forwarded by another member, which received the target's message. This member
  // records the contact here, since MessageFilter does so only for the sender of a message.
  const int index = members_.Find(probe->target);
  if (index != MemberTable::kNotFound && members_[index].living()) lifecycle_.RecordContact(index, now, now);
}

void FailureDetector::CheckProbes(Time now) {
  std::vector<Probe> expired, unanswered;
  for (Probe& probe : probes_.all()) {
    if (now >= probe.sent + options_.probe_period) {
      expired.push_back(probe);
    } else if (!probe.confirming && !probe.indirect_sent &&
               now >= probe.sent + options_.direct_probe_timeout) {
      probe.indirect_sent = true;
      unanswered.push_back(probe);
    }
  }
  if (options_.with_indirect_probes) {
    for (const Probe& probe : unanswered)
      RequestIndirectProbes(options_.indirect_probes, probe.id, probe.target, now);
  }
  for (const Probe& probe : expired) OnProbeExpired(probe, now);
}

void FailureDetector::OnProbeExpired(const Probe& probe, Time now) {
  probes_.Take(probe.id);
  const int index = members_.Find(probe.target);
  if (index == MemberTable::kNotFound || !members_[index].living()) return;
  const Member& member = members_[index];
  if (member.record->refutation_number() != probe.refutation_number || member.last_contact >= probe.sent)
    return;
  lifecycle_.Suspect(index, local_.name(), probe.sent, now);
  lifecycle_.BecomeConfirmer(index, now);
}

void FailureDetector::ProbeNextMember(Time now) {
  const auto list_others = [this] {
    std::vector<int> others = members_.living();
    std::erase(others, local_.index());
    return others;
  };
  // Members that died since the order was drawn are skipped. At most about one order is searched.
  for (std::size_t i = 0; i <= members_.living().size(); ++i) {
    const std::optional<int> index = order_.Next(list_others, random_);
    if (!index) return;
    if (!members_[*index].record || !members_[*index].living()) continue;
    SendProbe(*index, /*confirming=*/false, now);
    return;
  }
}

std::uint32_t FailureDetector::SendProbe(int index, bool confirming, Time now) {
  const Member& member = members_[index];
  wire::Message ping = sender_.NewMessage(wire::KIND_PING);
  const std::uint32_t id =
      probes_.Start(member.record->name(), member.record->refutation_number(), now, confirming).id;
  ping.set_probe(id);
  sender_.Send(std::move(ping), member.record->address(), index, now);
  return id;
}

void FailureDetector::RequestIndirectProbes(int count, std::uint32_t probe_id, const std::string& target,
                                            Time now) {
  std::vector<int> others;
  const int target_index = members_.Find(target);
  for (const int other : members_.living()) {
    if (other != local_.index() && other != target_index && members_[other].status == MemberStatus::kAlive)
      others.push_back(other);
  }
  for (int n = 0; n < count && !others.empty(); ++n) {
    const std::size_t pick = random_.Below(others.size());
    wire::Message message = sender_.NewMessage(wire::KIND_INDIRECT_PING);
    message.set_probe(probe_id);
    message.set_target(target);
    sender_.Send(std::move(message), members_[others[pick]].record->address(), others[pick], now);
    others[pick] = others.back();
    others.pop_back();
  }
}

void FailureDetector::CheckSuspicions(Time now) {
  next_suspicion_check_ = now + options_.probe_period / kSuspicionChecksPerPeriod;
  std::vector<int> failed;
  const std::size_t living = members_.living().size();
  const std::size_t healthy = living - std::min(living, suspicions_.size());
  int probed = 0;
  for (auto& [index, suspicion] : suspicions_.all()) {
    if (suspicions_.IsOverdue(suspicion, now)) SuspicionTable::MakeConfirmer(suspicion, now);
    if (suspicions_.HasFailed(suspicion, members_[index].last_contact, healthy, now)) {
      failed.push_back(index);
    } else if (suspicion.confirmer && now - suspicion.last_probe >= options_.probe_period &&
               ++probed <= kMaxConfirmerProbes) {
      suspicion.last_probe = now;
      const std::uint32_t id = SendProbe(index, /*confirming=*/true, now);
      // This confirmer may be the only member that a report of the suspect's last contact did not reach.
      if (options_.with_indirect_probes)
        RequestIndirectProbes(kConfirmerIndirectProbes, id, members_[index].record->name(), now);
    }
  }
  for (const int index : failed) {
    lifecycle_.MarkEnded(index, MemberStatus::kDead, local_.name(), 0, now);
    queue_.ScheduleRound(now);
  }
}

// Probes a random dead member, so that the halves of a partitioned fleet find each other again: a member that
// answers is not dead.
void FailureDetector::ProbeDeadMember(Time now) {
  if (members_.living().size() == members_.size()) return;
  int chosen = MemberTable::kNotFound;
  std::size_t candidates = 0;
  members_.ForEach([&](int index, const Member& member) {
    if (member.status == MemberStatus::kDead && !member.record->address().empty() &&
        random_.Below(++candidates) == 0)
      chosen = index;
  });
  if (chosen == MemberTable::kNotFound) return;
  wire::Message ping = sender_.NewMessage(wire::KIND_PING);
  ping.set_probe(probes_.NewId());
  sender_.Send(std::move(ping), members_[chosen].record->address(), chosen, now);
}

}  // namespace copperpoint::membership
