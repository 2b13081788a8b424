// SPDX-License-Identifier: Apache-2.0
//
// The keeper's file.
#ifndef COPPERPOINT_SUPERVISOR_SETTINGS_H_
#define COPPERPOINT_SUPERVISOR_SETTINGS_H_

#include <string>
#include <vector>

#include "config/schema.h"
#include "supervisor/supervisor.h"

namespace copperpoint::supervisor {

// A program with the operator's file that it runs with.
struct Version {
  std::string name, program, settings;
  std::string digest;  // of both (DigestOf); empty: whatever is there is run

  void Describe(config::Visitor& v);
};

struct Settings {
  std::string first;  // the version to begin with
  std::vector<std::string>
      operators;  // operator's addresses, in turn: two processes serve side by side for a while
  Limits limits;
  bool json_log = false;
  std::vector<Version> versions;

  void Describe(config::Visitor& v);
  const Version* Find(const std::string& name) const;
};

// Of the program's and the file's bytes, in hexadecimal. Throws std::runtime_error if one cannot be read.
std::string DigestOf(const Version& version);

// Runs until the child has ended for good or a signal ends both; returns the exit status.
int RunSupervisor(const Settings& settings);

}  // namespace copperpoint::supervisor

#endif  // COPPERPOINT_SUPERVISOR_SETTINGS_H_
