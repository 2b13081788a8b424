// SPDX-License-Identifier: Apache-2.0
//
// A child process of a supervisor, and the socket between the two.
#ifndef COPPERPOINT_SUPERVISOR_CHILD_PROCESS_H_
#define COPPERPOINT_SUPERVISOR_CHILD_PROCESS_H_

#include <sys/types.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/local/stream_protocol.hpp>
#include <boost/asio/streambuf.hpp>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace copperpoint::supervisor {

// Owns both ends of a new Unix domain socket, and closes those that were not released.
class SocketPair {
 public:
  // Throws std::system_error if the socket cannot be created.
  SocketPair();
  ~SocketPair();
  SocketPair(const SocketPair&) = delete;
  SocketPair& operator=(const SocketPair&) = delete;

  int child_end() const { return descriptors_[1]; }
  int ReleaseOwnEnd();  // Transfers the supervisor's end to the caller.
  void CloseChildEnd();

 private:
  int descriptors_[2] = {-1, -1};
};

// Owns the supervisor's end of the socket. Reaping the process (SIGCHLD, waitpid) is left to the caller.
class ChildProcess : public std::enable_shared_from_this<ChildProcess> {
 public:
  using OnLine = std::function<void(const std::string& line)>;  // `line` has no newline.

  // Starts `command` (a path and its arguments) with the supervisor's environment, in which `variables`
  // replace those of the same name. The process is killed when the supervisor exits, and inherits no
  // descriptor above 2 except its end of the socket. Throws std::system_error if the fork fails.
  static std::shared_ptr<ChildProcess> Start(boost::asio::io_context& io, SocketPair& sockets,
                                             std::vector<std::string> command,
                                             const std::map<std::string, std::string>& variables);

  pid_t pid() const { return pid_; }
  void Kill(int signal) const;
  // Sends `line` and a newline. Errors are ignored: they mean that the process has exited, which is handled
  // as such.
  void SendLine(const std::string& line);
  // Calls `on_line` for each line that the process sends, until it closes its end of the socket.
  void ReadLines(OnLine on_line);

  ChildProcess(boost::asio::io_context& io, int descriptor, pid_t pid);

 private:
  static constexpr std::size_t kMaxLineBytes = 4096;

  void ReadNextLine();

  boost::asio::local::stream_protocol::socket socket_;
  boost::asio::streambuf buffer_{kMaxLineBytes};
  const pid_t pid_;
  OnLine on_line_;
};

}  // namespace copperpoint::supervisor

#endif  // COPPERPOINT_SUPERVISOR_CHILD_PROCESS_H_
