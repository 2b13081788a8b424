// SPDX-License-Identifier: Apache-2.0
//
// One `copperpoint serve` as a child of the rig: its start, its signals, the lines of its log. It ends with
// the rig, however that ends.
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
  using OnEnd = std::function<void(int status)>;  // the exit status, or 1000 and the signal that ended it

  // Starts `program` with the environment of this process and `more` of it. Throws std::system_error. Called
  // from the main thread alone: the child ends with the thread that started it.
  Child(boost::asio::io_context& io, const std::string& program, const std::vector<std::string>& arguments,
        const std::map<std::string, std::string>& extra_environment, OnLine on_line, OnEnd on_end);
  ~Child();  // ends it with SIGKILL if it still runs, and waits for it
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
