// SPDX-License-Identifier: Apache-2.0
//
// Decides which processes a supervisor runs (docs/rollout.md): one `serve` process, restarted with backoff
// when it exits by itself, and replaced by one of another version on request. Without I/O and without a
// clock: events come in with each call, and what is to be done is taken with TakeOutput.
#ifndef COPPERPOINT_SUPERVISOR_SUPERVISOR_H_
#define COPPERPOINT_SUPERVISOR_SUPERVISOR_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace copperpoint::supervisor {

// Since an origin of the host's own.
using Time = std::chrono::milliseconds;

struct Limits {
  Time ready_timeout{15000};    // from a process's start until it is ready
  Time contact_timeout{20000};  // from then on, until a new version has membership contact; 0: no limit
  Time initial_backoff{200};    // before a restart; doubled each time
  Time max_backoff{10000};
  Time stable_after{60000};        // a process that was ready for so long resets the backoff
  int max_exits = 5;               // in a row; then the supervisor gives up
  int max_exits_on_probation = 2;  // in a row; then a new version is rolled back
};

// In the log.
enum class EventKind {
  kSuccessorStarted,  // a process of another version was started
  kVersionServing,    // a version has replaced the one before it
  kVersionFailed,     // a version was rolled back, or did not replace the one before it
  kProcessExited,     // the serving process exited by itself
  kGaveUp,
};
const char* NameOf(EventKind kind);

struct Event {
  EventKind kind = EventKind::kProcessExited;
  std::string version;  // and why it failed, for kVersionFailed
};

// At most one process has each of these roles:
//
//   (start) ----------- at the start of the supervisor, and after a backoff -------------> serving
//   (start) ----------- the serving process requests another version, or a rollback -----> successor
//   successor --------- it is ready: it has taken the listener over ---------------------> serving
//   successor --------- the serving process exits ---------------------------------------> serving
//   serving ----------- its successor is ready ------------------------------------------> predecessor
//   any role ---------- exits -----------------------------------------------------------> (none)
//
// A version that replaces another one is on probation until its process has membership contact. In probation
// the contact timeout, and max_exits_on_probation exits in a row, roll it back. A version that is rolled back
// to is not on probation, as there is nothing else to roll back to.
class Supervisor {
 public:
  using Process = int;  // numbered from 1 in the order of their starts
  static constexpr Process kNoProcess = 0;

  Supervisor(const Limits& limits, std::string version);

  // ---- events ----
  void OnStart(Time now);
  void OnReady(Time now, Process process);
  void OnMembershipContact(Process process);
  // The rollout's agent in that process requests another version in its place.
  void OnVersionRequested(Time now, Process process, const std::string& version);
  // A rollout's encoded progress, to be stored for later processes.
  void OnProgress(Process process, std::uint64_t progress);
  void OnExited(Time now, Process process, bool success);
  void OnTick(Time now);
  // SIGTERM or SIGINT to the supervisor: all processes shut down gracefully.
  void OnStopRequested();
  // When OnTick has something to do; nothing without a deadline.
  std::optional<Time> next_tick_at() const;

  enum class StopMode { kGraceful, kKill };
  struct Output {
    struct Start {
      Process process = kNoProcess;
      std::string version;
    };
    struct Stop {
      Process process = kNoProcess;
      StopMode mode = StopMode::kGraceful;
    };
    // A process is to be notified that another version failed.
    struct FailureNotice {
      Process process = kNoProcess;
      std::string version, failure;
    };
    std::vector<Event> events;
    std::vector<Stop> stops;
    std::vector<FailureNotice> failure_notices;
    std::vector<Start> starts;
    bool finished = false;  // no process is left, and none will be started
    int exit_status = 0;    // of the supervisor, when finished
  };
  Output TakeOutput() { return std::exchange(output_, {}); }

  // ---- what a process is given at its start ----
  const std::string& version() const { return version_; }  // that serves
  std::uint64_t progress() const { return progress_; }
  int exits() const { return exits_of_version_; }
  const std::string& failed_version() const { return failed_version_; }
  const std::string& failure() const { return failure_; }

 private:
  Process Start(Time now, const std::string& version);
  void Replace(Time now, Process process);
  void OnSuccessorExited();
  void OnServingExited(Time now, bool success);
  void RestartOrGiveUp(Time now);
  void RollBack(Time now, const std::string& failure);
  void RecordFailure(const std::string& version, const std::string& failure);
  void StartContactTimeout(Time now);
  void FinishIfStopped();
  void Emit(EventKind kind, const std::string& text) { output_.events.push_back({kind, text}); }

  const Limits limits_;
  std::string version_, previous_version_, successor_version_;
  std::string failed_version_, failure_;
  Process last_process_ = kNoProcess;
  Process serving_ = kNoProcess, successor_ = kNoProcess, predecessor_ = kNoProcess;
  bool ready_ = false;  // the serving process
  bool stopping_ = false, on_probation_ = false;
  std::uint64_t progress_ = 0;
  int exits_in_a_row_ = 0, exits_of_version_ = 0;  // of the serving process, by itself
  // Deadlines: of the process started last, of the backoff, and of the probation.
  std::optional<Time> ready_deadline_, restart_at_, contact_deadline_;
  Time ready_since_{};
  Output output_;
};

}  // namespace copperpoint::supervisor

#endif  // COPPERPOINT_SUPERVISOR_SUPERVISOR_H_
