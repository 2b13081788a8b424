// SPDX-License-Identifier: Apache-2.0
//
// Decides which processes a supervisor runs (docs/rollout.md): one `serve` process, which is restarted with
// backoff after an unrequested exit and replaced by one of another version on request. The class does no I/O
// and reads no clock: the caller passes in events, and takes the resulting actions with TakeOutput.
#ifndef COPPERPOINT_SUPERVISOR_SUPERVISOR_H_
#define COPPERPOINT_SUPERVISOR_SUPERVISOR_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace copperpoint::supervisor {

// The time since an origin that the caller chooses.
using Time = std::chrono::milliseconds;

struct Limits {
  Time ready_timeout{15000};  // A process must be ready within this time from its start.
  // A new version must have membership contact within this time from being ready; 0: no limit.
  Time contact_timeout{20000};
  Time initial_backoff{200};       // The backoff before the first restart; it doubles with each further one.
  Time max_backoff{10000};         // The upper limit of the backoff.
  Time stable_after{60000};        // A process that was ready for longer than this resets the backoff.
  int max_exits = 5;               // The supervisor gives up after this many exits in a row.
  int max_exits_on_probation = 2;  // A new version is rolled back after this many exits in a row.
};

// The events that the supervisor logs.
enum class EventKind {
  kSuccessorStarted,  // A process of another version was started.
  kVersionServing,    // A version has replaced the previous one.
  kVersionFailed,     // A version was rolled back, or could not replace the previous one.
  kProcessExited,     // The serving process exited without a request to do so.
  kGaveUp,            // The serving process exited too often in a row and is not restarted.
};
// Returns the event's name in the log.
const char* NameOf(EventKind kind);

struct Event {
  EventKind kind = EventKind::kProcessExited;
  std::string version;  // For kVersionFailed, ": " and the reason follow the version.
};

// At most one process has each of these roles:
//
//   (start) ----------- at the start of the supervisor, and after a backoff -------------> serving
//   (start) ----------- the serving process requests another version, or a rollback -----> successor
//   successor --------- the successor is ready: it has taken over the listener ----------> serving
//   successor --------- the serving process exits ---------------------------------------> serving
//   serving ----------- the successor is ready ------------------------------------------> predecessor
//   any role ---------- the process exits -----------------------------------------------> (none)
//
// A version that replaces another one is on probation until its process has membership contact. On probation,
// the contact timeout or max_exits_on_probation exits in a row roll it back. A version that was restored by a
// rollback is not on probation, as there is no other version to roll back to.
class Supervisor {
 public:
  using Process = int;  // Processes are numbered from 1 in the order of their starts.
  static constexpr Process kNoProcess = 0;

  Supervisor(const Limits& limits, std::string version);

  // ---- events ----
  void OnStart(Time now);
  void OnReady(Time now, Process process);
  void OnMembershipContact(Process process);
  // The rollout agent in `process` requests that `version` replaces the process.
  void OnVersionRequested(Time now, Process process, const std::string& version);
  // `process` reported a rollout's encoded progress, which is stored for later processes.
  void OnProgress(Process process, std::uint64_t progress);
  void OnExited(Time now, Process process, bool success);
  void OnTick(Time now);
  // The supervisor received SIGTERM or SIGINT: all processes shut down gracefully.
  void OnStopRequested();
  // Returns the earliest deadline, at which OnTick is to be called; nothing if there is none.
  std::optional<Time> next_tick_at() const;

  enum class StopMode { kGraceful, kKill };
  // Actions for the caller.
  struct Output {
    struct Start {
      Process process = kNoProcess;
      std::string version;
    };
    struct Stop {
      Process process = kNoProcess;
      StopMode mode = StopMode::kGraceful;
    };
    // The process is to be notified that `version`, another one than its own, has failed.
    struct FailureNotice {
      Process process = kNoProcess;
      std::string version, failure;
    };
    std::vector<Event> events;
    std::vector<Stop> stops;
    std::vector<FailureNotice> failure_notices;
    std::vector<Start> starts;
    bool finished = false;  // No process is left, and none will be started.
    int exit_status = 0;    // The exit status of the supervisor when it has finished.
  };
  // Returns the actions since the last call.
  Output TakeOutput() { return std::exchange(output_, {}); }

  // ---- information that a process receives at its start ----
  const std::string& version() const { return version_; }  // The version that serves.
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
  bool ready_ = false;  // Whether the serving process is ready.
  bool stopping_ = false, on_probation_ = false;
  std::uint64_t progress_ = 0;                        // Encoded.
  int consecutive_exits_ = 0, exits_of_version_ = 0;  // Unrequested exits of the serving process.
  // The deadlines of the process started last, of the backoff and of the probation.
  std::optional<Time> ready_deadline_, restart_at_, contact_deadline_;
  Time ready_since_{};
  Output output_;
};

}  // namespace copperpoint::supervisor

#endif  // COPPERPOINT_SUPERVISOR_SUPERVISOR_H_
