// SPDX-License-Identifier: Apache-2.0
//
// Reads TOML 1.0 (toml.io) into a described struct and finds every diagnostic of the file at once.
#ifndef COPPERPOINT_CONFIG_READ_H_
#define COPPERPOINT_CONFIG_READ_H_

#include <functional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "config/schema.h"

namespace copperpoint::config {

// An error of a file. Lines and columns count from 1; 0 where it has no one place.
struct Diagnostic {
  int line = 0, column = 0;
  std::string key;      // dotted, as in "patience.kept_ms"; empty for a syntax error
  std::string message;  // without a place
};

// "FILE:LINE:COLUMN: KEY: MESSAGE", one line.
std::string Describe(const std::string& file, const Diagnostic& diagnostic);

// All errors of one file, in the order of their lines; what() has one line for each.
class InvalidFile : public std::runtime_error {
 public:
  InvalidFile(const std::string& file, std::vector<Diagnostic> diagnostics);
  const std::vector<Diagnostic>& diagnostics() const { return diagnostics_; }

 private:
  std::vector<Diagnostic> diagnostics_;
};

// All of a file. Throws InvalidFile if it can't be read.
std::string ReadFileContents(const std::string& file);

// Passes a reading visitor to `describe`. Throws InvalidFile on unknown keys, wrong types, values out of
// range and what the struct requires itself; the struct is then incomplete and must be discarded.
void ParseText(std::string_view text, const std::string& file,
               const std::function<void(FieldVisitor&)>& describe);

// The same of a file.
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
