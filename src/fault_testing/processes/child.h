// SPDX-License-Identifier: Apache-2.0
//
// A child process of the rig, `copperpoint serve` or `copperpoint supervise`: starts it, sends it signals and
// reads its log lines. The child is killed when the rig ends for any reason.
#ifndef COPPERPOINT_FAULT_TESTING_PROCESSES_CHILD_H_
#define COPPERPOINT_FAULT_TESTING_PROCESSES_CHILD_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace copperpoint::fault_testing {

class Child {
 public:
  using OnLine = std::function<void(const std::string& line)>;
  using OnEnd = std::function<void(int status)>;  // the exit status, or 1000 plus the terminating signal

  // Starts `program` with the environment of this process and `extra_environment`. Throws std::system_error.
  // Must be called from the main thread: the kernel kills the child when the thread that started it ends.
  Child(boost::asio::io_context& io, const std::string& program, const std::vector<std::string>& arguments,
        const std::map<std::string, std::string>& extra_environment, OnLine on_line, OnEnd on_end);
  ~Child();  // kills the child if it still runs, and waits for it
  Child(const Child&) = delete;
  Child& operator=(const Child&) = delete;

  void Signal(int signal);
  bool running() const;
  int pid() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace copperpoint::fault_testing

#endif  // COPPERPOINT_FAULT_TESTING_PROCESSES_CHILD_H_
