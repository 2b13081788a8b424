// SPDX-License-Identifier: Apache-2.0
#include "supervisor/settings.h"

#include <xxhash.h>

#include <algorithm>

#include "config/read.h"
#include "log/log.h"

namespace copperpoint::supervisor {

void Version::Describe(config::FieldVisitor& v) {
  v.Text("name", name, {}, {.text = "as a plan names it"});
  v.Text("program", program, {}, {.text = "its path"});
  v.Text("settings", settings, {}, {.text = "the operator's file that it runs with; empty: none"});
  v.Text("digest", digest, {},
         {.text = "of both, as `copperpoint supervise FILE --digests` prints it; empty: not checked"});
  v.Require("name", !name.empty() && name.find(' ') == std::string::npos, "is empty or has a space");
  v.Require("program", !program.empty(), "is missing");
}

void Settings::Describe(config::FieldVisitor& v) {
  constexpr double kHour = 3600 * 1000;
  v.Text("first", first, {}, {.text = "the version to start with"});
  v.TextList(
      "operators", admin_addresses,
      {.text = "addresses of the admin interface of its processes, in turn; at least two, as two run at the "
               "same time in a rollout"});
  v.Milliseconds("ready_ms", limits.ready_timeout,
                 {.text = "from a process's start until it is ready", .min = 100, .max = kHour});
  v.Milliseconds(
      "heard_ms", limits.contact_timeout,
      {.text = "from then on, until a new version has membership contact; 0: no limit", .max = kHour});
  v.Milliseconds("first_wait_ms", limits.initial_backoff,
                 {.text = "before a restart; doubled each time", .min = 10, .max = kHour});
  v.Milliseconds("longest_wait_ms", limits.max_backoff,
                 {.text = "the longest of these", .min = 10, .max = kHour});
  v.Milliseconds("steady_ms", limits.stable_after,
                 {.text = "a process that was ready for so long resets the backoff", .max = kHour});
  v.Int32("most_ends", limits.max_exits,
          {.text = "exits in a row; then the supervisor gives up", .min = 1, .max = 1000});
  v.Int32("most_ends_of_new", limits.max_exits_on_probation,
          {.text = "exits in a row; then a new version is rolled back", .min = 1, .max = 1000});
  v.Boolean("json_log", json_log, {.text = "a JSON object a line, as the proxy's own `log.format`"});
  v.ItemList("version", "Programs with their settings.", versions);
  v.Require("first", Find(first) != nullptr, "names no version");
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
