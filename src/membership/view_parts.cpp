// SPDX-License-Identifier: Apache-2.0
//
// What the parts that live on the view say through it: messages from one member to another, and documents and
// marks that all are to hold in their latest version.
#include <utility>

#include "membership/membership.h"

namespace copperpoint::membership {

bool Membership::SendMessage(Time now, const std::string& to, Topic topic, std::string body) {
  if (stopped_ || body.size() > options_.max_message_bytes) return false;
  now = Enter(now);
  const int at = members_.Find(to);
  if (at == MemberTable::kNotFound || at == me_ || !members_[at].living()) return false;
  wire::Message message = Begin(wire::KIND_APPLICATION);
  message.set_topic(topic);
  message.set_body(std::move(body));
  Send(std::move(message), members_[at].record->address(), at, now);
  return true;
}

bool Membership::PublishDocument(Time now, Topic topic, std::uint64_t version, std::string body) {
  if (stopped_) return false;
  now = Enter(now);
  if (!documents_.Put(topic, version, std::move(body))) return false;
  output_.documents.push_back(topic);
  return true;
}

// From a member, to this incarnation: what it holds in a later version than we do.
void Membership::TakeHeads(const wire::Message& message, const std::string& address, Time now) {
  for (const wire::DocumentVersion& head : message.document_versions()) {
    if (!documents_.Accepts(head.topic(), head.version())) continue;
    if (head.bytes() == 0) {
      if (documents_.Put(head.topic(), head.version(), "")) output_.documents.push_back(head.topic());
      continue;
    }
    if (now < next_fetch_ || address.empty()) continue;
    next_fetch_ = now + options_.gossip_period;
    wire::Message fetch = Begin(wire::KIND_FETCH);
    fetch.set_topic(head.topic());
    fetch.set_to_incarnation(message.incarnation());
    Exchange(address, fetch);
  }
}

std::string Membership::AnswerFetch(const wire::Message& message) {
  const Document* document = documents_.Find(message.topic());
  if (!document || document->version == 0 || message.to_incarnation() != incarnation_) return "";
  wire::Message answer = Begin(wire::KIND_DOCUMENT);
  answer.set_to_incarnation(message.incarnation());
  answer.set_topic(message.topic());
  answer.set_version(document->version);
  answer.set_body(document->body);
  return codec_.Encode(answer);
}

void Membership::TakeDocument(const wire::Message& message) {
  if (message.to_incarnation() != incarnation_ || message.body().empty()) return;
  if (!documents_.Accepts(message.topic(), message.version())) return;
  if (documents_.Put(message.topic(), message.version(), message.body()))
    output_.documents.push_back(message.topic());
}

}  // namespace copperpoint::membership
