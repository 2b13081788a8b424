// SPDX-License-Identifier: Apache-2.0
#include "supervisor/settings.h"

#include <xxhash.h>

#include <algorithm>

#include "config/read.h"
#include "log/log.h"

namespace copperpoint::supervisor {

void Version::Describe(config::FieldVisitor& v) {
  v.Text("name", name, {}, {.text = "the name by which plans refer to the version"});
  v.Text("program", program, {}, {.text = "path of the program"});
  v.Text("settings", settings, {}, {.text = "path of the operator's file; empty: none"});
  v.Text(
      "digest", digest, {},
      {.text =
           "digest of both files, as `copperpoint supervise FILE --digests` prints it; empty: not checked"});
  v.Require("name", !name.empty() && name.find(' ') == std::string::npos,
            "must not be empty or contain a space");
  v.Require("program", !program.empty(), "is missing: a version needs the path of its program");
}

void Settings::Describe(config::FieldVisitor& v) {
  constexpr double kHour = 3600 * 1000;
  v.Text("first", first, {}, {.text = "the version to start with"});
  v.TextList(
      "operators", admin_addresses,
      {.text =
           "admin addresses that the processes take in turn; at least two, as two processes run at the same "
           "time in a rollout"});
  v.Milliseconds(
      "ready_ms", limits.ready_timeout,
      {.text = "time from a process's start within which it must be ready", .min = 100, .max = kHour});
  v.Milliseconds(
      "heard_ms", limits.contact_timeout,
      {.text = "time from readiness within which a new version must have membership contact; 0: no limit",
       .max = kHour});
  v.Milliseconds("first_wait_ms", limits.initial_backoff,
                 {.text = "backoff before the first restart; doubled each time", .min = 10, .max = kHour});
  v.Milliseconds("longest_wait_ms", limits.max_backoff,
                 {.text = "maximum backoff before a restart", .min = 10, .max = kHour});
  v.Milliseconds("steady_ms", limits.stable_after,
                 {.text = "a process that was ready for longer than this resets the backoff", .max = kHour});
  v.Int32("most_ends", limits.max_exits,
          {.text = "number of exits in a row after which the supervisor gives up", .min = 1, .max = 1000});
  v.Int32(
      "most_ends_of_new", limits.max_exits_on_probation,
      {.text = "number of exits in a row after which a new version is rolled back", .min = 1, .max = 1000});
  v.Boolean("json_log", json_log,
            {.text = "whether log lines are JSON objects, as with `log.format` of the proxy"});
  v.ItemList("version", "The versions that can run.", versions);
  v.Require("first", Find(first) != nullptr, "must be the name of one of the [[version]] tables");
}

const Version* Settings::Find(const std::string& name) const {
  const auto found =
      std::find_if(versions.begin(), versions.end(), [&](const Version& one) { return one.name == name; });
  return found == versions.end() ? nullptr : &*found;
}

std::string DigestOf(const Version& version) {
  const std::string program = config::ReadFileContents(version.program);
  const std::string settings = version.settings.empty() ? "" : config::ReadFileContents(version.settings);
  return log::Hex(XXH64(program.data(), program.size(), XXH64(settings.data(), settings.size(), 0)));
}

}  // namespace copperpoint::supervisor
