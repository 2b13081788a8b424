// SPDX-License-Identifier: Apache-2.0
//
// A file that is removed when its object is destroyed.
#ifndef COPPERPOINT_TESTS_SUPPORT_TEMPORARY_FILE_H_
#define COPPERPOINT_TESTS_SUPPORT_TEMPORARY_FILE_H_

#include <stdlib.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <string>

namespace copperpoint::testing {

class TemporaryFile {
 public:
  explicit TemporaryFile(const std::string& text) {
    char name[] = "/tmp/copperpoint-test-XXXXXX";
    ::close(::mkstemp(name));
    path_ = name;
    std::ofstream(path_) << text;
  }
  ~TemporaryFile() { std::filesystem::remove(path_); }
  TemporaryFile(const TemporaryFile&) = delete;
  TemporaryFile& operator=(const TemporaryFile&) = delete;

  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

}  // namespace copperpoint::testing

#endif  // COPPERPOINT_TESTS_SUPPORT_TEMPORARY_FILE_H_
