// SPDX-License-Identifier: Apache-2.0
//
// Reads the path=value settings of the simulator's wire.
#ifndef COPPERPOINT_ADAPTER_SETTINGS_H_
#define COPPERPOINT_ADAPTER_SETTINGS_H_

#include <stdexcept>
#include <string>
#include <string_view>

#include "copperpoint/balancer.h"

namespace copperpoint::adapter {

// A required key is absent, or its value cannot be used; what() is one line that names the key.
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

// Unknown keys are ignored; an absent optional key has its documented meaning.
Settings ParseSettings(std::string_view text);

}  // namespace copperpoint::adapter

#endif  // COPPERPOINT_ADAPTER_SETTINGS_H_
