// SPDX-License-Identifier: Apache-2.0
//
// Reads TOML 1.0 (toml.io) into a struct that describes its keys, and reports all errors of a file at once.
#ifndef COPPERPOINT_CONFIG_READ_H_
#define COPPERPOINT_CONFIG_READ_H_

#include <functional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "config/schema.h"

namespace copperpoint::config {

// An error in a file. Lines and columns count from 1; both are 0 if the error has no position.
struct Diagnostic {
  int line = 0, column = 0;
  std::string key;      // dotted, as in "patience.kept_ms"; empty for a syntax error
  std::string message;  // without file, position and key
};

// "FILE:LINE:COLUMN: KEY: MESSAGE", one line.
std::string Describe(const std::string& file, const Diagnostic& diagnostic);

// Holds all errors of one file, in the order of their lines; what() has one line for each.
class InvalidFile : public std::runtime_error {
 public:
  InvalidFile(const std::string& file, std::vector<Diagnostic> diagnostics);
  const std::vector<Diagnostic>& diagnostics() const { return diagnostics_; }

 private:
  std::vector<Diagnostic> diagnostics_;
};

// Returns the contents of `file`. Throws InvalidFile if it can't be read.
std::string ReadFileContents(const std::string& file);

// Parses `text` and passes `describe` a visitor that assigns the values. Throws InvalidFile on unknown keys,
// wrong types, values out of range and unmet Require() conditions; the struct must then be discarded.
void ParseText(std::string_view text, const std::string& file,
               const std::function<void(FieldVisitor&)>& describe);

// As ParseText, on the contents of `file`. LoadFile and LoadText return a `Struct` read by its Describe().
void ParseFile(const std::string& file, const std::function<void(FieldVisitor&)>& describe);

template <typename Struct>
Struct LoadFile(const std::string& file) {
  Struct read;
  ParseFile(file, [&](FieldVisitor& v) { read.Describe(v); });
  return read;
}
template <typename Struct>
Struct LoadText(std::string_view text, const std::string& file) {
  Struct read;
  ParseText(text, file, [&](FieldVisitor& v) { read.Describe(v); });
  return read;
}

}  // namespace copperpoint::config

#endif  // COPPERPOINT_CONFIG_READ_H_
