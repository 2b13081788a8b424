// SPDX-License-Identifier: Apache-2.0
#include "membership/document_exchange.h"

#include <utility>

namespace copperpoint::membership {

DocumentExchange::DocumentExchange(const Options& options, DocumentStore& documents, const LocalMember& local,
                                   MessageSender& sender, std::vector<Topic>& updated, Time now)
    : options_(options),
      documents_(documents),
      local_(local),
      sender_(sender),
      updated_(updated),
      next_fetch_(now) {}

bool DocumentExchange::Publish(Topic topic, std::uint64_t version, std::string body) {
  if (!documents_.Put(topic, version, std::move(body))) return false;
  updated_.push_back(topic);
  return true;
}

void DocumentExchange::OnVersions(const wire::Message& message, const std::string& address, Time now) {
  for (const wire::DocumentVersion& version : message.document_versions()) {
    if (!documents_.Accepts(version.topic(), version.version())) continue;
    if (version.bytes() == 0) {
      Publish(version.topic(), version.version(), "");
      continue;
    }
    if (now < next_fetch_ || address.empty()) continue;
    next_fetch_ = now + options_.gossip_period;
    wire::Message fetch = sender_.NewMessage(wire::KIND_FETCH);
    fetch.set_topic(version.topic());
    fetch.set_to_incarnation(message.incarnation());
    sender_.SendExchange(address, fetch);
  }
}

std::string DocumentExchange::Reply(const wire::Message& fetch) {
  const Document* document = documents_.Find(fetch.topic());
  if (!document || document->version == 0 || fetch.to_incarnation() != local_.incarnation()) return "";
  wire::Message reply = sender_.NewMessage(wire::KIND_DOCUMENT);
  reply.set_to_incarnation(fetch.incarnation());
  reply.set_topic(fetch.topic());
  reply.set_version(document->version);
  reply.set_body(document->body);
  return sender_.Encode(reply);
}

void DocumentExchange::OnDocument(const wire::Message& message) {
  if (message.to_incarnation() != local_.incarnation() || message.body().empty()) return;
  if (!documents_.Accepts(message.topic(), message.version())) return;
  Publish(message.topic(), message.version(), message.body());
}

}  // namespace copperpoint::membership
