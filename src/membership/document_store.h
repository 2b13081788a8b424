// SPDX-License-Identifier: Apache-2.0
//
// What all members are to hold in its latest version: a few small documents, and marks, which are versions
// alone. Each message names the versions that its sender holds; whoever holds an older one takes the mark, or
// fetches the document from the sender. So a version is with all in about as many periods as the logarithm of
// the members (epidemic pull: Demers and others, 1987), and costs each message a dozen bytes.
#ifndef COPPERPOINT_MEMBERSHIP_DOCUMENT_STORE_H_
#define COPPERPOINT_MEMBERSHIP_DOCUMENT_STORE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>

#include "membership/options.h"
#include "message.pb.h"

namespace copperpoint::membership {

// Which part of the program a document, a mark or a letter is for. A number is never used again.
using Topic = std::uint32_t;

struct Document {
  std::uint64_t version = 0;  // later is greater; 0: nothing is held
  std::string body;           // empty: a mark
};

class DocumentStore {
 public:
  static constexpr std::size_t kMaxTopics = 8, kMaxBodyBytes = 64 * 1024;

  // Asked before a later version is taken from others; without one all are taken. A part that is busy with
  // one document refuses the next.
  using Filter = std::function<bool(Topic, std::uint64_t version)>;
  void SetFilter(Filter gate) { filter_ = std::move(gate); }

  const Document* Find(Topic topic) const {
    const auto found = held_.find(topic);
    return found == held_.end() ? nullptr : &found->second;
  }
  // False: what is held is as late, or it does not fit.
  bool Put(Topic topic, std::uint64_t version, std::string body) {
    if (body.size() > kMaxBodyBytes || (held_.size() >= kMaxTopics && !held_.contains(topic))) return false;
    Document& held = held_[topic];
    if (version <= held.version) return false;
    held = {version, std::move(body)};
    return true;
  }
  bool Accepts(Topic topic, std::uint64_t version) const {
    const Document* held = Find(topic);
    if (held ? version <= held->version : version == 0 || held_.size() >= kMaxTopics) return false;
    return !filter_ || filter_(topic, version);
  }
  void Name(wire::Message* message) const {
    for (const auto& [topic, document] : held_) {
      if (document.version == 0) continue;
      wire::DocumentVersion& head = *message->add_document_versions();
      head.set_topic(topic);
      head.set_version(document.version);
      head.set_bytes(static_cast<std::uint32_t>(document.body.size()));
    }
  }

 private:
  std::map<Topic, Document> held_;
  Filter filter_;
};

}  // namespace copperpoint::membership

#endif  // COPPERPOINT_MEMBERSHIP_DOCUMENT_STORE_H_
