// SPDX-License-Identifier: Apache-2.0
//
// The supervisor's file (`copperpoint supervise FILE`, deploy/keep.toml): the versions that it can run. Its
// keys are mapped to the code's terms in settings.cpp and nowhere else.
#ifndef COPPERPOINT_SUPERVISOR_SETTINGS_H_
#define COPPERPOINT_SUPERVISOR_SETTINGS_H_

#include <string>
#include <vector>

#include "config/schema.h"
#include "supervisor/supervisor.h"

namespace copperpoint::supervisor {

// A program with the operator's file that it runs with.
struct Version {
  std::string name, program;  // as a rollout's plan names it; its path
  std::string settings;       // path of the operator's file; empty: none
  std::string digest;         // of both (DigestOf); empty: not checked

  void Describe(config::FieldVisitor& v);
};

struct Settings {
  std::string first;                         // the version to start with
  std::vector<std::string> admin_addresses;  // of its processes, in turn; none: as their files say
  Limits limits;
  bool json_log = false;
  std::vector<Version> versions;

  void Describe(config::FieldVisitor& v);
  // Null if there is none of that name.
  const Version* Find(const std::string& name) const;
};

// Of the program's and the file's bytes, in hexadecimal. Throws config::InvalidFile if one can't be read.
std::string DigestOf(const Version& version);

}  // namespace copperpoint::supervisor

#endif  // COPPERPOINT_SUPERVISOR_SETTINGS_H_
