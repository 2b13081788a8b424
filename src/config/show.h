// SPDX-License-Identifier: Apache-2.0
//
// Formats a struct that describes its keys: its values as TOML, and its reference page in Markdown.
#ifndef COPPERPOINT_CONFIG_SHOW_H_
#define COPPERPOINT_CONFIG_SHOW_H_

#include <functional>
#include <string>

#include "config/schema.h"

namespace copperpoint::config {

// Returns TOML that reads back to the same values.
std::string FormatValues(const std::function<void(FieldVisitor&)>& describe);

// Returns a Markdown table for each section, with key, default, range, unit and text. For an array of tables
// it lists the fields of one item, with the defaults of an item that sets no key.
std::string FormatReference(const std::function<void(FieldVisitor&)>& describe);

}  // namespace copperpoint::config

#endif  // COPPERPOINT_CONFIG_SHOW_H_
