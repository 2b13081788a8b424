// SPDX-License-Identifier: Apache-2.0
//
// The protocol between a supervisor and its processes: environment variables at the start, and then lines of
// text over a socket. Processes of other program versions read and write them, so that their bytes are fixed.
// Only this module maps them to types on the supervisor's side; the process's side is src/proxy/membership.
#ifndef COPPERPOINT_SUPERVISOR_CHILD_PROTOCOL_H_
#define COPPERPOINT_SUPERVISOR_CHILD_PROTOCOL_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace copperpoint::supervisor {

// The information that a process receives at its start.
struct ChildStartInfo {
  int descriptor = -1;  // The descriptor of the process's end of the socket.
  std::string version;
  std::uint64_t progress = 0;           // The encoded progress of the latest rollout (rollout/progress.h).
  int exits = 0;                        // The number of unrequested exits of this version.
  std::string failed_version, failure;  // The version that failed last, and the reason; empty if none did.
  std::string admin_address;            // If empty, the address in the process's configuration applies.
};
// Returns the environment variables by name.
std::map<std::string, std::string> EncodeEnvironment(const ChildStartInfo& info);

struct ChildMessage {
  enum class Kind {
    kReady,              // The process is ready to serve.
    kMembershipContact,  // The process has contact to other members.
    kVersionRequested,   // Another version is to replace the process.
    kProgress,           // The progress is to be stored for later processes.
  };
  Kind kind = Kind::kReady;
  std::string version;         // Set for kVersionRequested.
  std::uint64_t progress = 0;  // Set for kProgress; encoded.
};
// Decodes a line without its newline. Returns nothing for an unknown line, which a later version of the
// program may send.
std::optional<ChildMessage> DecodeChildMessage(const std::string& line);

// Returns the line, without its newline, that notifies a process of the failure of `version`.
std::string EncodeFailureNotice(const std::string& version, const std::string& failure);

}  // namespace copperpoint::supervisor

#endif  // COPPERPOINT_SUPERVISOR_CHILD_PROTOCOL_H_
