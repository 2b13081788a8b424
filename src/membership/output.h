// SPDX-License-Identifier: Apache-2.0
//
// The output of a Membership for its host: frames to send, events, application messages and counters.
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

// An encoded frame and the address ("ADDRESS:PORT") to which it is to be sent.
struct OutgoingFrame {
  std::string to, bytes;
};

// A change that this member has observed or been notified of.
struct Event {
  enum class Kind {
    kJoined,     // a member was not known, or runs in a new process
    kSuspected,  // a member did not answer a probe
    kRefuted,    // a suspect has refuted the suspicion
    kDead,       // a member was declared dead
    kLeft,       // a member has left the fleet
    kHealed,     // a member that was marked dead is alive, in the same process
    kNameTaken,  // another process has this member's name; this one has stopped
    kTooNew,     // a message was received in a format that this program cannot read
  };
  Kind kind = Kind::kJoined;
  std::string name;           // the member's name; for kTooNew, the sender's address
  std::string reported_by;    // the member that made the accusation or declaration, or empty
  Time time_since_contact{};  // for kDead and kLeft, the time since the last contact with the member
};
// Returns the name that log lines use.
const char* NameOf(Event::Kind kind);

// A message from another member to the component of the program that the topic belongs to.
struct ApplicationMessage {
  std::string from;
  Topic topic = 0;
  std::string body;
};

struct Output {
  std::vector<OutgoingFrame> datagrams;  // to be sent over UDP
  std::vector<OutgoingFrame> exchanges;  // requests to be sent over TCP, each of which has one reply
  std::vector<Event> events;
  std::vector<ApplicationMessage> messages;
  std::vector<Topic> documents;  // topics of which a later version has been stored
};

// Counts since the start of the process.
struct Counters {
  std::uint64_t sent = 0, sent_bytes = 0, received = 0, received_bytes = 0;  // datagrams
  // Exchanges that this member opened, and the bytes of the frames of all exchanges in both directions.
  std::uint64_t exchanges = 0, exchanged_bytes = 0;
  std::array<std::uint64_t, peers::kFrameErrors> rejected{};  // frames, by peers::FrameError
  std::uint64_t replays = 0;             // duplicates, and messages of incarnations that have ended
  std::uint64_t older_incarnations = 0;  // messages of a process whose name another one has taken over
  std::uint64_t misaddressed = 0;        // messages to another incarnation than this one
  std::uint64_t oversized = 0;           // datagrams larger than peers::kMaxDatagramBytes
};

}  // namespace copperpoint::membership

#endif  // COPPERPOINT_MEMBERSHIP_OUTPUT_H_
