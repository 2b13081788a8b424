// SPDX-License-Identifier: Apache-2.0
#include "proxy/config/configuration_reference.h"

#include "config/show.h"
#include "proxy/config/operator_settings.h"

namespace copperpoint::proxy {
namespace {

constexpr char kIntroduction[] = R"(# The operator's file

`copperpoint serve --config FILE` reads it; `deploy/copperpoint.toml` is one to start from. It is TOML. Every key
is optional, and without the file each has the default below. What the platform sets of a proxy (name, addresses,
limits, classes, tenants) stays in the platform's JSON.

    copperpoint config check deploy/copperpoint.toml     # every fault, with file, line, column and key
    copperpoint config show deploy/copperpoint.toml      # the values that would be in force
    copperpoint config reference                         # this page

Unknown keys, wrong types and values out of range are rejected, all of them at once, and the program does not start.
On SIGHUP the file is read again: `log` and `patience` take effect at once, `shares`, `upgrade` and `fleet` from the next
start on. A file that is rejected then leaves the old values in force, and the log has an event `configuration_rejected` for
each fault.
)";

}  // namespace

std::string ConfigurationReference() {
  OperatorSettings defaults;
  return kIntroduction + config::FormatReference([&](config::FieldVisitor& v) { defaults.Describe(v); });
}

}  // namespace copperpoint::proxy
