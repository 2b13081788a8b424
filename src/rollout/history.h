// SPDX-License-Identifier: Apache-2.0
//
// The history of a rollout lists what was decided, by which member, when and why. Members share it as a
// document.
#ifndef COPPERPOINT_ROLLOUT_HISTORY_H_
#define COPPERPOINT_ROLLOUT_HISTORY_H_

#include <cstdint>
#include <optional>
#include <string>

#include "rollout.pb.h"
#include "rollout/documents.h"
#include "rollout/event.h"
#include "rollout/plan.h"

namespace copperpoint::rollout {

// Owns the steps of the latest rollout that this member knows.
class History {
 public:
  struct Entry {
    EventKind event = EventKind::kProgressed;
    std::string reason, recorded_by;
    std::uint32_t admitted_members = 0;
    Time age{};  // The time since this member received the rollout.
  };

  // Takes over another member's history if its version is greater than that of this member's.
  void OnDocument(std::uint64_t version, const std::string& body);
  // Adds a step to the history of the rollout of `epoch`, and drops the steps of any other rollout. Returns
  // the document to share; nothing if the history is full.
  std::optional<Document> Record(std::uint32_t epoch, const Entry& entry);

  const wire::History& steps() const { return steps_; }

 private:
  wire::History steps_;
  std::uint64_t version_ = 0;
};

}  // namespace copperpoint::rollout

#endif  // COPPERPOINT_ROLLOUT_HISTORY_H_
