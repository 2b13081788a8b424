// SPDX-License-Identifier: Apache-2.0
#include "rollout/agent.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "config/read.h"

namespace copperpoint::rollout {
namespace {

using std::chrono::milliseconds;
using Json = nlohmann::ordered_json;

constexpr Time kTick = milliseconds(250);
constexpr Time kAskEvery = milliseconds(500);
constexpr Time kAroundEvery = milliseconds(500);
constexpr int kMostSteps = 200;
constexpr std::size_t kMostAsked = 32;  // questions whose answers still count
constexpr std::uint32_t kMostPauses = 1022;

Time Seconds(double s) { return Time(static_cast<std::int64_t>(s * 1e6)); }
double Of(Time time) { return std::chrono::duration<double>(time).count(); }

const char* NameOf(RolloutStatus course) {
  switch (course) {
    case RolloutStatus::kInProgress:
      return "going";
    case RolloutStatus::kCompleted:
      return "done";
    case RolloutStatus::kStopped:
      return "stopped";
    case RolloutStatus::kRolledBack:
      return "taken back";
    case RolloutStatus::kAborted:
      return "aborted";
  }
  return "unknown";
}

}  // namespace

Agent::Agent(Identity self, Lives lives, Counted counted)
    : self_(std::move(self)),
      lives_(std::move(lives)),
      counted_(std::move(counted)),
      running_(self_.version) {
  failed_version_ = self_.failed_version;
  failure_ = self_.failure;
  known_ = Progress::Decode(self_.progress);
}

bool Agent::AcceptsDocument(std::uint32_t topic, std::uint64_t version) const {
  if (!busy()) return true;
  // Without its document yet, it is the change that the process before was in.
  const std::uint64_t key = plan_ ? key_ : known_.rollout_id;
  if (topic == kPlanTopic) return RolloutIdOf(version) == key;
  if (topic != kProgressTopic) return true;
  // A later change that has begun has a majority: this one cannot go on any more.
  const Progress mark = Progress::Decode(version);
  return mark.rollout_id == key || (mark.rollout_id > key && mark.admitted_members > 0);
}

void Agent::OnDocument(Time now, std::uint32_t topic, std::uint64_t version, const std::string& body) {
  if (topic == kPlanTopic) return Hold(now, version, body);
  if (topic == kProgressTopic || topic == kFinalProgressTopic) {
    std::uint64_t& seen = topic == kProgressTopic ? seen_mark_ : seen_end_;
    seen = std::max(seen, version);
    const Progress mark = Progress::Decode(version);
    last_epoch_ = std::max(last_epoch_, static_cast<std::uint32_t>(mark.rollout_id >> 12));
    if (!plan_) {
      const bool same = mark.rollout_id == known_.rollout_id && version > known_.Encode();
      if (same || (mark.rollout_id > known_.rollout_id && mark.admitted_members > 0)) known_ = mark;
      return;
    }
    if (mark.rollout_id == key_ && version > progress_.Encode()) {
      SetProgress(now, mark);
    } else if (mark.rollout_id > key_ && mark.admitted_members > 0 && busy()) {
      // Superseded while this member was away. How it ended is not known here; what comes next is.
      Progress ended = progress_;
      ended.status = RolloutStatus::kStopped;
      SetProgress(now, ended);
    }
    return;
  }
  if (topic == kHistoryTopic && version > story_version_) {
    story_version_ = version;
    story_.ParseFromString(body);
  }
}

void Agent::Hold(Time now, std::uint64_t version, const std::string& body) {
  wire::RolloutDocument change;
  last_epoch_ = std::max(last_epoch_, EpochOf(version));
  if (version == version_ || !change.ParseFromString(body)) return;
  auto plan = std::make_unique<Plan>();
  try {
    *plan = ParsePlan(change.plan(), "the change of " + change.started_by());
  } catch (const config::BadFile&) {
    // Of a program that knows more than this one. It takes no part, and so is not counted for a majority.
    output_.events.push_back({"not_understood", "", "a plan that this program cannot read", 0});
    return;
  }
  std::vector<MemberInfo> members;
  for (const wire::Member& one : change.members()) members.push_back({one.name(), one.zone()});
  leader_.reset();
  plan_ = std::move(plan);
  version_ = version;
  key_ = RolloutIdOf(version);
  order_ = MakeUpgradeOrder(*plan_, std::move(members), key_);
  by_ = change.started_by();
  rank_ = order_.RankOf(self_.name);
  lead_ranks_.clear();
  for (const MemberInfo& one : order_.members)
    lead_ranks_.push_back(XXH64(one.name.data(), one.name.size(), key_ + 1));
  next_around_ = now;
  held_since_ = majority_at_ = now;
  back_at_ = Time{};
  progress_ = Progress{key_, RolloutStatus::kInProgress, 0, 0};
  // A process begun anew must not act on less than the one before it knew.
  // Nor on less than came before its document.
  for (const std::uint64_t seen : {known_.Encode(), seen_mark_, seen_end_})
    if (Progress::Decode(seen).rollout_id == key_ && seen > progress_.Encode())
      progress_ = Progress::Decode(seen);
  PublishProgress();
  majority_ = expired_ = false;
  next_ = now;
  Say("held", "begun at " + by_);
}

void Agent::SetProgress(Time now, const Progress& mark) {
  const Progress before = std::exchange(progress_, mark);
  output_.progress = progress_.Encode();
  next_ = now;
  if (mark.ended() && !before.ended()) {
    leader_.reset();
    Say(mark.status == RolloutStatus::kCompleted ? "done" : "ended", NameOf(mark.status));
  } else if (mark.paused() != before.paused()) {
    Say(mark.paused() ? "paused" : "resumed", "");
  } else if (mark.admitted_members != before.admitted_members) {
    Say("progress", "");
  }
}

// The end of a change that had begun is told apart from the marks of later ones, so that whoever was away
// learns it.
void Agent::PublishProgress() {
  output_.documents.push_back({kProgressTopic, progress_.Encode(), ""});
  if (progress_.ended() && progress_.admitted_members > 0)
    output_.documents.push_back({kFinalProgressTopic, progress_.Encode(), ""});
}

void Agent::Say(const std::string& name, const std::string& why) {
  output_.events.push_back({name, plan_ ? plan_->name : "", why, progress_.admitted_members});
}

void Agent::AddStep(Time now, const std::string& what, const std::string& why) {
  if (EpochOf(story_version_) != EpochOf(version_)) story_.clear_steps();
  if (story_.steps_size() >= kMostSteps) return;
  wire::Step& step = *story_.add_steps();
  step.set_event(what);
  step.set_reason(why);
  step.set_recorded_by(self_.name);
  step.set_admitted_members(progress_.admitted_members);
  step.set_age_ms(static_cast<std::uint64_t>(std::max<std::int64_t>(0, (now - held_since_).count() / 1000)));
  // More steps go before fewer; of two that tell as many, the greater hash.
  const std::string body = story_.SerializeAsString();
  story_version_ = DocumentVersion(EpochOf(version_), static_cast<std::uint32_t>(story_.steps_size()) << 20 |
                                                          (XXH32(body.data(), body.size(), 0) & 0xfffff));
  output_.documents.push_back({kHistoryTopic, story_version_, body});
}

void Agent::Run(const std::string& version, const std::string& why) {
  if (running_ == version) return;
  running_ = version;
  output_.requested_version = version;
  Say("run", version + ": " + why);
}

wire::MemberReport Agent::Report() const {
  wire::MemberReport report = counted_();
  report.set_version(self_.version);
  report.set_incarnation(self_.incarnation);
  report.set_supervised(!self_.version.empty());
  if (plan_ && failed_version_ == plan_->new_version) report.set_failure(failure_);
  return report;
}

wire::AgentMessage Agent::Begin() const {
  wire::AgentMessage letter;
  letter.set_rollout_id(expired_ ? 0 : key_);
  letter.set_progress(progress_.Encode());
  return letter;
}

void Agent::OnMessage(Time now, const std::string& from, std::string_view body) {
  wire::AgentMessage letter;
  if (!letter.ParseFromArray(body.data(), static_cast<int>(body.size()))) return;
  if (letter.has_request()) {
    wire::AgentMessage answer = Begin();
    *answer.mutable_report() = Report();
    answer.set_request_number(letter.request().number());
    output_.messages.push_back({from, answer.SerializeAsString()});
  }
  if (plan_ && letter.rollout_id() == key_ && letter.progress() > progress_.Encode()) {
    SetProgress(now, Progress::Decode(letter.progress()));
    PublishProgress();
  }
  if (letter.has_report() && leader_) {
    // It counts from when it was asked for: what waited here while this process stood still is old.
    const int rank = order_.RankOf(from);
    const std::uint32_t before = asked_ - letter.request_number();
    if (rank >= 0 && before < asked_at_.size())
      leader_->OnReport(asked_at_[asked_at_.size() - 1 - before], rank, letter.rollout_id(), letter.report());
  }
}

// Of the members of the change that live, the one whose hash with the change is the greatest leads.
void Agent::LookAround(Time now) {
  if (now < next_around_) return;
  next_around_ = now + kAroundEvery;
  living_ = rank_ >= 0;
  first_ = rank_ >= 0;
  for (std::size_t i = 0; i < order_.members.size(); ++i) {
    if (static_cast<int>(i) == rank_ || !lives_(order_.members[i].name)) continue;
    ++living_;
    if (rank_ >= 0 && lead_ranks_[i] > lead_ranks_[static_cast<std::size_t>(rank_)]) first_ = false;
  }
  majority_ = 2 * living_ > static_cast<int>(order_.members.size());
  if (majority_) majority_at_ = now;
}

void Agent::OnTick(Time now) {
  next_ = now + kTick;
  if (!plan_) return;
  LookAround(now);
  if (!progress_.ended() && progress_.admitted_members == 0 &&
      now - held_since_ > Seconds(plan_->start_timeout_s)) {
    // It never began, as far as this member knows, and must not keep another from beginning. If it has begun
    // after all, progress will tell; an end of its own would end it for those, too.
    if (!std::exchange(expired_, true)) {
      Say("expired", "no majority held to it within start_within_s");
      AddStep(now, "expired", "no majority held to it within start_within_s");
      leader_.reset();
    }
    return;
  }
  expired_ = false;
  LookAtTurn(now);
  LookAtLead(now);
}

// What this member is to run, by what it knows alone.
void Agent::LookAtTurn(Time now) {
  if (rank_ < 0 || self_.version.empty()) return;
  const bool is_new = running_ == plan_->new_version;
  if (progress_.requires_rollback()) {
    if (!is_new) return;
    // A few at a time, the last to change first, without a word from anybody.
    if (back_at_ == Time{}) {
      const int behind = std::max(0, static_cast<int>(progress_.admitted_members) - 1 - rank_);
      back_at_ = now + (behind / plan_->max_unavailable) * Seconds(plan_->rollback_interval_s);
    }
    if (now >= back_at_) Run(plan_->old_version, std::string("the change was ") + NameOf(progress_.status));
    return;
  }
  if (is_new) {
    const bool alone = now - majority_at_ > Seconds(plan_->isolation_timeout_s);
    if (!progress_.ended() && plan_->isolation_timeout_s > 0 && alone)
      Run(plan_->old_version, "no majority is heard");
    return;
  }
  if (progress_.ended() && progress_.status != RolloutStatus::kCompleted) return;
  // Only from the version that the plan names, only where it was not taken back before, and not out of a
  // corner.
  const bool turn = rank_ < static_cast<int>(progress_.admitted_members) && running_ == plan_->old_version;
  if (turn && failed_version_ != plan_->new_version && majority_) Run(plan_->new_version, "its turn");
}

void Agent::LookAtLead(Time now) {
  if (progress_.ended() || !first_) {
    leader_.reset();
    return;
  }
  if (!leader_) {
    leader_ = std::make_unique<Leader>(*plan_, order_);
    next_ask_ = now;
    asked_at_.clear();
    Say("leads", "");
  }
  if (now >= next_ask_) {
    next_ask_ = now + kAskEvery;
    wire::AgentMessage ask = Begin();
    ask.mutable_request()->set_number(++asked_);
    asked_at_.push_back(now);
    if (asked_at_.size() > kMostAsked) asked_at_.pop_front();
    const std::string body = ask.SerializeAsString();
    for (const MemberInfo& one : order_.members)
      if (one.name != self_.name) output_.messages.push_back({one.name, body});
    leader_->OnReport(now, rank_, key_, Report());
  }
  const auto decision = leader_->Look(now, progress_);
  if (!decision) return;
  if (decision->mark.Encode() > progress_.Encode()) {
    progress_ = decision->mark;
    output_.progress = progress_.Encode();
    PublishProgress();
  }
  Say(decision->what, decision->why);
  AddStep(now, decision->what, decision->why);
  if (progress_.ended()) leader_.reset();
  next_ = now;
}

void Agent::OnVersionFailed(const std::string& version, const std::string& why) {
  failed_version_ = version;
  failure_ = why;
  running_ = self_.version;
  Say("failed", version + ": " + why);
}

std::string Agent::Start(Time now, const Plan& plan, std::vector<MemberInfo> members) {
  if (busy()) return plan_ ? "the change '" + plan_->name + "' is under way" : "a change is under way";
  if (members.empty()) return "there are no members to change";
  if (members.size() > 32767) return "more than 32,767 members";
  wire::RolloutDocument change;
  change.set_plan(FormatPlan(plan));
  change.set_started_by(self_.name);
  for (const MemberInfo& one : members) {
    wire::Member& named = *change.add_members();
    named.set_name(one.name);
    named.set_zone(one.zone);
  }
  const std::string body = change.SerializeAsString();
  const std::uint64_t version = DocumentVersion(last_epoch_ + 1, XXH32(body.data(), body.size(), 0));
  Hold(now, version, body);
  output_.documents.push_back({kPlanTopic, version, body});
  AddStep(
      now, "begun",
      fmt::format("{}: {} to {}, {} members", plan.name, plan.old_version, plan.new_version, members.size()));
  return "";
}

std::string Agent::Abort(Time now) {
  if (!plan_ || progress_.status == RolloutStatus::kAborted) return "there is no change to abort";
  Progress aborted = progress_;
  aborted.status = RolloutStatus::kAborted;
  SetProgress(now, aborted);
  PublishProgress();
  AddStep(now, "aborted", "by an operator at " + self_.name);
  return "";
}

std::string Agent::Pause(Time now, bool pause) {
  if (!plan_ || progress_.ended()) return "there is no change under way";
  if (progress_.paused() == pause) return pause ? "it pauses already" : "it does not pause";
  if (progress_.pause_count >= kMostPauses) return "it has paused too often";
  Progress next = progress_;
  ++next.pause_count;
  SetProgress(now, next);
  PublishProgress();
  AddStep(now, pause ? "paused" : "resumed", "by an operator at " + self_.name);
  return "";
}

std::string Agent::Status(Time now) const {
  Json json{{"version", self_.version}};
  if (!plan_) {
    json["change"] = nullptr;
    return json.dump();
  }
  json["change"] = {{"name", plan_->name},
                    {"from", plan_->old_version},
                    {"to", plan_->new_version},
                    {"by", by_},
                    {"course", expired_ ? "never began" : NameOf(progress_.status)},
                    {"paused", progress_.paused()},
                    {"members", order_.members.size()},
                    {"may_have_changed", progress_.admitted_members},
                    {"stages", order_.stage_ends},
                    {"held_s", Of(now - held_since_)},
                    {"majority_lives", majority_}};
  json["leads"] = leader_ != nullptr;
  if (!leader_) return json.dump();
  json["phase"] = rollout::NameOf(leader_->phase());
  json["phase_s"] = Of(now - leader_->phase_since());
  json["heard"] = leader_->Heard(now, key_);
  const auto cohort = [](const Comparison::Cohort& of) {
    return Json{{"asked", of.asked},
                {"missed", of.missed},
                {"refused", of.refused},
                {"failed", of.failed},
                {"attempts", of.attempts}};
  };
  json["changed"] = cohort(leader_->comparison().changed());
  json["others"] = cohort(leader_->comparison().others());
  auto& members = json["cohorts"] = Json::array();
  for (std::size_t i = 0; i < order_.members.size(); ++i) {
    const Leader::Member& member = leader_->members()[i];
    members.push_back({{"name", order_.members[i].name},
                       {"zone", order_.members[i].zone},
                       {"allowed", i < progress_.admitted_members},
                       {"version", member.report.version()},
                       {"ready", member.report.ready()},
                       {"heard_s", member.ever ? Of(now - member.heard) : -1},
                       {"crashes", member.crashes}});
  }
  return json.dump();
}

std::string Agent::History(Time) const {
  Json json = Json::array();
  for (const wire::Step& step : story_.steps())
    json.push_back({{"at_s", static_cast<double>(step.age_ms()) / 1000},
                    {"what", step.event()},
                    {"why", step.reason()},
                    {"by", step.recorded_by()},
                    {"prefix", step.admitted_members()}});
  return json.dump();
}

Agent::Output Agent::TakeOutput() { return std::exchange(output_, {}); }

}  // namespace copperpoint::rollout
