// SPDX-License-Identifier: Apache-2.0
//
// One process of a supervisor, with the socket between them.
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

// Both ends of a new socket; closes what was not released.
class SocketPair {
 public:
  // Throws std::system_error.
  SocketPair();
  ~SocketPair();
  SocketPair(const SocketPair&) = delete;
  SocketPair& operator=(const SocketPair&) = delete;

  int child_end() const { return descriptors_[1]; }
  int ReleaseOwnEnd();
  void CloseChildEnd();

 private:
  int descriptors_[2] = {-1, -1};
};

// Owns the supervisor's end of the socket. The process itself is waited for by its owner (SIGCHLD).
class ChildProcess : public std::enable_shared_from_this<ChildProcess> {
 public:
  using OnLine = std::function<void(const std::string& line)>;  // without its end

  // Starts `command` (a path and its arguments) with the supervisor's environment and `variables` over it.
  // It is killed when the supervisor exits, and inherits no descriptor above 2 but its end of the socket.
  // Throws std::system_error.
  static std::shared_ptr<ChildProcess> Start(boost::asio::io_context& io, SocketPair& sockets,
                                             std::vector<std::string> command,
                                             const std::map<std::string, std::string>& variables);

  pid_t pid() const { return pid_; }
  void Kill(int signal) const;
  // Errors are ignored: the process has exited, and its exit is handled.
  void SendLine(const std::string& line);
  // Until the process closes its end.
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
