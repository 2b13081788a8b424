// SPDX-License-Identifier: Apache-2.0
//
// A member's part in rollouts (docs/rollout.md): takes part in one rollout at a time, follows its progress,
// answers its leader, and leads if it is elected. Without I/O and without a clock: time, documents and
// messages come in with each call, and what is to be done is taken with TakeOutput.
#ifndef COPPERPOINT_ROLLOUT_AGENT_H_
#define COPPERPOINT_ROLLOUT_AGENT_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "rollout.pb.h"
#include "rollout/command_failure.h"
#include "rollout/documents.h"
#include "rollout/election.h"
#include "rollout/event.h"
#include "rollout/history.h"
#include "rollout/leader.h"
#include "rollout/plan.h"
#include "rollout/progress.h"
#include "rollout/report_requests.h"
#include "rollout/rollout_document.h"
#include "rollout/upgrade_order.h"
#include "rollout/version_switch.h"

namespace copperpoint::rollout {

// The states of a member:
//
//   kIdle, kEnded, kExpired -- a plan is received or started here --> kInProgress
//   kAwaitingPlan ------------ its plan is received ----------------> kInProgress
//   kAwaitingPlan ------------ progress: it has ended --------------> kIdle
//   kInProgress -------------- admits no member in time ------------> kExpired
//   kExpired ----------------- progress: it admits members ---------> kInProgress
//   kInProgress, kExpired ---- progress: it has ended --------------> kRollingBack or kEnded
//   kInProgress -------------- progress of a later rollout ---------> kEnded (stopped)
//   kRollingBack ------------- the old version was requested -------> kEnded
//
// kRollingBack is for a member that runs the new version, if the end requires the old one. In kAwaitingPlan,
// kInProgress and kRollingBack the member is busy: it takes part in no other rollout.
enum class MemberState {
  kIdle,
  kAwaitingPlan,  // the process before this one took part in a rollout whose plan has not been received yet
  kInProgress,
  kExpired,
  kRollingBack,
  kEnded,
};

class Agent {
 public:
  struct Identity {
    std::string name;
    // That this process runs, as its supervisor names it. Empty: no supervisor; it cannot be upgraded.
    std::string version;
    std::uint64_t incarnation = 0;
    // What its supervisor has stored of the processes before this one.
    std::uint64_t progress = 0;  // encoded
    std::string failed_version, failure;
  };
  // What this process has counted so far. The agent adds version, incarnation and supervisor.
  using CollectReport = std::function<wire::MemberReport()>;

  Agent(Identity identity, Election::IsAlive is_alive, CollectReport collect_report);

  // ---- events ----
  // Whether the membership may replace its document of that topic: not while this member is busy with another
  // rollout.
  bool AcceptsDocument(std::uint32_t topic, std::uint64_t version) const;
  void OnDocument(Time now, std::uint32_t topic, std::uint64_t version, const std::string& body);
  void OnMessage(Time now, const std::string& from, std::string_view body);
  void OnTick(Time now);
  // Without a rollout never, so that an idle process is not woken up.
  Time next_tick_at() const { return rollout_ ? next_tick_at_ : Time::max() / 2; }
  // The supervisor has rolled a version back.
  void OnVersionFailed(const std::string& version, const std::string& failure);

  // ---- commands of an operator, at any member; nothing: done ----
  std::optional<CommandFailure> Start(Time now, const Plan& plan, const std::vector<MemberInfo>& members);
  std::optional<CommandFailure> Abort(Time now);
  std::optional<CommandFailure> Pause(Time now);
  std::optional<CommandFailure> Resume(Time now);
  std::string StatusJson(Time now) const;  // status.h
  std::string HistoryJson() const;         // of the last rollout

  struct Output {
    struct Message {
      std::string to;  // a member's name
      std::string body;
    };
    std::vector<Message> messages;
    std::vector<Document> documents;
    std::vector<Event> events;
    std::optional<std::string> requested_version;  // for the supervisor to run from now on
    std::uint64_t progress = 0;                    // encoded, for the supervisor to store; 0: nothing new
  };
  Output TakeOutput();

  MemberState state() const;
  bool busy() const;
  const Progress& progress() const { return progress_; }
  bool is_leader() const { return leader_ != nullptr; }

 private:
  void JoinRollout(Time now, std::uint64_t document_version, const std::string& body);
  void OnProgressDocument(Time now, const Progress& received);
  void SetProgress(Time now, const Progress& progress);
  void StoreProgress(const Progress& progress);
  void PublishProgress();
  void Expire(Time now);
  void UpdateVersion(Time now);
  void UpdateLeadership(Time now);
  void RequestReports(Time now);
  void Apply(Time now, const Leader::Decision& decision);
  std::optional<CommandFailure> SetPaused(Time now, bool paused);
  void Emit(EventKind kind, const std::string& reason);
  void Record(Time now, EventKind kind, const std::string& reason);
  wire::MemberReport Report() const;
  wire::AgentMessage NewMessage() const;
  std::uint64_t document_version() const { return rollout_ ? rollout_->document_version : 0; }
  std::uint64_t rollout_id() const { return rollout_ ? rollout_->id : 0; }

  const Identity identity_;
  const CollectReport collect_report_;
  Election election_;
  VersionSwitch version_switch_;
  History history_;
  ReportRequests report_requests_;

  std::unique_ptr<Rollout> rollout_;          // the latest that this member took part in; null before
  int own_rank_ = UpgradeOrder::kNotAMember;  // in its order
  Time received_at_{};
  Progress progress_;               // of rollout_
  bool expired_ = false;            // it has admitted nobody in time, as far as this member knows
  std::unique_ptr<Leader> leader_;  // if this member leads it
  // Without a rollout: what is known of the latest one, at first from the process before this one.
  Progress known_progress_;
  // The greatest that were received, of whichever rollout.
  std::uint64_t received_progress_ = 0, received_final_progress_ = 0;
  std::uint32_t last_epoch_ = 0;
  Time next_tick_at_{};
  Output output_;
};

}  // namespace copperpoint::rollout

#endif  // COPPERPOINT_ROLLOUT_AGENT_H_
