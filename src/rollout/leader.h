// SPDX-License-Identifier: Apache-2.0
//
// The leader advances a rollout from stage to stage, one decision at a time, and decides when it completes or
// stops. Its state may be lost: another member continues from the rollout's document and progress, and starts
// the bake time of the current stage again.
#ifndef COPPERPOINT_ROLLOUT_LEADER_H_
#define COPPERPOINT_ROLLOUT_LEADER_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include "rollout.pb.h"
#include "rollout/canary_analysis.h"
#include "rollout/event.h"
#include "rollout/member_table.h"
#include "rollout/plan.h"
#include "rollout/progress.h"
#include "rollout/stop_cause.h"
#include "rollout/upgrade_order.h"

namespace copperpoint::rollout {

// The phases of each stage, and their transitions:
//
//   any ------------------------------ no majority has contact to the leader ------> kWaitingForMajority
//   any ------------------------------ a member has to upgrade, or is not ready ---> kUpgrading
//   kWaitingForMajority, kUpgrading -- all members of the stage are ready ---------> kSettling
//   kSettling ------------------------ the settle time is over --------------------> kBaking
//   kBaking -------------------------- the bake time is over, no regression found -> kUpgrading (next stage)
//
// All transitions but the first need a majority with contact. The end of the last stage's bake time completes
// the rollout. While a majority has contact, a member's failure or the time limit stops the rollout in every
// phase; in kBaking a regression does so too.
class Leader {
 public:
  enum class Phase { kWaitingForMajority, kUpgrading, kSettling, kBaking };

  struct Decision {
    Progress progress;  // The rollout's progress from now on; unchanged where only the phase has changed.
    EventKind event = EventKind::kProgressed;
    std::string text;                       // The reason, for the log and the history.
    std::optional<StopReason> stop_reason;  // Set for EventKind::kStopped only.
  };

  // `plan` and `order` must outlive the leader.
  Leader(const Plan& plan, const UpgradeOrder& order);

  // The parameters are those of MemberTable::OnReport.
  void OnReport(Time requested_at, int rank, std::uint64_t rollout_id, const wire::MemberReport& report) {
    members_.OnReport(requested_at, rank, rollout_id, report);
  }
  // Returns the next decision at `now`, given the rollout's current progress; nothing while there is none to
  // take. The caller applies the decision and calls it again, as one call takes at most one decision.
  std::optional<Decision> Advance(Time now, const Progress& progress);

  // ---- accessors for the status ----
  Phase phase() const { return phase_; }
  Time phase_since() const { return phase_since_; }
  const MemberTable& members() const { return members_; }
  const CanaryAnalysis& analysis() const { return analysis_; }

 private:
  // The input of one call of Advance, and what is derived from it.
  struct Step {
    Time now;
    const Progress& progress;
    std::size_t stage;              // The index of the current stage.
    std::uint32_t stage_end;        // The number of members that are upgraded when the stage ends.
    std::uint32_t unavailable = 0;  // The number of admitted members not ready at the new version.
    bool window_ended = false;      // Whether the canaries are to be evaluated.
  };

  void Enter(Time now, Phase phase);
  bool UpdateMajority(const Step& step);
  void UpdatePhase(const Step& step);
  std::uint32_t CountUnavailable(const Step& step) const;
  bool HasReadyPeerInZone(const Step& step, std::size_t rank) const;
  Decision Stop(const Progress& progress, StopCause cause) const;
  std::optional<StopCause> FindFailure(const Step& step) const;
  std::optional<Decision> AdmitNextMember(const Step& step) const;
  std::optional<Decision> StartBakeTime(const Step& step);
  std::optional<Decision> EvaluateBakeTime(const Step& step);
  void AddWindow(const Step& step);
  Decision EndStage(const Step& step) const;
  std::string FormatStageTotals(const Step& step) const;

  const Plan& plan_;
  const UpgradeOrder& order_;
  MemberTable members_;
  CanaryAnalysis analysis_;
  std::optional<std::size_t> stage_;  // The current stage's index; nothing before the first call of Advance.
  Phase phase_ = Phase::kWaitingForMajority;
  Time phase_since_{}, started_at_{}, next_window_at_{};
  // A majority has had contact without interruption from majority_since_ to majority_at_.
  Time majority_since_{}, majority_at_{};
};

}  // namespace copperpoint::rollout

#endif  // COPPERPOINT_ROLLOUT_LEADER_H_
