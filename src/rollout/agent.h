// SPDX-License-Identifier: Apache-2.0
//
// The agent is a member's side of rollouts (docs/rollout.md): it takes part in one rollout at a time, follows
// its progress, answers its leader, and leads if it is elected. It does no I/O and reads no clock: the caller
// passes in the time, documents and messages, and takes the resulting actions with TakeOutput.
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
//   kIdle, kEnded, kExpired -- a plan is received or started here -----> kInProgress
//   kAwaitingPlan ------------ the rollout's plan is received ---------> kInProgress
//   kAwaitingPlan ------------ progress: the rollout has ended --------> kIdle
//   kInProgress -------------- no member is admitted in time ----------> kExpired
//   kExpired ----------------- progress: the rollout admits members ---> kInProgress
//   kInProgress, kExpired ---- progress: the rollout has ended --------> kRollingBack or kEnded
//   kInProgress -------------- progress of a later rollout ------------> kEnded (stopped)
//   kRollingBack ------------- the old version was requested ----------> kEnded
//
// A member enters kRollingBack if it runs the new version and the rollout's end requires the old one. In
// kAwaitingPlan, kInProgress and kRollingBack the member is busy: it takes part in no other rollout.
enum class MemberState {
  kIdle,
  kAwaitingPlan,  // The previous process took part in a rollout whose plan this one has not received yet.
  kInProgress,
  kExpired,
  kRollingBack,
  kEnded,
};

// Owns the member's view of the current rollout, and its leader while this member leads.
class Agent {
 public:
  struct Identity {
    std::string name;
    // The version that this process runs, as its supervisor names it. Without a supervisor it is empty, and
    // the member cannot be upgraded.
    std::string version;
    std::uint64_t incarnation = 0;
    // The supervisor stored the following on behalf of the previous processes.
    std::uint64_t progress = 0;           // Encoded rollout progress (Progress::Encode).
    std::string failed_version, failure;  // The version that failed, and the reason.
  };
  // Returns what this process has counted so far. The agent adds the version, the incarnation and whether
  // there is a supervisor.
  using CollectReport = std::function<wire::MemberReport()>;

  Agent(Identity identity, Election::IsAlive is_alive, CollectReport collect_report);

  // ---- events ----
  // Returns whether the membership may replace its document of `topic` by `version`. It may not while this
  // member is busy with another rollout.
  bool AcceptsDocument(std::uint32_t topic, std::uint64_t version) const;
  void OnDocument(Time now, std::uint32_t topic, std::uint64_t version, const std::string& body);
  void OnMessage(Time now, const std::string& from, std::string_view body);
  void OnTick(Time now);
  // Returns the time of the next OnTick; without a rollout one far ahead, so an idle process is not woken.
  Time next_tick_at() const { return rollout_ ? next_tick_at_ : Time::max() / 2; }
  // The supervisor has rolled `version` back because of `failure`.
  void OnVersionFailed(const std::string& version, const std::string& failure);

  // ---- operator commands, accepted at any member; they return nothing on success ----
  std::optional<CommandFailure> Start(Time now, const Plan& plan, const std::vector<MemberInfo>& members);
  std::optional<CommandFailure> Abort(Time now);
  std::optional<CommandFailure> Pause(Time now);
  std::optional<CommandFailure> Resume(Time now);
  std::string StatusJson(Time now) const;  // The status in the format of status.h.
  std::string HistoryJson() const;         // The history of the last rollout that this member knows.

  // Actions for the caller.
  struct Output {
    struct Message {
      std::string to;  // The name of the receiving member.
      std::string body;
    };
    std::vector<Message> messages;
    std::vector<Document> documents;
    std::vector<Event> events;
    std::optional<std::string> requested_version;  // The supervisor is to run this version from now on.
    std::uint64_t progress = 0;  // The supervisor is to store this encoded progress; 0 if unchanged.
  };
  // Returns the actions since the last call.
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

  std::unique_ptr<Rollout> rollout_;          // The latest rollout that this member joined; null before.
  int own_rank_ = UpgradeOrder::kNotAMember;  // This member's rank in the order of rollout_.
  Time received_at_{};                        // When rollout_ was received.
  Progress progress_;                         // The progress of rollout_.
  bool expired_ = false;            // As far as this member knows, rollout_ admitted no member in time.
  std::unique_ptr<Leader> leader_;  // Null unless this member leads rollout_.
  // While rollout_ is null: the known progress of the latest rollout, at first as the supervisor stored it.
  Progress known_progress_;
  // The greatest encoded progress received under each of the two topics, of any rollout.
  std::uint64_t received_progress_ = 0, received_final_progress_ = 0;
  std::uint32_t last_epoch_ = 0;
  Time next_tick_at_{};
  Output output_;
};

}  // namespace copperpoint::rollout

#endif  // COPPERPOINT_ROLLOUT_AGENT_H_
