// SPDX-License-Identifier: Apache-2.0
#include "supervisor/settings.h"

#include <xxhash.h>

#include <algorithm>

#include "config/read.h"
#include "log/log.h"

namespace copperpoint::supervisor {

void Version::Describe(config::Visitor& v) {
  v.Word("name", name, {}, {.text = "as a plan names it"});
  v.Word("program", program, {}, {.text = "its path"});
  v.Word("settings", settings, {}, {.text = "the operator's file that it runs with; empty: none"});
  v.Word("digest", digest, {},
         {.text = "of both, as `copperpoint supervise FILE --digests` prints it; empty: not checked"});
  v.Check("name", !name.empty() && name.find(' ') == std::string::npos, "is empty or has a space");
  v.Check("program", !program.empty(), "is missing");
}

void Settings::Describe(config::Visitor& v) {
  constexpr double kHour = 3600 * 1000;
  v.Word("first", first, {}, {.text = "the version to start with"});
  v.Words(
      "operators", admin_addresses,
      {.text = "addresses of the admin interface of its processes, in turn; at least two, as two run at the "
               "same time in a rollout"});
  v.Millis("ready_ms", limits.ready_timeout,
           {.text = "from a process's start until it is ready", .least = 100, .most = kHour});
  v.Millis("heard_ms", limits.contact_timeout,
           {.text = "from then on, until a new version has membership contact; 0: no limit", .most = kHour});
  v.Millis("first_wait_ms", limits.initial_backoff,
           {.text = "before a restart; doubled each time", .least = 10, .most = kHour});
  v.Millis("longest_wait_ms", limits.max_backoff,
           {.text = "the longest of these", .least = 10, .most = kHour});
  v.Millis("steady_ms", limits.stable_after,
           {.text = "a process that was ready for so long resets the backoff", .most = kHour});
  v.Whole32("most_ends", limits.max_exits,
            {.text = "exits in a row; then the supervisor gives up", .least = 1, .most = 1000});
  v.Whole32("most_ends_of_new", limits.max_exits_on_probation,
            {.text = "exits in a row; then a new version is rolled back", .least = 1, .most = 1000});
  v.Flag("json_log", json_log, {.text = "a JSON object a line, as the proxy's own `log.format`"});
  v.Items("version", "Programs with their settings.", versions);
  v.Check("first", Find(first) != nullptr, "names no version");
}

const Version* Settings::Find(const std::string& name) const {
  const auto found =
      std::find_if(versions.begin(), versions.end(), [&](const Version& one) { return one.name == name; });
  return found == versions.end() ? nullptr : &*found;
}

std::string DigestOf(const Version& version) {
  const std::string program = config::Contents(version.program);
  const std::string settings = version.settings.empty() ? "" : config::Contents(version.settings);
  return log::Hex(XXH64(program.data(), program.size(), XXH64(settings.data(), settings.size(), 0)));
}

}  // namespace copperpoint::supervisor
