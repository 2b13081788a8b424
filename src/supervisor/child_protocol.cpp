// SPDX-License-Identifier: Apache-2.0
#include "supervisor/child_protocol.h"

#include <fmt/format.h>

#include <cstddef>
#include <cstdlib>

namespace copperpoint::supervisor {

std::map<std::string, std::string> EncodeEnvironment(const ChildStartInfo& info) {
  std::map<std::string, std::string> variables{{"COPPERPOINT_KEEPER", std::to_string(info.descriptor)},
                                               {"COPPERPOINT_VERSION", info.version},
                                               {"COPPERPOINT_MARK", fmt::format("{:x}", info.progress)},
                                               {"COPPERPOINT_ENDS", std::to_string(info.exits)},
                                               {"COPPERPOINT_FAILED", info.failed_version},
                                               {"COPPERPOINT_FAILURE", info.failure}};
  if (!info.admin_address.empty()) variables["ROUTER_OPERATOR"] = info.admin_address;
  return variables;
}

std::optional<ChildMessage> DecodeChildMessage(const std::string& line) {
  const std::size_t space = line.find(' ');
  const std::string word = line.substr(0, space);
  const std::string rest = space == std::string::npos ? "" : line.substr(space + 1);
  if (word == "ready") return ChildMessage{ChildMessage::Kind::kReady, "", 0};
  if (word == "heard") return ChildMessage{ChildMessage::Kind::kMembershipContact, "", 0};
  if (word == "run") return ChildMessage{ChildMessage::Kind::kVersionRequested, rest, 0};
  if (word == "mark")
    return ChildMessage{ChildMessage::Kind::kProgress, "", std::strtoull(rest.c_str(), nullptr, 16)};
  return std::nullopt;
}

std::string EncodeFailureNotice(const std::string& version, const std::string& failure) {
  return "failed " + version + " " + failure;
}

}  // namespace copperpoint::supervisor
