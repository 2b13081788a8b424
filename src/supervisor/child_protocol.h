// SPDX-License-Identifier: Apache-2.0
//
// The protocol between a supervisor and its processes: environment variables at the start, and then lines of
// text over a socket. Processes of other versions of the program read and write them, so their bytes are
// fixed; they are mapped to types here and nowhere else. The process's side is src/proxy/membership.
#ifndef COPPERPOINT_SUPERVISOR_CHILD_PROTOCOL_H_
#define COPPERPOINT_SUPERVISOR_CHILD_PROTOCOL_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace copperpoint::supervisor {

// What a process is given at its start.
struct ChildStartInfo {
  int descriptor = -1;  // of its end of the socket
  std::string version;
  std::uint64_t progress = 0;  // encoded, of the latest rollout (rollout/progress.h)
  int exits = 0;               // of this version, by itself
  std::string failed_version, failure;
  std::string admin_address;  // empty: as its configuration says
};
// Name and value of each variable.
std::map<std::string, std::string> EncodeEnvironment(const ChildStartInfo& info);

struct ChildMessage {
  enum class Kind {
    kReady,              // it serves
    kMembershipContact,  // it has contact to other members
    kVersionRequested,   // another version is to run in its place
    kProgress,           // to be stored for later processes
  };
  Kind kind = Kind::kReady;
  std::string version;         // of kVersionRequested
  std::uint64_t progress = 0;  // of kProgress; encoded
};
// `line`: without its end. Nothing for a line of a later version of the program.
std::optional<ChildMessage> DecodeChildMessage(const std::string& line);

// Without its end.
std::string EncodeFailureNotice(const std::string& version, const std::string& failure);

}  // namespace copperpoint::supervisor

#endif  // COPPERPOINT_SUPERVISOR_CHILD_PROTOCOL_H_
