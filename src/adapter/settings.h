// SPDX-License-Identifier: Apache-2.0
//
// Reads the settings that the simulator sends as lines of the form path=value.
#ifndef COPPERPOINT_ADAPTER_SETTINGS_H_
#define COPPERPOINT_ADAPTER_SETTINGS_H_

#include <stdexcept>
#include <string>
#include <string_view>

#include "copperpoint/balancer.h"

namespace copperpoint::adapter {

// Thrown if a required key is absent or a value can't be used. what() is one line that names the key.
class BadSettings : public std::runtime_error {
 public:
  enum class Kind { kAbsent, kNotANumber, kNotAWholeNumber, kOutOfRange, kUnknownWord };

  BadSettings(Kind kind, std::string key);

  Kind kind() const { return kind_; }
  const std::string& key() const { return key_; }

 private:
  Kind kind_;
  std::string key_;
};

// Parses the settings; throws BadSettings. Unknown keys are ignored. An absent optional key leaves the
// default of the field of Settings.
Settings ParseSettings(std::string_view text);

}  // namespace copperpoint::adapter

#endif  // COPPERPOINT_ADAPTER_SETTINGS_H_
