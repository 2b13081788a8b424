// SPDX-License-Identifier: Apache-2.0
//
// The keeper's processes, signals and lines, for the logic in supervisor.h.
#include <fcntl.h>
#include <fmt/format.h>
#include <linux/close_range.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/local/stream_protocol.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <cerrno>
#include <istream>
#include <map>
#include <memory>
#include <system_error>

#include "log/log.h"
#include "supervisor/settings.h"

extern char** environ;

namespace copperpoint::supervisor {
namespace {

namespace asio = boost::asio;
using Error = boost::system::error_code;
using Local = asio::local::stream_protocol;

struct Child {
  Child(asio::io_context& io, int descriptor) : socket(io, Local(), descriptor) {}
  pid_t pid = 0;
  Local::socket socket;
  asio::streambuf buffer{4096};
};

class Host {
 public:
  explicit Host(const Settings& settings)
      : settings_(settings),
        supervisor_(settings.limits, settings.first),
        timer_(io_),
        stop_signals_(io_, SIGTERM, SIGINT),
        child_signals_(io_, SIGCHLD),
        reload_signals_(io_, SIGHUP) {}

  int Run() {
    AwaitSignals();
    supervisor_.OnStart(Now());
    Carry();
    io_.run();
    return status_;
  }

 private:
  static Time Now() {
    return std::chrono::duration_cast<Time>(std::chrono::steady_clock::now().time_since_epoch());
  }

  void AwaitSignals() {
    stop_signals_.async_wait([this](const Error& failed, int) {
      if (failed) return;
      supervisor_.OnStopRequested(Now());
      Carry();
      AwaitEnds();
    });
    AwaitChildren();
    AwaitReloads();
  }
  void AwaitEnds() {
    stop_signals_.async_wait([this](const Error& failed, int signal) {
      if (failed) return;
      for (auto& [number, child] : children_) ::kill(child->pid, signal);
      AwaitEnds();
    });
  }
  void AwaitReloads() {
    reload_signals_.async_wait([this](const Error& failed, int) {
      if (failed) return;
      for (auto& [number, child] : children_) ::kill(child->pid, SIGHUP);
      AwaitReloads();
    });
  }
  void AwaitChildren() {
    child_signals_.async_wait([this](const Error& failed, int) {
      if (failed) return;
      int status = 0;
      for (pid_t pid; (pid = ::waitpid(-1, &status, WNOHANG)) > 0;) {
        for (auto at = children_.begin(); at != children_.end(); ++at) {
          if (at->second->pid != pid) continue;
          const int number = at->first;
          children_.erase(at);
          supervisor_.OnExited(Now(), number, WIFEXITED(status) && WEXITSTATUS(status) == 0);
          break;
        }
      }
      Carry();
      if (!over_) AwaitChildren();
    });
  }

