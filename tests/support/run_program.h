// SPDX-License-Identifier: Apache-2.0
//
// Runs a program until it exits and captures its output.
#ifndef COPPERPOINT_TESTS_SUPPORT_RUN_PROGRAM_H_
#define COPPERPOINT_TESTS_SUPPORT_RUN_PROGRAM_H_

#include <stdlib.h>
#include <sys/wait.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>

namespace copperpoint::testing_support {

// A directory that is removed, with its contents, when this object is destroyed.
class TemporaryFolder {
 public:
  TemporaryFolder() {
    std::string pattern = (std::filesystem::temp_directory_path() / "copperpoint-XXXXXX").string();
    path_ = ::mkdtemp(pattern.data());
  }
  ~TemporaryFolder() { std::filesystem::remove_all(path_); }
  std::string operator/(const std::string& name) const { return path_ + "/" + name; }
  std::string Write(const std::string& name, const std::string& text) const {
    std::ofstream(*this / name) << text;
    return *this / name;
  }

 private:
  std::string path_;
};

// @return the contents of the file; empty if it cannot be opened.
inline std::string ReadFile(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  return {std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
}

// The result of a program that has exited.
struct Finished {
  int code = -1;  // exit status; -1 if a signal ended the program
  std::string out, err;
};

// Runs `program` with `arguments`, which a shell splits, and with standard input from /dev/null.
inline Finished RunProgram(const std::string& program, const std::string& arguments) {
  const TemporaryFolder folder;
  const std::string command = "'" + program + "' " + arguments + " >'" + (folder / "out") + "' 2>'" +
                              (folder / "err") + "' </dev/null";
  const int status = std::system(command.c_str());
  return {WIFEXITED(status) ? WEXITSTATUS(status) : -1, ReadFile(folder / "out"), ReadFile(folder / "err")};
}

}  // namespace copperpoint::testing_support

#endif  // COPPERPOINT_TESTS_SUPPORT_RUN_PROGRAM_H_
