// SPDX-License-Identifier: Apache-2.0
//
// What a membership produces for its host: frames to send, events, application messages and counters.
#ifndef COPPERPOINT_MEMBERSHIP_OUTPUT_H_
#define COPPERPOINT_MEMBERSHIP_OUTPUT_H_

#include <array>
#include <cstdint>
#include <string>
#include <vector>

#include "membership/document_store.h"
#include "membership/options.h"
#include "peers/frame.h"

namespace copperpoint::membership {

// An encoded frame and the address ("ADDRESS:PORT") that it is for.
struct OutgoingFrame {
  std::string to, bytes;
};

// A change that this member has observed or been notified of.
struct Event {
  enum class Kind {
    kJoined,     // a member that was not known, or a new process of one that was
    kSuspected,  // a probe was not answered
    kRefuted,    // a suspect has answered
    kDead,
    kLeft,
    kHealed,     // a member that was thought dead is alive, in the same process
    kNameTaken,  // another process has this member's name; this one has stopped
    kTooNew,     // a message in a format that this program cannot read
  };
  Kind kind = Kind::kJoined;
  std::string name;           // of the member; kTooNew: the sender's address
  std::string reported_by;    // the member that accused or declared; empty where there is none
  Time time_since_contact{};  // kDead
};
// The name that log lines use.
const char* NameOf(Event::Kind kind);

// From another member, for the component of the program that the topic belongs to.
struct ApplicationMessage {
  std::string from;
  Topic topic = 0;
  std::string body;
};

struct Output {
  std::vector<OutgoingFrame> datagrams;  // over UDP
  std::vector<OutgoingFrame> exchanges;  // over TCP: one frame there, one back
  std::vector<Event> events;
  std::vector<ApplicationMessage> messages;
  std::vector<Topic> documents;  // of which a later version is present now
};

// Since the start.
struct Counters {
  std::uint64_t sent = 0, sent_bytes = 0, received = 0, received_bytes = 0;  // datagrams
  std::uint64_t exchanges = 0, exchanged_bytes = 0;                          // frames of both directions
  std::array<std::uint64_t, peers::kFrameErrors> rejected{};                 // frames, by peers::FrameError
  std::uint64_t replays = 0;             // duplicates, and messages of incarnations that have ended
  std::uint64_t older_incarnations = 0;  // messages of a process whose name another one has taken over
  std::uint64_t misaddressed = 0;        // messages to another incarnation than this one
  std::uint64_t oversized = 0;           // datagrams over peers::kMaxDatagramBytes
};

}  // namespace copperpoint::membership

#endif  // COPPERPOINT_MEMBERSHIP_OUTPUT_H_
