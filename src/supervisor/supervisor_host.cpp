// SPDX-License-Identifier: Apache-2.0
#include "supervisor/supervisor_host.h"

#include <signal.h>
#include <sys/wait.h>

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <system_error>
#include <utility>
#include <vector>

#include "log/log.h"
#include "supervisor/child_process.h"
#include "supervisor/child_protocol.h"
#include "supervisor/supervisor.h"

namespace copperpoint::supervisor {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;

enum class StartError { kUnknownVersion, kDigestMismatch, kUnreadable, kNoSocket };
struct StartFailure {
  StartError error;
  std::string text;  // The message for the log.
};

// Checks that the version is known and that its files have the digest in the settings. Returns nothing if so.
std::optional<StartFailure> CheckVersion(const Version* version) {
  if (!version)
    return StartFailure{StartError::kUnknownVersion,
                        "the supervisor's settings have no [[version]] of this name"};
  if (version->digest.empty()) return std::nullopt;
  try {
    const std::string digest = DigestOf(*version);
    if (digest == version->digest) return std::nullopt;
    return StartFailure{StartError::kDigestMismatch,
                        "the digest of program and settings is " + digest + ", expected " + version->digest};
  } catch (const std::exception& error) {
    return StartFailure{StartError::kUnreadable, error.what()};
  }
}

// Returns null if the socket cannot be created.
std::unique_ptr<SocketPair> MakeSocketPair() {
  try {
    return std::make_unique<SocketPair>();
  } catch (const std::system_error&) {
    return nullptr;
  }
}

std::vector<std::string> CommandOf(const Version& version) {
  std::vector<std::string> command{version.program, "serve"};
  if (!version.settings.empty()) command.insert(command.end(), {"--config", version.settings});
  return command;
}

// Owns the event loop, the child processes and the signal handlers. `settings` must outlive it.
class SupervisorHost {
 public:
  explicit SupervisorHost(const Settings& settings)
      : settings_(settings),
        supervisor_(settings.limits, settings.first),
        timer_(io_),
        stop_signals_(io_, SIGTERM, SIGINT),
        child_signals_(io_, SIGCHLD),
        reload_signals_(io_, SIGHUP) {}

  int Run() {
    WaitForStopSignal();
    WaitForChildSignal();
    WaitForReloadSignal();
    supervisor_.OnStart(Now());
    CarryOut();
    io_.run();
    return exit_status_;
  }

 private:
  using Process = Supervisor::Process;

  static Time Now() {
    return std::chrono::duration_cast<Time>(std::chrono::steady_clock::now().time_since_epoch());
  }

  // The first signal shuts the supervisor down; later ones are forwarded to the processes.
  void WaitForStopSignal() {
    stop_signals_.async_wait([this](const error_code& failed, int) {
      if (failed) return;
      supervisor_.OnStopRequested();
      CarryOut();
      PassOnSignals(stop_signals_);
    });
  }
  void WaitForReloadSignal() { PassOnSignals(reload_signals_); }
  void PassOnSignals(asio::signal_set& signals) {
    signals.async_wait([this, &signals](const error_code& failed, int signal) {
      if (failed) return;
      for (const auto& [process, child] : children_) child->Kill(signal);
      PassOnSignals(signals);
    });
  }
  void WaitForChildSignal() {
    child_signals_.async_wait([this](const error_code& failed, int) {
      if (failed) return;
      ReapChildren();
      CarryOut();
      if (!finished_) WaitForChildSignal();
    });
  }

  void ReapChildren() {
    int status = 0;
    for (pid_t pid = 0; (pid = ::waitpid(-1, &status, WNOHANG)) > 0;) {
      const auto child = std::find_if(children_.begin(), children_.end(),
                                      [&](const auto& entry) { return entry.second->pid() == pid; });
      if (child == children_.end()) continue;
      const Process process = child->first;
      children_.erase(child);
      supervisor_.OnExited(Now(), process, WIFEXITED(status) && WEXITSTATUS(status) == 0);
    }
  }

