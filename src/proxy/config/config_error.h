// SPDX-License-Identifier: Apache-2.0
//
// The error for a configuration that cannot be used, with the location of the fault.
#ifndef COPPERPOINT_PROXY_CONFIG_CONFIG_ERROR_H_
#define COPPERPOINT_PROXY_CONFIG_CONFIG_ERROR_H_

#include <stdexcept>
#include <string>

namespace copperpoint::proxy {

// The location of a fault, as far as it is known.
struct ConfigLocation {
  std::string file = {};     // empty: unknown, or no file at all
  int line = 0, column = 0;  // from 1; 0: unknown
  std::string key = {};      // path of the field, as in "limits.sockets"; empty: the file itself
};

class ConfigError : public std::runtime_error {
 public:
  enum class Kind {
    kUnreadableFile,
    kSyntax,
    kMissing,    // a required key is absent
    kWrongType,  // a value has another type than its key
    kOutOfRange,
    kInvalid,  // a value of the right type cannot be used, such as a malformed address
  };

  // `message` is one line that names the key, without file and line; what() has those before it.
  ConfigError(Kind kind, ConfigLocation location, const std::string& message);

  // Returns a copy of this error with its file set.
  ConfigError InFile(const std::string& file) const;

  Kind kind() const { return kind_; }
  const ConfigLocation& location() const { return location_; }

 private:
  Kind kind_;
  ConfigLocation location_;
  std::string message_;
};

}  // namespace copperpoint::proxy

#endif  // COPPERPOINT_PROXY_CONFIG_CONFIG_ERROR_H_
