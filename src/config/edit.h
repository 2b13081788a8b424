// SPDX-License-Identifier: Apache-2.0
//
// Sets one key of a TOML text, for sweeps and for `--set` on a command line.
#ifndef COPPERPOINT_CONFIG_EDIT_H_
#define COPPERPOINT_CONFIG_EDIT_H_

#include <string>
#include <string_view>

namespace copperpoint::config {

// Returns `text` with the key at `path` set. `path` is dotted; array items are named by index and must exist:
// "load.rate", "trouble.0.size". Missing tables are created. A `value` that is not valid TOML is set as text.
// Throws InvalidFile, which names `file`, if `text` is not TOML; std::invalid_argument on an invalid path.
std::string SetKey(std::string_view text, const std::string& file, const std::string& path,
                   const std::string& value);

}  // namespace copperpoint::config

#endif  // COPPERPOINT_CONFIG_EDIT_H_
