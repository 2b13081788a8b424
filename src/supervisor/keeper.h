// SPDX-License-Identifier: Apache-2.0
//
// What a keeper does (docs/rollout.md): one `serve` runs, begun again with a longer and longer wait when it
// ends by itself; another version is brought up beside it and takes over its listener; what does not come up,
// ends again and again, or never hears its fleet is taken back. No I/O, no clock: what happens in, what to do
// out.
#ifndef COPPERPOINT_SUPERVISOR_KEEPER_H_
#define COPPERPOINT_SUPERVISOR_KEEPER_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace copperpoint::supervisor {

using Time = std::chrono::milliseconds;  // since an origin of the host's own

struct Limits {
  Time ready{15000};     // for a process to say that it serves
  Time heard{20000};     // from then on, for a new version to hear its fleet; 0: it need not
  Time first_wait{200};  // before a process that ended is begun again; doubled each time
  Time longest_wait{10000};
  Time steady{60000};        // a process that has served so long starts the waits anew
  int most_ends = 5;         // in a row: then there is no other version to go back to, and it gives up
  int most_ends_of_new = 2;  // of a version that has not been heard yet
};

class Keeper {
 public:
  using Process = int;  // a number of the host's, from 1

  Keeper(const Limits& limits, std::string version);

  struct Output {
    struct Begin {
      Process process;
      std::string version;
    };
    std::vector<Begin> begin;
    std::vector<std::pair<Process, bool>> end;                // true: in good order; false: at once
    std::vector<std::pair<Process, std::string>> tell;        // a line
    std::vector<std::pair<std::string, std::string>> events;  // name and text, for the log
    bool over = false;                                        // nothing runs any more
    int status = 0;                                           // to exit with then
  };

  void OnStart(Time now);
  void OnReady(Time now, Process process);  // it serves
  void OnHeard(Time now, Process process);  // it hears its fleet
  void OnWish(Time now, Process process,
              const std::string& version);  // that another version run in its place
  void OnMark(Process process, std::uint64_t mark) {
    if (process == serving_ || process == next_) mark_ = mark;
  }
  void OnEnded(Time now, Process process, bool in_order);
  void OnTick(Time now);
  void OnStop(Time now);  // the keeper itself was told to end
  std::optional<Time> next() const;
  Output Take() { return std::exchange(output_, {}); }

  // What a process is told when it begins.
  const std::string& version() const { return version_; }
  std::uint64_t mark() const { return mark_; }
  int ends() const { return ends_of_version_; }
  const std::string& failed_version() const { return failed_version_; }
  const std::string& failure() const { return failure_; }

 private:
  Process Begin(const std::string& version);
  void TakeBack(Time now, const std::string& why);
  void Fail(const std::string& version, const std::string& why);

  const Limits limits_;
  std::string version_, before_;  // that serves; that served before it, while the new one is on trial
  std::string next_version_, failed_version_, failure_;
  Process last_ = 0, serving_ = 0, next_ = 0, leaving_ = 0;
  bool serves_ = false, stopping_ = false, trial_ = false;
  std::uint64_t mark_ = 0;
  int ends_ = 0, ends_of_version_ = 0;
  std::optional<Time> next_due_, again_at_, heard_due_;
  Time served_since_{};
  Output output_;
};

}  // namespace copperpoint::supervisor

#endif  // COPPERPOINT_SUPERVISOR_KEEPER_H_
