// SPDX-License-Identifier: Apache-2.0
//
// Sets one key of a TOML text, for sweeps and for `--set` on a command line.
#ifndef COPPERPOINT_CONFIG_EDIT_H_
#define COPPERPOINT_CONFIG_EDIT_H_

#include <string>
#include <string_view>

namespace copperpoint::config {

// `path` is dotted, with indices into arrays, which must be there: "load.rate", "trouble.0.size". Tables on
// the way are made. `value` is read as TOML; what is no TOML value is taken as text. Throws InvalidFile,
// which names `file`, on a text that is no TOML, and std::invalid_argument on a path that can't be followed.
std::string SetKey(std::string_view text, const std::string& file, const std::string& path,
                   const std::string& value);

}  // namespace copperpoint::config

#endif  // COPPERPOINT_CONFIG_EDIT_H_
