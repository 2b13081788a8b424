// SPDX-License-Identifier: Apache-2.0
#include "rollout/agent.h"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <utility>

#include "rollout/plan_parser.h"
#include "rollout/status.h"

namespace copperpoint::rollout {
namespace {

constexpr Time kTickInterval = std::chrono::milliseconds(250);
// The limit is even, so that a rollout at its limit is not paused: it could not be resumed any more.
constexpr std::uint32_t kMaxPauses = Progress::kMaxPauseCount - 1;

// `plan` is null if this member has not received the plan of the rollout in progress.
CommandFailure InProgressFailure(const Plan* plan) {
  return {CommandError::kRolloutInProgress,
          plan ? "the rollout '" + plan->name + "' is in progress; wait for its end or abort it"
               : "a rollout is in progress; its plan has not been received yet"};
}

}  // namespace

Agent::Agent(Identity identity, Election::IsAlive is_alive, CollectReport collect_report)
    : identity_(std::move(identity)),
      collect_report_(std::move(collect_report)),
      election_(std::move(is_alive)),
      version_switch_(identity_.version, identity_.failed_version, identity_.failure),
      known_progress_(Progress::Decode(identity_.progress)) {}

MemberState Agent::state() const {
  if (!rollout_) {
    const bool in_progress = known_progress_.admitted_members > 0 && !known_progress_.ended();
    return in_progress ? MemberState::kAwaitingPlan : MemberState::kIdle;
  }
  if (!progress_.ended()) return expired_ ? MemberState::kExpired : MemberState::kInProgress;
  const bool upgraded = version_switch_.requested_version() == rollout_->plan.new_version;
  return progress_.requires_rollback() && upgraded ? MemberState::kRollingBack : MemberState::kEnded;
}

bool Agent::busy() const {
  switch (state()) {
    case MemberState::kIdle:
    case MemberState::kExpired:
    case MemberState::kEnded:
      return false;
    case MemberState::kAwaitingPlan:
    case MemberState::kInProgress:
    case MemberState::kRollingBack:
      return true;
  }
  return false;
}

bool Agent::AcceptsDocument(std::uint32_t topic, std::uint64_t version) const {
  if (!busy()) return true;
  const std::uint64_t own_id = rollout_ ? rollout_->id : known_progress_.rollout_id;
  if (topic == kPlanTopic) return RolloutIdOf(version) == own_id;
  if (topic != kProgressTopic) return true;
  // A later rollout that has admitted members has a majority, so that this rollout cannot continue.
  const Progress progress = Progress::Decode(version);
  return progress.rollout_id == own_id || (progress.rollout_id > own_id && progress.admitted_members > 0);
}

void Agent::OnDocument(Time now, std::uint32_t topic, std::uint64_t version, const std::string& body) {
  switch (topic) {
    case kPlanTopic:
      return JoinRollout(now, version, body);
    case kProgressTopic:
      received_progress_ = std::max(received_progress_, version);
      return OnProgressDocument(now, Progress::Decode(version));
    case kFinalProgressTopic:
      received_final_progress_ = std::max(received_final_progress_, version);
      return OnProgressDocument(now, Progress::Decode(version));
    case kHistoryTopic:
      return history_.OnDocument(version, body);
    default:
      return;
  }
}

void Agent::OnProgressDocument(Time now, const Progress& received) {
  last_epoch_ = std::max(last_epoch_, EpochOfRollout(received.rollout_id));
  const bool admits_members = received.admitted_members > 0;
  if (!rollout_) {
    const bool same_rollout = received.rollout_id == known_progress_.rollout_id;
    if (same_rollout ? received.Encode() > known_progress_.Encode()
                     : received.rollout_id > known_progress_.rollout_id && admits_members)
      known_progress_ = received;
  } else if (received.rollout_id == rollout_->id) {
    if (received.Encode() > progress_.Encode()) SetProgress(now, received);
  } else if (received.rollout_id > rollout_->id && admits_members && busy()) {
    // This member had no contact when its rollout ended, and does not know how it ended.
    Progress stopped = progress_;
    stopped.status = RolloutStatus::kStopped;
    SetProgress(now, stopped);
  }
}

void Agent::JoinRollout(Time now, std::uint64_t version, const std::string& body) {
  last_epoch_ = std::max(last_epoch_, EpochOf(version));
  if (version == document_version()) return;
  std::unique_ptr<Rollout> rollout;
  try {
    rollout = ReadRolloutDocument(version, body);
  } catch (const InvalidPlan&) {
    // This member does not take part in the rollout, and therefore does not count for its majority.
    output_.events.push_back({EventKind::kPlanRejected, "",
                              "the plan has keys or values that this program version does not support", 0});
    return;
  }
  if (!rollout) return;
  own_rank_ = rollout->order.RankOf(identity_.name);
  received_at_ = now;
  leader_.reset();
  rollout_ = std::move(rollout);
  election_.Start(now, rollout_->order, own_rank_, rollout_->id);
  version_switch_.OnRolloutStarted();
  expired_ = false;
  next_tick_at_ = now;
  // This process may have received progress before the plan, or the previous process may have done so.
  progress_ = Progress{rollout_->id, RolloutStatus::kInProgress, 0, 0};
  for (const std::uint64_t known : {known_progress_.Encode(), received_progress_, received_final_progress_})
    if (Progress::Decode(known).rollout_id == rollout_->id && known > progress_.Encode())
      progress_ = Progress::Decode(known);
  PublishProgress();
  Emit(EventKind::kPlanReceived, "started at member " + rollout_->started_by);
}

void Agent::SetProgress(Time now, const Progress& progress) {
  const Progress before = progress_;
  StoreProgress(progress);
  next_tick_at_ = now;
  if (progress.ended() && !before.ended()) {
    leader_.reset();
    Emit(progress.status == RolloutStatus::kCompleted ? EventKind::kCompleted : EventKind::kEnded,
         NameOf(progress.status));
  } else if (progress.paused() != before.paused()) {
    Emit(progress.paused() ? EventKind::kPaused : EventKind::kResumed, "");
  } else if (progress.admitted_members != before.admitted_members) {
    Emit(EventKind::kProgressed, "");
  }
}

void Agent::StoreProgress(const Progress& progress) {
  progress_ = progress;
  output_.progress = progress.Encode();
}

// The end of a rollout that has admitted members is also published under a separate topic, where the progress
// of later rollouts does not replace it, because members that had no contact still have to receive it.
void Agent::PublishProgress() {
  const std::uint64_t encoded = progress_.Encode();
  output_.documents.push_back({kProgressTopic, encoded, ""});
  if (progress_.ended() && progress_.admitted_members > 0)
    output_.documents.push_back({kFinalProgressTopic, encoded, ""});
}

void Agent::Emit(EventKind kind, const std::string& reason) {
  output_.events.push_back({kind, rollout_ ? rollout_->plan.name : "", reason, progress_.admitted_members});
}

void Agent::Record(Time now, EventKind kind, const std::string& reason) {
  auto document =
      history_.Record(EpochOf(document_version()),
                      {kind, reason, identity_.name, progress_.admitted_members, now - received_at_});
  if (document) output_.documents.push_back(std::move(*document));
}

wire::MemberReport Agent::Report() const {
  wire::MemberReport report = collect_report_();
  report.set_version(identity_.version);
  report.set_incarnation(identity_.incarnation);
  report.set_supervised(!identity_.version.empty());
  if (rollout_) report.set_failure(version_switch_.FailureOf(rollout_->plan.new_version));
  return report;
}

wire::AgentMessage Agent::NewMessage() const {
  wire::AgentMessage message;
  message.set_rollout_id(expired_ ? 0 : rollout_id());
  message.set_progress(progress_.Encode());
  return message;
}

void Agent::OnMessage(Time now, const std::string& from, std::string_view body) {
  wire::AgentMessage message;
  if (!message.ParseFromArray(body.data(), static_cast<int>(body.size()))) return;
  if (message.has_request()) {
    wire::AgentMessage answer = NewMessage();
    *answer.mutable_report() = Report();
    answer.set_request_number(message.request().number());
    output_.messages.push_back({from, answer.SerializeAsString()});
  }
  if (rollout_ && message.rollout_id() == rollout_->id && message.progress() > progress_.Encode()) {
    SetProgress(now, Progress::Decode(message.progress()));
    PublishProgress();
  }
  if (!message.has_report() || !leader_) return;
  const int rank = rollout_->order.RankOf(from);
  const auto requested_at = report_requests_.RequestedAt(message.request_number());
  if (rank != UpgradeOrder::kNotAMember && requested_at)
    leader_->OnReport(*requested_at, rank, message.rollout_id(), message.report());
}

void Agent::OnTick(Time now) {
  next_tick_at_ = now + kTickInterval;
  if (!rollout_) return;
  election_.Update(now);
  const bool started = progress_.ended() || progress_.admitted_members > 0;
  if (!started && now - received_at_ > FromSeconds(rollout_->plan.start_timeout_s)) return Expire(now);
  expired_ = false;
  UpdateVersion(now);
  UpdateLeadership(now);
}

// As far as this member knows, the rollout has admitted no member. It must not prevent another one from
// starting, but it does not end: if it did admit members, this member will receive their progress.
void Agent::Expire(Time now) {
  if (std::exchange(expired_, true)) return;
  const std::string reason = fmt::format(
      "no member was admitted within {} s (start_within_s): admission needs contact to a majority",
      rollout_->plan.start_timeout_s);
  Emit(EventKind::kExpired, reason);
  Record(now, EventKind::kExpired, reason);
  leader_.reset();
}

void Agent::UpdateVersion(Time now) {
  const auto request = version_switch_.Update(
      now, {rollout_->plan, progress_, own_rank_, election_.has_majority(), election_.majority_at()});
  if (!request) return;
  output_.requested_version = request->version;
  Emit(EventKind::kVersionRequested, request->version + ": " + request->reason);
}

void Agent::UpdateLeadership(Time now) {
  if (progress_.ended() || !election_.is_leader()) {
    leader_.reset();
    return;
  }
  if (!leader_) {
    leader_ = std::make_unique<Leader>(rollout_->plan, rollout_->order);
    report_requests_.Restart(now);
    Emit(EventKind::kLeaderElected, "");
  }
  if (report_requests_.IsDue(now)) RequestReports(now);
  if (const auto decision = leader_->Advance(now, progress_)) Apply(now, *decision);
}

void Agent::RequestReports(Time now) {
  wire::AgentMessage message = NewMessage();
  message.mutable_request()->set_number(report_requests_.Start(now));
  const std::string body = message.SerializeAsString();
  for (const MemberInfo& member : rollout_->order.members)
    if (member.name != identity_.name) output_.messages.push_back({member.name, body});
  leader_->OnReport(now, own_rank_, rollout_->id, Report());
}

void Agent::Apply(Time now, const Leader::Decision& decision) {
  if (decision.progress.Encode() > progress_.Encode()) {
    StoreProgress(decision.progress);
    PublishProgress();
  }
  Emit(decision.event, decision.text);
  Record(now, decision.event, decision.text);
  if (progress_.ended()) leader_.reset();
  next_tick_at_ = now;
}

void Agent::OnVersionFailed(const std::string& version, const std::string& failure) {
  version_switch_.OnVersionFailed(version, failure);
  Emit(EventKind::kVersionFailed, version + ": " + failure);
}

std::optional<CommandFailure> Agent::Start(Time now, const Plan& plan,
                                           const std::vector<MemberInfo>& members) {
  if (busy()) return InProgressFailure(rollout_ ? &rollout_->plan : nullptr);
  if (members.empty())
    return CommandFailure{CommandError::kNoMembers, "the membership has no members to upgrade"};
  const auto is_other = [&](const MemberInfo& member) { return member.name != identity_.name; };
  if (std::none_of(members.begin(), members.end(), is_other))
    return CommandFailure{
        CommandError::kNoMembers,
        "this member knows no other one, which would keep the plan while its process is replaced"};
  if (members.size() > Progress::kMaxAdmittedMembers)
    return CommandFailure{CommandError::kTooManyMembers,
                          fmt::format("the membership has {} members, but a rollout can have at most {}",
                                      members.size(), Progress::kMaxAdmittedMembers)};
  Document document = MakeRolloutDocument(last_epoch_ + 1, plan, identity_.name, members);
  JoinRollout(now, document.version, document.body);
  output_.documents.push_back(std::move(document));
  Record(
      now, EventKind::kStarted,
      fmt::format("{}: {} to {}, {} members", plan.name, plan.old_version, plan.new_version, members.size()));
  return std::nullopt;
}

std::optional<CommandFailure> Agent::Abort(Time now) {
  if (!rollout_ || progress_.status == RolloutStatus::kAborted)
    return CommandFailure{CommandError::kNothingToAbort, "there is no rollout to abort"};
  Progress aborted = progress_;
  aborted.status = RolloutStatus::kAborted;
  SetProgress(now, aborted);
  PublishProgress();
  Record(now, EventKind::kAborted, "by an operator at " + identity_.name);
  return std::nullopt;
}

std::optional<CommandFailure> Agent::Pause(Time now) { return SetPaused(now, true); }

std::optional<CommandFailure> Agent::Resume(Time now) { return SetPaused(now, false); }

std::optional<CommandFailure> Agent::SetPaused(Time now, bool paused) {
  if (!rollout_ || progress_.ended())
    return CommandFailure{CommandError::kNoRolloutInProgress, "no rollout is in progress"};
  if (progress_.paused() == paused)
    return paused ? CommandFailure{CommandError::kAlreadyPaused, "the rollout is already paused"}
                  : CommandFailure{CommandError::kNotPaused, "the rollout is not paused"};
  if (progress_.pause_count >= kMaxPauses)
    return CommandFailure{
        CommandError::kTooManyPauses,
        fmt::format("the rollout has been paused {} times, which is the limit", kMaxPauses / 2)};
  Progress next = progress_;
  ++next.pause_count;
  SetProgress(now, next);
  PublishProgress();
  Record(now, paused ? EventKind::kPaused : EventKind::kResumed, "by an operator at " + identity_.name);
  return std::nullopt;
}

std::string Agent::StatusJson(Time now) const {
  if (!rollout_) return FormatStatus(identity_.version, nullptr, now);
  const RolloutStatusView view{
      rollout_->id, rollout_->plan,           rollout_->order,    progress_,    rollout_->started_by,
      expired_,     election_.has_majority(), now - received_at_, leader_.get()};
  return FormatStatus(identity_.version, &view, now);
}

std::string Agent::HistoryJson() const { return FormatHistory(history_.steps()); }

Agent::Output Agent::TakeOutput() { return std::exchange(output_, {}); }

}  // namespace copperpoint::rollout
