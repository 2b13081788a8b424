// SPDX-License-Identifier: Apache-2.0
//
// What a keeper does (docs/rollout.md): one `serve` runs, begun again with a longer and longer wait when it
// ends by itself; another version is brought up beside it and takes over its listener; what does not come up,
// ends again and again, or never hears its fleet is taken back. No I/O, no clock: what happens in, what to do
// out.
#ifndef COPPERPOINT_SUPERVISOR_SUPERVISOR_H_
#define COPPERPOINT_SUPERVISOR_SUPERVISOR_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace copperpoint::supervisor {

using Time = std::chrono::milliseconds;  // since an origin of the host's own

struct Limits {
  Time ready_timeout{15000};    // for a process to say that it serves
  Time contact_timeout{20000};  // from then on, for a new version to hear its fleet; 0: it need not
  Time initial_backoff{200};    // before a process that ended is begun again; doubled each time
  Time max_backoff{10000};
  Time stable_after{60000};        // a process that has served so long starts the waits anew
  int max_exits = 5;               // in a row: then there is no other version to go back to, and it gives up
  int max_exits_on_probation = 2;  // of a version that has not been heard yet
};

class Supervisor {
 public:
  using Process = int;  // a number of the host's, from 1

  Supervisor(const Limits& limits, std::string version);

  struct Output {
    struct Start {
      Process process;
      std::string version;
    };
    std::vector<Start> start;
    std::vector<std::pair<Process, bool>> stop;               // true: in good order; false: at once
    std::vector<std::pair<Process, std::string>> lines;       // a line
    std::vector<std::pair<std::string, std::string>> events;  // name and text, for the log
    bool finished = false;                                    // nothing runs any more
    int exit_status = 0;                                      // to exit with then
  };

  void OnStart(Time now);
  void OnReady(Time now, Process process);              // it serves
  void OnMembershipContact(Time now, Process process);  // it hears its fleet
  void OnVersionRequested(Time now, Process process,
                          const std::string& version);  // that another version run in its place
  void OnProgress(Process process, std::uint64_t mark) {
    if (process == serving_ || process == successor_) progress_ = mark;
  }
  void OnExited(Time now, Process process, bool in_order);
  void OnTick(Time now);
  void OnStopRequested(Time now);  // the keeper itself was told to end
  std::optional<Time> next_tick_at() const;
  Output Take() { return std::exchange(output_, {}); }

  // What a process is told when it begins.
  const std::string& version() const { return version_; }
  std::uint64_t progress() const { return progress_; }
  int exits() const { return exits_of_version_; }
  const std::string& failed_version() const { return failed_version_; }
  const std::string& failure() const { return failure_; }

 private:
  Process Start(const std::string& version);
  void RollBack(Time now, const std::string& why);
  void RecordFailure(const std::string& version, const std::string& why);

  const Limits limits_;
  std::string version_,
      previous_version_;  // that serves; that served before it, while the new one is on trial
  std::string successor_version_, failed_version_, failure_;
  Process last_process_ = 0, serving_ = 0, successor_ = 0, predecessor_ = 0;
  bool ready_ = false, stopping_ = false, on_probation_ = false;
  std::uint64_t progress_ = 0;
  int exits_in_a_row_ = 0, exits_of_version_ = 0;
  std::optional<Time> ready_deadline_, restart_at_, contact_deadline_;
  Time ready_since_{};
  Output output_;
};

}  // namespace copperpoint::supervisor

#endif  // COPPERPOINT_SUPERVISOR_SUPERVISOR_H_
