// SPDX-License-Identifier: Apache-2.0
#include "supervisor/child_process.h"

#include <fcntl.h>
#include <linux/close_range.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <cerrno>
#include <istream>
#include <system_error>
#include <utility>

extern char** environ;

namespace copperpoint::supervisor {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;

// The exit statuses of a child that could not run its program.
constexpr int kExitSupervisorExited = 126, kExitNotStarted = 127;
constexpr int kFirstInheritedDescriptor = 3;

// Returns this process's environment, in which `variables` replace those of the same name.
std::vector<std::string> EnvironmentWith(const std::map<std::string, std::string>& variables) {
  std::vector<std::string> environment;
  for (char** variable = environ; *variable; ++variable) {
    std::string text = *variable;
    if (!variables.contains(text.substr(0, text.find('=')))) environment.push_back(std::move(text));
  }
  for (const auto& [name, value] : variables)
    environment.push_back(std::string(name).append("=").append(value));
  return environment;
}

// Returns a null-terminated array for execve, which points into `texts`.
std::vector<char*> PointersTo(std::vector<std::string>& texts) {
  std::vector<char*> pointers;
  pointers.reserve(texts.size() + 1);
  for (std::string& text : texts) pointers.push_back(text.data());
  pointers.push_back(nullptr);
  return pointers;
}

// Runs in the child between fork and exec, where only async-signal-safe functions may be called.
[[noreturn]] void Execute(pid_t supervisor, int child_end, char* const* command, char* const* environment) {
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (::getppid() != supervisor) ::_exit(kExitSupervisorExited);
  sigset_t none;
  sigemptyset(&none);
  ::sigprocmask(SIG_SETMASK, &none, nullptr);
  for (const int signal : {SIGTERM, SIGINT, SIGHUP, SIGCHLD}) ::signal(signal, SIG_DFL);
  ::close_range(kFirstInheritedDescriptor, ~0u, CLOSE_RANGE_CLOEXEC);
  ::fcntl(child_end, F_SETFD, 0);
  ::execve(command[0], command, environment);
  ::_exit(kExitNotStarted);
}

}  // namespace

SocketPair::SocketPair() {
  if (::socketpair(AF_UNIX, SOCK_STREAM, 0, descriptors_) != 0)
    throw std::system_error(errno, std::generic_category(), "socketpair");
}

SocketPair::~SocketPair() {
  for (const int descriptor : descriptors_)
    if (descriptor >= 0) ::close(descriptor);
}

int SocketPair::ReleaseOwnEnd() { return std::exchange(descriptors_[0], -1); }

void SocketPair::CloseChildEnd() { ::close(std::exchange(descriptors_[1], -1)); }

ChildProcess::ChildProcess(asio::io_context& io, int descriptor, pid_t pid)
    : socket_(io, asio::local::stream_protocol(), descriptor), pid_(pid) {}

std::shared_ptr<ChildProcess> ChildProcess::Start(asio::io_context& io, SocketPair& sockets,
                                                  std::vector<std::string> command,
                                                  const std::map<std::string, std::string>& variables) {
  std::vector<std::string> environment = EnvironmentWith(variables);
  const std::vector<char*> command_pointers = PointersTo(command);
  const std::vector<char*> environment_pointers = PointersTo(environment);
  const pid_t supervisor = ::getpid();
  const pid_t pid = ::fork();
  if (pid == 0)
    Execute(supervisor, sockets.child_end(), command_pointers.data(), environment_pointers.data());
  if (pid < 0) throw std::system_error(errno, std::generic_category(), "fork");
  sockets.CloseChildEnd();
  return std::make_shared<ChildProcess>(io, sockets.ReleaseOwnEnd(), pid);
}

void ChildProcess::Kill(int signal) const { ::kill(pid_, signal); }

void ChildProcess::SendLine(const std::string& line) {
  error_code ignored;
  asio::write(socket_, asio::buffer(line + "\n"), ignored);
}

void ChildProcess::ReadLines(OnLine on_line) {
  on_line_ = std::move(on_line);
  ReadNextLine();
}

void ChildProcess::ReadNextLine() {
  asio::async_read_until(socket_, buffer_, '\n',
                         [self = shared_from_this()](const error_code& failed, std::size_t) {
                           if (failed) return;
                           std::istream in(&self->buffer_);
                           std::string line;
                           std::getline(in, line);
                           self->on_line_(line);
                           self->ReadNextLine();
                         });
}

}  // namespace copperpoint::supervisor
