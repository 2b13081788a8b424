// SPDX-License-Identifier: Apache-2.0
//
// The topics under which members of a rollout share documents and messages over the membership. The topic
// numbers are part of the wire format.
#ifndef COPPERPOINT_ROLLOUT_DOCUMENTS_H_
#define COPPERPOINT_ROLLOUT_DOCUMENTS_H_

#include <cstdint>
#include <string>

namespace copperpoint::rollout {

inline constexpr std::uint32_t kPlanTopic = 1;      // wire::RolloutDocument
inline constexpr std::uint32_t kProgressTopic = 2;  // The version is the encoded Progress; no body.
inline constexpr std::uint32_t kHistoryTopic = 3;   // wire::History
inline constexpr std::uint32_t kMessageTopic = 4;   // wire::AgentMessage, sent to one member.
// The same format as kProgressTopic, for the last rollout that admitted members and has ended.
inline constexpr std::uint32_t kFinalProgressTopic = 5;

// Of two documents with the same topic, the one with the greater version replaces the other.
struct Document {
  std::uint32_t topic = 0;
  std::uint64_t version = 0;
  std::string body;
};

}  // namespace copperpoint::rollout

#endif  // COPPERPOINT_ROLLOUT_DOCUMENTS_H_
