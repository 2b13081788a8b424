// SPDX-License-Identifier: Apache-2.0
//
// Reads TOML 1.0 (toml.io) into a described struct and finds every fault of the file at once.
#ifndef COPPERPOINT_CONFIG_READ_H_
#define COPPERPOINT_CONFIG_READ_H_

#include <functional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "config/schema.h"

namespace copperpoint::config {

// Lines and columns count from 1; 0 where the fault is in no one place.
struct Fault {
  int line = 0, column = 0;
  std::string key;   // dotted, as in "patience.kept_ms"; empty for a fault of the syntax
  std::string what;  // without a place
};

// "FILE:LINE:COLUMN: KEY: WHAT", one line.
std::string Describe(const std::string& file, const Fault& fault);

// All faults of one file, in the order of their lines; what() has one line for each.
class BadFile : public std::runtime_error {
 public:
  BadFile(const std::string& file, std::vector<Fault> faults);
  const std::vector<Fault>& faults() const { return faults_; }

 private:
  std::vector<Fault> faults_;
};

// All of a file. Throws BadFile if it can't be read.
std::string Contents(const std::string& file);

// Passes a reading visitor to `describe`. Throws BadFile on unknown keys, wrong types, values out of range
// and whatever the struct checks itself; the struct is then half filled and must be dropped.
void ReadText(std::string_view text, const std::string& file, const std::function<void(Visitor&)>& describe);

// The same of a file.
void ReadFile(const std::string& file, const std::function<void(Visitor&)>& describe);

template <typename Struct>
Struct Read(const std::string& file) {
  Struct read;
  ReadFile(file, [&](Visitor& v) { read.Describe(v); });
  return read;
}
template <typename Struct>
Struct ReadFrom(std::string_view text, const std::string& file) {
  Struct read;
  ReadText(text, file, [&](Visitor& v) { read.Describe(v); });
  return read;
}

}  // namespace copperpoint::config

#endif  // COPPERPOINT_CONFIG_READ_H_
