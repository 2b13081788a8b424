// SPDX-License-Identifier: Apache-2.0
//
// The other two readings of a described struct: its values as TOML, and its reference page.
#ifndef COPPERPOINT_CONFIG_SHOW_H_
#define COPPERPOINT_CONFIG_SHOW_H_

#include <functional>
#include <string>

#include "config/schema.h"

namespace copperpoint::config {

// TOML that reads back to the same values.
std::string FormatValues(const std::function<void(FieldVisitor&)>& describe);

// A Markdown table for each section, with key, default, range, unit and text. Of a list of tables the fields
// of one item are shown, with the defaults of an item that says nothing.
std::string FormatReference(const std::function<void(FieldVisitor&)>& describe);

}  // namespace copperpoint::config

#endif  // COPPERPOINT_CONFIG_SHOW_H_
