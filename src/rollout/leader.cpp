// SPDX-License-Identifier: Apache-2.0
#include "rollout/leader.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "rollout/member_failures.h"
#include "rollout/resource_usage.h"

namespace copperpoint::rollout {
namespace {

constexpr Time kWindow = std::chrono::milliseconds(1000);  // The time between evaluations of the canaries.
constexpr double kMaxBakeTimes = 10;  // A stage waits for its requests for this many times its bake time.

std::string FormatRegression(const Regression& regression, const std::string& version) {
  return fmt::format("{} of {} is worse by {:.4f} with {} (score {:.1f}, bound {:.1f})",
                     NameOf(regression.measure), regression.segment, regression.difference, version,
                     regression.score, regression.boundary);
}

}  // namespace

Leader::Leader(const Plan& plan, const UpgradeOrder& order)
    : plan_(plan),
      order_(order),
      members_(plan.new_version, order.members.size()),
      analysis_(plan.guardrails, plan.stages.size(), order.members) {}

std::optional<Leader::Decision> Leader::Advance(Time now, const Progress& progress) {
  if (progress.ended()) return std::nullopt;
  if (started_at_ == Time{}) started_at_ = phase_since_ = now;
  members_.OnAdmitted(now, progress.admitted_members);
  const auto stage = static_cast<std::size_t>(order_.StageOf(static_cast<int>(progress.admitted_members)));
  Step step{now, progress, stage, static_cast<std::uint32_t>(order_.stage_ends[stage])};
  step.window_ended = now >= next_window_at_;
  if (step.window_ended) next_window_at_ = now + kWindow;
  if (std::exchange(stage_, stage) != stage) Enter(now, Phase::kUpgrading);

  // Without a majority no decision is taken, since this member itself may be cut off.
  if (!UpdateMajority(step)) return std::nullopt;
  if (auto cause = FindFailure(step)) return Stop(progress, std::move(*cause));
  step.unavailable = CountUnavailable(step);
  UpdatePhase(step);
  switch (phase_) {
    case Phase::kWaitingForMajority:
      return std::nullopt;
    case Phase::kUpgrading:
      return AdmitNextMember(step);
    case Phase::kSettling:
      return StartBakeTime(step);
    case Phase::kBaking:
      return EvaluateBakeTime(step);
  }
  return std::nullopt;
}

void Leader::Enter(Time now, Phase phase) {
  phase_ = phase;
  phase_since_ = now;
}

bool Leader::UpdateMajority(const Step& step) {
  if (!members_.HasMajority(step.now, step.progress.rollout_id)) {
    if (phase_ != Phase::kWaitingForMajority) Enter(step.now, Phase::kWaitingForMajority);
    return false;
  }
  if (majority_since_ == Time{} || step.now - majority_at_ > MemberTable::kContactTime)
    majority_since_ = step.now;
  majority_at_ = step.now;
  return true;
}

// Makes the transitions that need no decision. Requires a majority.
void Leader::UpdatePhase(const Step& step) {
  const bool upgrading = step.progress.admitted_members < step.stage_end || step.unavailable > 0;
  if (upgrading) {
    if (phase_ != Phase::kUpgrading) Enter(step.now, Phase::kUpgrading);
  } else if (phase_ == Phase::kUpgrading || phase_ == Phase::kWaitingForMajority) {
    Enter(step.now, Phase::kSettling);
  }
}

std::uint32_t Leader::CountUnavailable(const Step& step) const {
  std::uint32_t unavailable = 0;
  for (std::size_t rank = 0; rank < step.progress.admitted_members; ++rank)
    unavailable += !(members_.HasContact(step.now, rank) && members_.IsUpgraded(rank));
  return unavailable;
}

std::optional<StopCause> Leader::FindFailure(const Step& step) const {
  if (auto cause = FindMemberFailure(
          {plan_, order_, members_, step.progress.admitted_members, majority_since_}, step.now))
    return cause;
  if (step.now - started_at_ > FromSeconds(plan_.time_limit_s))
    return StopCause{StopReason::kTimeLimit,
                     fmt::format("the rollout took longer than {} s (limit_s)", plan_.time_limit_s)};
  return std::nullopt;
}

Leader::Decision Leader::Stop(const Progress& progress, StopCause cause) const {
  Progress stopped = progress;
  stopped.status = plan_.on_regression == RegressionAction::kRollBack ? RolloutStatus::kRolledBack
                                                                      : RolloutStatus::kStopped;
  return {stopped, EventKind::kStopped, std::move(cause.text), cause.reason};
}

// Returns whether another member of the zone has contact and is ready. Also true if the zone has no other
// member.
bool Leader::HasReadyPeerInZone(const Step& step, std::size_t rank) const {
  int peers = 0, ready = 0;
  for (std::size_t peer = 0; peer < members_.size(); ++peer) {
    if (peer == rank || order_.members[peer].zone != order_.members[rank].zone) continue;
    ++peers;
    ready += members_.HasContact(step.now, peer) && members_[peer].report.ready();
  }
  return peers == 0 || ready > 0;
}

std::optional<Leader::Decision> Leader::AdmitNextMember(const Step& step) const {
  const std::uint32_t next = step.progress.admitted_members;
  if (step.progress.paused() || next >= step.stage_end) return std::nullopt;
  if (step.unavailable >= static_cast<std::uint32_t>(plan_.max_unavailable)) return std::nullopt;
  if (!HasReadyPeerInZone(step, next)) return std::nullopt;
  Progress admitted = step.progress;
  ++admitted.admitted_members;
  return Decision{admitted, EventKind::kMemberAdmitted, order_.members[next].name, std::nullopt};
}

std::optional<Leader::Decision> Leader::StartBakeTime(const Step& step) {
  if (step.now - phase_since_ < FromSeconds(plan_.settle_time_s)) return std::nullopt;
  Enter(step.now, Phase::kBaking);
  analysis_.StartStage();
  members_.StartBakeTime();
  return Decision{step.progress, EventKind::kBakeTimeStarted,
                  fmt::format("stage {}: {} of {} members upgraded", step.stage + 1,
                              step.progress.admitted_members, members_.size()),
                  std::nullopt};
}

// Adds what the members have counted since the previous window. A member that does not run the version of its
// cohort is left out.
void Leader::AddWindow(const Step& step) {
  for (std::size_t rank = 0; rank < members_.size(); ++rank) {
    if (!members_.HasContact(step.now, rank)) continue;
    const Cohort cohort = rank < step.progress.admitted_members ? Cohort::kCanary : Cohort::kBaseline;
    const std::string& version = cohort == Cohort::kCanary ? plan_.new_version : plan_.old_version;
    if (members_[rank].report.version() != version) continue;
    for (const wire::Stratum& increase : members_.TakeIncrease(rank))
      analysis_.Add(static_cast<int>(rank), cohort, increase);
  }
  analysis_.EndWindow();
}

std::optional<Leader::Decision> Leader::EvaluateBakeTime(const Step& step) {
  if (!step.window_ended) return std::nullopt;
  AddWindow(step);
  if (const auto regression = analysis_.FindRegression())
    return Stop(step.progress, {StopReason::kRegression, FormatRegression(*regression, plan_.new_version)});
  const Stage& stage = plan_.stages[step.stage];
  const Time baked = step.now - phase_since_, bake_time = FromSeconds(stage.bake_time_s);
  if (baked < bake_time || step.progress.paused()) return std::nullopt;
  if (auto cause = FindResourceRegression(members_, step.progress.admitted_members, plan_.guardrails))
    return Stop(step.progress, std::move(*cause));
  if (analysis_.canary_requests() < static_cast<std::uint64_t>(stage.min_canary_requests)) {
    if (baked < kMaxBakeTimes * bake_time) return std::nullopt;
    return Stop(step.progress,
                {StopReason::kTooFewRequests,
                 fmt::format("the canaries received {} of {} requests in {:.0f} s, too few to compare",
                             analysis_.canary_requests(), stage.min_canary_requests,
                             kMaxBakeTimes * stage.bake_time_s)});
  }
  return EndStage(step);
}

// Ends the stage and admits the first member of the next one. Stages that add no member are skipped.
Leader::Decision Leader::EndStage(const Step& step) const {
  const std::string figures = FormatStageTotals(step);
  const bool more = std::any_of(order_.stage_ends.begin() + static_cast<std::ptrdiff_t>(step.stage),
                                order_.stage_ends.end(),
                                [&](int end) { return static_cast<std::uint32_t>(end) != step.stage_end; });
  Progress next = step.progress;
  if (!more) {
    next.status = RolloutStatus::kCompleted;
    return {next, EventKind::kCompleted, figures, std::nullopt};
  }
  const std::string& first = order_.members[next.admitted_members].name;
  ++next.admitted_members;
  return {next, EventKind::kStageStarted, figures + "; next member " + first, std::nullopt};
}

std::string Leader::FormatStageTotals(const Step& step) const {
  const CanaryAnalysis::CohortTotals& canary = analysis_.totals(Cohort::kCanary);
  const CanaryAnalysis::CohortTotals& baseline = analysis_.totals(Cohort::kBaseline);
  return fmt::format("stage {}: canaries {:.0f} requests, {:.4f} missed; baseline {:.0f}, {:.4f}",
                     step.stage + 1, canary.requests, canary.missed / std::max(1.0, canary.requests),
                     baseline.requests, baseline.missed / std::max(1.0, baseline.requests));
}

}  // namespace copperpoint::rollout
