// SPDX-License-Identifier: Apache-2.0
//
// Runs the proxy program as a child process, with a given environment, signals and captured standard error.
#ifndef COPPERPOINT_TESTS_SUPPORT_CHILD_PROCESS_H_
#define COPPERPOINT_TESTS_SUPPORT_CHILD_PROCESS_H_

#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <stdlib.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <exception>
#include <filesystem>
#include <fstream>
#include <map>
#include <stdexcept>
#include <string>
#include <system_error>
#include <thread>
#include <utility>
#include <vector>

#include "support/loopback.h"

namespace copperpoint::testing {

// The proxy program as a child process. Its standard error is a pipe that the test reads.
class ProxyProcess {
 public:
  // Limits the child's file descriptors to `descriptors`; 0 leaves the limit unchanged. Throws
  // std::system_error if the program cannot be executed.
  explicit ProxyProcess(const std::map<std::string, std::string>& env, rlim_t descriptors = 0,
                        const std::string& operators_file = "") {
    const char* program = descriptors > 0 ? LIMITED_PROXY_PATH : PROXY_PATH;
    int pipe_ends[2], exec_error[2];
    if (pipe(pipe_ends) != 0 || pipe2(exec_error, O_CLOEXEC) != 0)
      throw std::runtime_error("pipe for the child process could not be created");
    pid_ = fork();
    if (pid_ == 0) {
      dup2(pipe_ends[1], STDERR_FILENO);
      close(pipe_ends[0]);
      close(pipe_ends[1]);
      unsetenv("TMPDIR");  // in a shared directory, it would take over from another test's process
      for (const auto& [name, value] : env) setenv(name.c_str(), value.c_str(), 1);
      const rlimit limit{descriptors, descriptors + LIMITED_PROXY_RESERVE};
      if (descriptors > 0) setrlimit(RLIMIT_NOFILE, &limit);
      execl(program, program, "serve", operators_file.empty() ? nullptr : "--config", operators_file.c_str(),
            nullptr);
      const int error = errno;
      _exit(write(exec_error[1], &error, sizeof error) == sizeof error ? 127 : 126);
    }
    close(pipe_ends[1]);
    close(exec_error[1]);
    stderr_ = pipe_ends[0];
    int error = 0;
    const bool executed = read(exec_error[0], &error, sizeof error) <= 0;
    close(exec_error[0]);
    if (executed) return;
    Wait();
    close(stderr_);
    throw std::system_error(error, std::generic_category(), program);
  }
  ~ProxyProcess() {
    if (pid_ > 0) kill(pid_, SIGKILL), Wait();
    close(stderr_);
  }
  void Signal(int signal) { kill(pid_, signal); }
  // @return the exit status, or 1000 plus the number of the signal that ended the process.
  int Wait() {
    int status = 0;
    waitpid(std::exchange(pid_, -1), &status, 0);
    return WIFEXITED(status) ? WEXITSTATUS(status) : 1000 + WTERMSIG(status);
  }
  std::string ReadStderrLine() {
    std::string line;
    for (char c; (line.empty() || line.back() != '\n') && read(stderr_, &c, 1) == 1;) line += c;
    return line;
  }
  std::string ReadStderr() {
    std::string text;
    char piece[4096];
    for (ssize_t n; (n = read(stderr_, piece, sizeof piece)) > 0;)
      text.append(piece, static_cast<std::size_t>(n));
    return text;
  }

 private:
  pid_t pid_ = -1;
  int stderr_ = -1;
};

// A configuration file that is removed when this object is destroyed.
class ConfigFile {
 public:
  explicit ConfigFile(const std::string& text) {
    char name[] = "/tmp/copperpoint-test-XXXXXX";
    close(mkstemp(name));
    path = name;
    std::ofstream(path) << text;
  }
  ~ConfigFile() { std::filesystem::remove(path); }
  std::string path;
};

// Reserves a port for a child process to listen at, until the test process ends: a socket is bound to it and
// does not listen. No other socket is assigned the port, and SO_REUSEADDR lets the child listen at it.
inline Tcp::endpoint ReservePort() {
  static asio::io_context io;
  static std::vector<Tcp::socket> reserved;
  Tcp::socket& socket = reserved.emplace_back(io, Tcp::v4());
  fcntl(socket.native_handle(), F_SETFD, FD_CLOEXEC);  // keeps the child's descriptor count unchanged
  socket.set_option(Tcp::socket::reuse_address(true));
  socket.bind(kAnyPort);
  return socket.local_endpoint();
}

// @return the status of `GET /ready`, or 0 if no connection could be established.
inline unsigned ReadyStatus(const Tcp::endpoint& address) {
  try {
    Client client(address);
    return client.SendAndRead("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n").result_int();
  } catch (const std::exception&) {
    return 0;
  }
}
inline bool WaitUntilReady(const Tcp::endpoint& address) {
  const auto until = std::chrono::steady_clock::now() + kWaitTimeout;
  while (ReadyStatus(address) != 200) {
    if (std::chrono::steady_clock::now() > until) return false;
    std::this_thread::yield();
  }
  return true;
}

// Replaces the contents atomically, by renaming a complete file over the old one.
inline void ReplaceFile(const ConfigFile& file, const std::string& text) {
  std::ofstream(file.path + ".new") << text;
  std::filesystem::rename(file.path + ".new", file.path);
}

}  // namespace copperpoint::testing

#endif  // COPPERPOINT_TESTS_SUPPORT_CHILD_PROCESS_H_
