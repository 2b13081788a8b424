// SPDX-License-Identifier: Apache-2.0
//
// The documents and marks of which all members receive the latest version. A document is a small body with a
// version, and a mark is a version without a body.
#ifndef COPPERPOINT_MEMBERSHIP_DOCUMENT_STORE_H_
#define COPPERPOINT_MEMBERSHIP_DOCUMENT_STORE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>

#include "message.pb.h"

namespace copperpoint::membership {

// The component of the program that a document, a mark or a message belongs to. The number of a topic that
// was given up is never used again.
using Topic = std::uint32_t;

struct Document {
  std::uint64_t version = 0;  // a greater version is later; 0: no version is stored
  std::string body;           // empty for a mark
};

// Every message names the versions that its sender has; a receiver with an older one takes the mark, or
// fetches the document from the sender. So a version reaches all members in about as many probe periods as
// the logarithm of their number (epidemic pull: Demers and others, 1987), and costs a dozen bytes a message.
//
// Owns the latest version of each topic.
class DocumentStore {
 public:
  static constexpr std::size_t kMaxTopics = 8, kMaxBodyBytes = std::size_t{64} * 1024;

  // Returns whether a later version may be accepted from another member; without a filter all are accepted.
  // A component that is still applying one document rejects the next by its filter.
  using Filter = std::function<bool(Topic, std::uint64_t version)>;
  void SetFilter(Filter filter) { filter_ = std::move(filter); }

  // Returns the stored document of a topic, or nullptr if there is none.
  const Document* Find(Topic topic) const {
    const auto found = documents_.find(topic);
    return found == documents_.end() ? nullptr : &found->second;
  }
  // Stores a version. Returns false if the stored version is as late, or if the document is over a limit.
  bool Put(Topic topic, std::uint64_t version, std::string body) {
    if (body.size() > kMaxBodyBytes || (documents_.size() >= kMaxTopics && !documents_.contains(topic)))
      return false;
    Document& stored = documents_[topic];
    if (version <= stored.version) return false;
    stored = {version, std::move(body)};
    return true;
  }
  // Returns whether this version would be accepted from another member.
  bool Accepts(Topic topic, std::uint64_t version) const {
    const Document* stored = Find(topic);
    if (stored ? version <= stored->version : version == 0 || documents_.size() >= kMaxTopics) return false;
    return !filter_ || filter_(topic, version);
  }
  // Adds the stored versions to a message.
  void AddVersionsTo(wire::Message* message) const {
    for (const auto& [topic, document] : documents_) {
      if (document.version == 0) continue;
      wire::DocumentVersion& version = *message->add_document_versions();
      version.set_topic(topic);
      version.set_version(document.version);
      version.set_bytes(static_cast<std::uint32_t>(document.body.size()));
    }
  }

 private:
  std::map<Topic, Document> documents_;
  Filter filter_;
};

}  // namespace copperpoint::membership

#endif  // COPPERPOINT_MEMBERSHIP_DOCUMENT_STORE_H_
