// SPDX-License-Identifier: Apache-2.0
//
// Fetches later versions of documents from the members that have them, and serves this member's.
#ifndef COPPERPOINT_MEMBERSHIP_DOCUMENT_EXCHANGE_H_
#define COPPERPOINT_MEMBERSHIP_DOCUMENT_EXCHANGE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "membership/document_store.h"
#include "membership/local_member.h"
#include "membership/message_sender.h"
#include "membership/options.h"

namespace copperpoint::membership {

// Owns the time of the next fetch. The topics that have a later version go to the output.
class DocumentExchange {
 public:
  DocumentExchange(const Options& options, DocumentStore& documents, const LocalMember& local,
                   MessageSender& sender, std::vector<Topic>& updated, Time now);

  // This member's own version. False: a later one is stored.
  bool Publish(Topic topic, std::uint64_t version, std::string body);
  // The versions that a message of a member at `address` names: marks are taken, and a later document is
  // fetched, one in each gossip_period.
  void OnVersions(const wire::Message& message, const std::string& address, Time now);
  // The frame of the reply to a fetch; empty: there is none.
  std::string Reply(const wire::Message& fetch);
  // The reply to this member's fetch.
  void OnDocument(const wire::Message& message);

 private:
  const Options& options_;
  DocumentStore& documents_;
  const LocalMember& local_;
  MessageSender& sender_;
  std::vector<Topic>& updated_;
  Time next_fetch_;
};

}  // namespace copperpoint::membership

#endif  // COPPERPOINT_MEMBERSHIP_DOCUMENT_EXCHANGE_H_