  void Start(int number, const std::string& name) {
    const Version* version = settings_.Find(name);
    std::string why = version ? "" : "no version of this name";
    if (version && !version->digest.empty()) {
      try {
        if (DigestOf(*version) != version->digest) why = "its digest is another";
      } catch (const std::exception& error) {
        why = error.what();
      }
    }
    int pair[2] = {-1, -1};
    if (why.empty() && ::socketpair(AF_UNIX, SOCK_STREAM, 0, pair) != 0) why = "no socket for it";
    if (!why.empty()) {
      log::Global().Error("keep_cannot_begin", {{"version", name}, {"why", why}});
      asio::post(io_, [this, number] {
        supervisor_.OnExited(Now(), number, false);
        Carry();
      });
      return;
    }
    std::map<std::string, std::string> more{{"COPPERPOINT_KEEPER", std::to_string(pair[1])},
                                            {"COPPERPOINT_VERSION", name},
                                            {"COPPERPOINT_MARK", fmt::format("{:x}", supervisor_.progress())},
                                            {"COPPERPOINT_ENDS", std::to_string(supervisor_.exits())},
                                            {"COPPERPOINT_FAILED", supervisor_.failed_version()},
                                            {"COPPERPOINT_FAILURE", supervisor_.failure()}};
    if (!settings_.operators.empty())
      more["ROUTER_OPERATOR"] =
          settings_.operators[static_cast<std::size_t>(number) % settings_.operators.size()];
    std::vector<std::string> variables;
    for (char** one = environ; *one; ++one) {
      const std::string text = *one;
      if (!more.contains(text.substr(0, text.find('=')))) variables.push_back(text);
    }
    for (const auto& [key, value] : more) variables.push_back(key + "=" + value);
    std::vector<char*> envp, argv;
    for (std::string& one : variables) envp.push_back(one.data());
    envp.push_back(nullptr);
    std::vector<std::string> words{version->program, "serve"};
    if (!version->settings.empty()) words.insert(words.end(), {"--config", version->settings});
    for (std::string& one : words) argv.push_back(one.data());
    argv.push_back(nullptr);
    const pid_t keeper = ::getpid();
    const pid_t pid = ::fork();
    if (pid == 0) {
      // It ends with the keeper, however that ends; and must not hold the keeper's other descriptors.
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      if (::getppid() != keeper) ::_exit(126);
      sigset_t none;
      sigemptyset(&none);
      ::sigprocmask(SIG_SETMASK, &none, nullptr);
      for (const int signal : {SIGTERM, SIGINT, SIGHUP, SIGCHLD}) ::signal(signal, SIG_DFL);
      ::close_range(3, ~0u, CLOSE_RANGE_CLOEXEC);
      ::fcntl(pair[1], F_SETFD, 0);
      ::execve(argv[0], argv.data(), envp.data());
      ::_exit(127);
    }
    ::close(pair[1]);
    if (pid < 0) throw std::system_error(errno, std::generic_category(), "fork");
    auto child = std::make_shared<Child>(io_, pair[0]);
    child->pid = pid;
    children_[number] = child;
    log::Global().Info("keep_began", {{"version", name}, {"pid", pid}});
    Read(number, child);
  }

  void Read(int number, const std::shared_ptr<Child>& child) {
    asio::async_read_until(child->socket, child->buffer, '\n',
                           [this, number, child](const Error& failed, std::size_t) {
                             if (failed) return;
                             std::istream in(&child->buffer);
                             std::string line;
                             std::getline(in, line);
                             OnLine(number, line);
                             Read(number, child);
                           });
  }

  void OnLine(int number, const std::string& line) {
    const std::size_t space = line.find(' ');
    const std::string what = line.substr(0, space),
                      rest = space == std::string::npos ? "" : line.substr(space + 1);
    if (what == "ready") supervisor_.OnReady(Now(), number);
    if (what == "heard") supervisor_.OnMembershipContact(Now(), number);
    if (what == "run") supervisor_.OnVersionRequested(Now(), number, rest);
    if (what == "mark") supervisor_.OnProgress(number, std::strtoull(rest.c_str(), nullptr, 16));
    Carry();
  }

  void Carry() {
    Supervisor::Output output = supervisor_.Take();
    for (const auto& [name, text] : output.events) log::Global().Info(name, {{"version", text}});
    for (const auto& [number, in_order] : output.stop)
      if (const auto found = children_.find(number); found != children_.end())
        ::kill(found->second->pid, in_order ? SIGTERM : SIGKILL);
    for (const auto& [number, line] : output.lines)
      if (const auto found = children_.find(number); found != children_.end()) {
        Error ignored;
        asio::write(found->second->socket, asio::buffer(line + "\n"), ignored);
      }
    for (const auto& begin : output.start) Start(begin.process, begin.version);
    if (output.finished) {
      over_ = true;
      status_ = output.exit_status;
      io_.stop();
      return;
    }
    timer_.cancel();
    if (const auto next = supervisor_.next_tick_at()) {
      timer_.expires_at(std::chrono::steady_clock::time_point(*next));
      timer_.async_wait([this](const Error& cancelled) {
        if (cancelled) return;
        supervisor_.OnTick(Now());
        Carry();
      });
    }
  }

  const Settings& settings_;
  asio::io_context io_;
  Supervisor supervisor_;
  asio::steady_timer timer_;
  asio::signal_set stop_signals_, child_signals_, reload_signals_;
  std::map<int, std::shared_ptr<Child>> children_;
  bool over_ = false;
  int status_ = 0;
};

}  // namespace

int RunSupervisor(const Settings& settings) { return Host(settings).Run(); }

}  // namespace copperpoint::supervisor
