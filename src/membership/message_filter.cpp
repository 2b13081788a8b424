// SPDX-License-Identifier: Apache-2.0
#include "membership/message_filter.h"

#include <utility>

namespace copperpoint::membership {

MessageFilter::MessageFilter(MemberTable& members, const EndedIncarnations& ended, const ClaimBuilder& claims,
                             const LocalMember& local, MemberLifecycle& lifecycle, AntiEntropy& anti_entropy,
                             NameConflict& name_conflict, MessageSender& sender, ReplyLimiter& limiter,
                             Counters& counters)
    : members_(members),
      ended_(ended),
      claims_(claims),
      local_(local),
      lifecycle_(lifecycle),
      anti_entropy_(anti_entropy),
      name_conflict_(name_conflict),
      sender_(sender),
      limiter_(limiter),
      counters_(counters) {}

bool MessageFilter::Accept(const wire::Message& message, const std::string& from, Time now) {
  if (message.from() == local_.name()) {
    if (message.incarnation() != local_.incarnation()) name_conflict_.OnMessage(message, from, now);
    return false;
  }
  const int index = members_.Find(message.from());
  if (index == MemberTable::kNotFound) return AcceptUnknown(message, from, now);
  if (members_[index].record->incarnation() != message.incarnation())
    return AcceptOtherIncarnation(message, from, index, now);
  return AcceptMember(message, index, now);
}

bool MessageFilter::AcceptUnknown(const wire::Message& message, const std::string& from, Time now) {
  if (ended_.Contains(message.incarnation())) {
    ++counters_.replays;
    return false;
  }
  if (message.kind() == wire::KIND_PING) anti_entropy_.StartIfDue(from, now);
  return true;
}

bool MessageFilter::AcceptOtherIncarnation(const wire::Message& message, const std::string& from, int index,
                                           Time now) {
  if (Supersedes(message, *members_[index].record)) {
    anti_entropy_.StartIfDue(from, now);
    return true;
  }
  // The sender may have just started and be joining: the reply tells it the refutation number to exceed.
  if (message.kind() == wire::KIND_SYNC) return true;
  ++counters_.older_incarnations;
  if (limiter_.TryAcquire(now)) {  // informs a running process that another one has its name
    wire::Message reply = sender_.NewMessage(wire::KIND_GOSSIP);
    *reply.add_claims() = claims_.ClaimOn(index, now);
    reply.set_to_incarnation(message.incarnation());
    sender_.Send(std::move(reply), from, MemberTable::kNotFound, now);
  }
  return false;
}

bool MessageFilter::AcceptMember(const wire::Message& message, int index, Time now) {
  if (!members_.Mutable(index).sequences.Accept(message.sequence())) {
    ++counters_.replays;
    return false;
  }
  const Member& member = members_[index];
  if (member.living()) {
    if (IsLater(message.refutation_number(), member.record->refutation_number()))
      lifecycle_.Revive(index, WithRefutationNumber(*member.record, message.refutation_number()), now);
    lifecycle_.RecordContact(index, now, now);
  } else if (member.status == MemberStatus::kDead) {
    // The sender is alive, and the two members have missed each other's changes.
    anti_entropy_.StartIfDue(member.record->address(), now);
  }
  return true;
}

}  // namespace copperpoint::membership