  void Start(Process process, const std::string& name) {
    const Version* version = settings_.Find(name);
    std::optional<StartFailure> failure = CheckVersion(version);
    const std::unique_ptr<SocketPair> sockets = failure ? nullptr : MakeSocketPair();
    if (!failure && !sockets)
      failure = StartFailure{StartError::kNoSocket, "cannot create the socket to the process"};
    if (failure) return OnStartFailed(process, name, *failure);
    auto child = ChildProcess::Start(io_, *sockets, CommandOf(*version),
                                     EncodeEnvironment(StartInfoFor(process, name, sockets->child_end())));
    children_[process] = child;
    log::Global().Info("keep_began", {{"version", name}, {"pid", child->pid()}});
    child->ReadLines([this, process](const std::string& line) { OnLine(process, line); });
  }

  void OnStartFailed(Process process, const std::string& name, const StartFailure& failure) {
    log::Global().Error("keep_cannot_begin", {{"version", name}, {"why", failure.text}});
    asio::post(io_, [this, process] {
      supervisor_.OnExited(Now(), process, /*success=*/false);
      CarryOut();
    });
  }

  // Processes take the admin addresses in turn, as two processes run at the same time in a rollout.
  ChildStartInfo StartInfoFor(Process process, const std::string& version, int descriptor) const {
    ChildStartInfo info{descriptor,
                        version,
                        supervisor_.progress(),
                        supervisor_.exits(),
                        supervisor_.failed_version(),
                        supervisor_.failure(),
                        ""};
    const std::vector<std::string>& addresses = settings_.admin_addresses;
    if (!addresses.empty())
      info.admin_address = addresses[static_cast<std::size_t>(process) % addresses.size()];
    return info;
  }

  void OnLine(Process process, const std::string& line) {
    if (const auto message = DecodeChildMessage(line)) OnMessage(process, *message);
    CarryOut();
  }

  void OnMessage(Process process, const ChildMessage& message) {
    switch (message.kind) {
      case ChildMessage::Kind::kReady:
        return supervisor_.OnReady(Now(), process);
      case ChildMessage::Kind::kMembershipContact:
        return supervisor_.OnMembershipContact(process);
      case ChildMessage::Kind::kVersionRequested:
        return supervisor_.OnVersionRequested(Now(), process, message.version);
      case ChildMessage::Kind::kProgress:
        return supervisor_.OnProgress(process, message.progress);
    }
  }

  // Carries out the supervisor's decisions, and waits for its next deadline.
  void CarryOut() {
    const Supervisor::Output output = supervisor_.TakeOutput();
    for (const Event& event : output.events)
      log::Global().Info(NameOf(event.kind), {{"version", event.version}});
    for (const auto& stop : output.stops)
      if (const auto child = children_.find(stop.process); child != children_.end())
        child->second->Kill(stop.mode == Supervisor::StopMode::kGraceful ? SIGTERM : SIGKILL);
    for (const auto& notice : output.failure_notices)
      if (const auto child = children_.find(notice.process); child != children_.end())
        child->second->SendLine(EncodeFailureNotice(notice.version, notice.failure));
    for (const auto& start : output.starts) Start(start.process, start.version);
    if (output.finished) {
      finished_ = true;
      exit_status_ = output.exit_status;
      io_.stop();
      return;
    }
    WaitForDeadline();
  }

  void WaitForDeadline() {
    timer_.cancel();
    const std::optional<Time> next = supervisor_.next_tick_at();
    if (!next) return;
    timer_.expires_at(std::chrono::steady_clock::time_point(*next));
    timer_.async_wait([this](const error_code& cancelled) {
      if (cancelled) return;
      supervisor_.OnTick(Now());
      CarryOut();
    });
  }

  const Settings& settings_;
  asio::io_context io_;
  Supervisor supervisor_;
  asio::steady_timer timer_;
  asio::signal_set stop_signals_, child_signals_, reload_signals_;
  std::map<Process, std::shared_ptr<ChildProcess>> children_;
  bool finished_ = false;
  int exit_status_ = 0;
};

}  // namespace

int RunSupervisor(const Settings& settings) { return SupervisorHost(settings).Run(); }

}  // namespace copperpoint::supervisor
