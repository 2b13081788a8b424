// SPDX-License-Identifier: Apache-2.0
#include "membership/name_conflict.h"

namespace copperpoint::membership {
namespace {

// The time within which a process that members report under this name must send a message.
constexpr Time kAnswerTimeout = std::chrono::seconds(1);

}  // namespace

NameConflict::NameConflict(LocalMember& local, MessageSender& sender, ReplyLimiter& limiter,
                           std::vector<Event>& events)
    : local_(local), sender_(sender), limiter_(limiter), events_(events) {}

void NameConflict::OnClaim(const wire::Claim& claim, Time now) {
  const Record& record = claim.record();
  const std::uint32_t own_number = local_.record().refutation_number();
  if (record.incarnation() == local_.incarnation()) {
    const bool untrue =
        claim.status() != wire::STATUS_ALIVE || IsLater(record.refutation_number(), own_number);
    if (untrue && !IsLater(own_number, record.refutation_number()))
      local_.Refute(record.refutation_number(), now);
    return;
  }
  if (!Supersedes(record, local_.record())) return;
  const bool ended = claim.status() == wire::STATUS_DEAD || claim.status() == wire::STATUS_LEFT;
  if (ended || !local_.established()) return local_.Refute(record.refutation_number(), now);
  if (answer_due_ > Time{}) return;
  answer_due_ = now + kAnswerTimeout;
  reported_refutation_number_ = record.refutation_number();
  sender_.Send(sender_.NewMessage(wire::KIND_PING), record.address(), MemberTable::kNotFound, now);
}

void NameConflict::OnMessage(const wire::Message& message, const std::string& from, Time now) {
  if (Supersedes(message, local_.record())) {
    if (!local_.established()) return local_.Refute(message.refutation_number(), now);
    events_.push_back({Event::Kind::kNameTaken, local_.name(), from, Time{}});
    return local_.Stop();
  }
  if (!limiter_.TryAcquire(now)) return;
  sender_.Send(sender_.NewMessage(wire::KIND_PING), from, MemberTable::kNotFound, now);
}

void NameConflict::OnTimer(Time now) {
  if (answer_due_ == Time{} || now < answer_due_) return;
  answer_due_ = Time{};
  local_.Refute(reported_refutation_number_, now);
}

}  // namespace copperpoint::membership
