// SPDX-License-Identifier: Apache-2.0
//
// Fetches later versions of documents from the members that have them, and serves this member's documents.
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

// Owns the time of the next fetch. The topics of which a later version was stored are added to `updated`.
class DocumentExchange {
 public:
  DocumentExchange(const Options& options, DocumentStore& documents, const LocalMember& local,
                   MessageSender& sender, std::vector<Topic>& updated, Time now);

  // Stores a version that this member publishes. Returns false if the stored version is as late, or if the
  // document is over a limit of DocumentStore.
  bool Publish(Topic topic, std::uint64_t version, std::string body);
  // Compares the versions that a message names with this member's. Later marks are stored at once; later
  // documents are fetched from `address`, the sender's, at most one in each gossip_period.
  void OnVersions(const wire::Message& message, const std::string& address, Time now);
  // Returns the frame of the reply to a fetch, or an empty string if this member does not reply.
  std::string Reply(const wire::Message& fetch);
  // Stores the document that another member sent in reply to a fetch.
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
