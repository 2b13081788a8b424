// SPDX-License-Identifier: Apache-2.0
//
// The leader's side of a rollout: takes it from stage to stage, one decision at a time, and decides when it
// completes or stops. Owns nothing that must not be lost: another member continues from the rollout's
// document and progress, and starts the current stage's bake time anew.
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

// The phases of each stage:
//
//   any ------------------ no majority has contact --------------------> kWaitingForMajority
//   kWaitingForMajority -- a majority has contact ----------------------> kUpgrading
//   any ------------------ a member is to upgrade, or is not ready -----> kUpgrading
//   kUpgrading ----------- all of the stage are ready ------------------> kSettling
//   kSettling ------------ settle time over ----------------------------> kBaking
//   kBaking -------------- bake time over, no regression ---------------> kUpgrading of the next stage
//
// The bake time of the last stage completes the rollout. In every phase with a majority a member's failure or
// the time limit stops the rollout, in kBaking a regression too.
class Leader {
 public:
  enum class Phase { kWaitingForMajority, kUpgrading, kSettling, kBaking };

  struct Decision {
    Progress progress;  // from here on; the same one where only the phase has changed
    EventKind event = EventKind::kProgressed;
    std::string text;                       // for the log and the history
    std::optional<StopReason> stop_reason;  // of EventKind::kStopped
  };

  // Both must outlive the leader.
  Leader(const Plan& plan, const UpgradeOrder& order);

  void OnReport(Time requested_at, int rank, std::uint64_t rollout_id, const wire::MemberReport& report) {
    members_.OnReport(requested_at, rank, rollout_id, report);
  }
  // What follows at `now` from `progress`; nothing while there is nothing to decide. At most one decision at
  // a time: call it again.
  std::optional<Decision> Advance(Time now, const Progress& progress);

  // ---- for the status ----
  Phase phase() const { return phase_; }
  Time phase_since() const { return phase_since_; }
  const MemberTable& members() const { return members_; }
  const CanaryAnalysis& analysis() const { return analysis_; }

 private:
  // What one call of Advance works on.
  struct Step {
    Time now;
    const Progress& progress;
    std::size_t stage;              // index
    std::uint32_t stage_end;        // members that are upgraded when it is over
    std::uint32_t unavailable = 0;  // admitted members that are not ready at the new version
    bool window_ended = false;
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
  std::string FiguresOf(const Step& step) const;

  const Plan& plan_;
  const UpgradeOrder& order_;
  MemberTable members_;
  CanaryAnalysis analysis_;
  std::optional<std::size_t> stage_;  // index; nothing before the first call of Advance
  Phase phase_ = Phase::kWaitingForMajority;
  Time phase_since_{}, started_at_{}, next_window_at_{};
  // The majority has had contact without a break from the first to the second.
  Time majority_since_{}, majority_at_{};
};

}  // namespace copperpoint::rollout

#endif  // COPPERPOINT_ROLLOUT_LEADER_H_
