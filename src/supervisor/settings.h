// SPDX-License-Identifier: Apache-2.0
//
// The supervisor's settings file (`copperpoint supervise FILE`, such as deploy/keep.toml), which lists the
// versions that it can run. Only settings.cpp maps the file's keys to the code's terms.
#ifndef COPPERPOINT_SUPERVISOR_SETTINGS_H_
#define COPPERPOINT_SUPERVISOR_SETTINGS_H_

#include <string>
#include <vector>

#include "config/schema.h"
#include "supervisor/supervisor.h"

namespace copperpoint::supervisor {

// A program together with the operator's file with which it runs.
struct Version {
  std::string name, program;  // The name by which rollout plans refer to the version; the program's path.
  std::string settings;       // The path of the operator's file; empty if there is none.
  std::string digest;         // The expected DigestOf this version; not checked if empty.

  void Describe(config::FieldVisitor& v);
};

struct Settings {
  std::string first;  // The name of the version to start with.
  // The admin addresses that processes take in turn. If empty, those in the processes' own files apply.
  std::vector<std::string> admin_addresses;
  Limits limits;
  bool json_log = false;
  std::vector<Version> versions;

  void Describe(config::FieldVisitor& v);
  // Returns null if there is no version of that name.
  const Version* Find(const std::string& name) const;
};

// Returns the digest of the program's and the operator file's bytes, in hexadecimal. Throws
// config::InvalidFile if one of them cannot be read.
std::string DigestOf(const Version& version);

}  // namespace copperpoint::supervisor

#endif  // COPPERPOINT_SUPERVISOR_SETTINGS_H_
