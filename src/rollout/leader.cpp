// SPDX-License-Identifier: Apache-2.0
#include "rollout/leader.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

namespace copperpoint::rollout {
namespace {

using std::chrono::milliseconds;

constexpr Time kFresh = milliseconds(2500);  // a report; asked for twice a second
constexpr Time kLookEvery = milliseconds(1000);
constexpr double kMostCrashes = 3;       // times as many, by the time lived, as with the others
constexpr double kLongestWatch = 10;     // times `watch_s`, for the requests that are wanted
constexpr double kEnoughRequests = 200;  // of a member, before its costs are compared
constexpr double kDeviations = 6;        // of the others' costs, that the changed ones' must be off by
constexpr double kMemoryKb = 16384, kProcessorUs = 20;  // that no difference below counts

Time Seconds(double s) { return Time(static_cast<std::int64_t>(s * 1e6)); }

// What was counted more since `base`, both since the same process began.
wire::Stratum Since(const wire::Stratum& now, const std::vector<wire::Stratum>& base) {
  wire::Stratum more = now;
  const auto before = std::find_if(base.begin(), base.end(), [&](const wire::Stratum& one) {
    return one.request_class() == now.request_class() && one.tenant() == now.tenant();
  });
  if (before == base.end()) return more;
  const auto less = [](std::uint64_t a, std::uint64_t b) { return a > b ? a - b : 0; };
  more.set_requests(less(now.requests(), before->requests()));
  more.set_missed(std::min(more.requests(), less(now.missed(), before->missed())));
  more.set_rejected(less(now.rejected(), before->rejected()));
  more.set_failed(less(now.failed(), before->failed()));
  more.set_attempts(less(now.attempts(), before->attempts()));
  for (int i = 0; i < more.latency_buckets_size() && i < before->latency_buckets_size(); ++i)
    more.set_latency_buckets(i, now.latency_buckets(i) > before->latency_buckets(i)
                                    ? now.latency_buckets(i) - before->latency_buckets(i)
                                    : 0);
  return more;
}

struct Spread {
  double mean = 0, deviation = 0;
  std::size_t n = 0;
};
Spread Of(const std::vector<double>& values) {
  Spread of{0, 0, values.size()};
  if (values.empty()) return of;
  of.mean = std::accumulate(values.begin(), values.end(), 0.0) / static_cast<double>(values.size());
  for (const double value : values) of.deviation += (value - of.mean) * (value - of.mean);
  of.deviation = values.size() > 1 ? std::sqrt(of.deviation / static_cast<double>(values.size() - 1)) : 0;
  return of;
}

}  // namespace

const char* NameOf(Leader::Phase phase) {
  switch (phase) {
    case Leader::Phase::kGathering:
      return "gathering";
    case Leader::Phase::kChanging:
      return "changing";
    case Leader::Phase::kSettling:
      return "settling";
    case Leader::Phase::kWatching:
      return "watching";
  }
  return "unknown";
}

Leader::Leader(const Plan& plan, const UpgradeOrder& order)
    : plan_(plan),
      order_(order),
      members_(order.members.size()),
      comparison_(plan.guardrails, plan.stages.size(), order.members) {}

bool Leader::Fresh(Time now, const Member& member) const {
  return member.ever && now - member.heard <= kFresh;
}

bool Leader::Changed(const Member& member) const {
  return member.report.version() == plan_.new_version && member.report.ready();
}

int Leader::Heard(Time now, std::uint64_t change) const {
  int heard = 0;
  for (const Member& member : members_) heard += Fresh(now, member) && member.change == change;
  return heard;
}

void Leader::OnReport(Time asked_at, int rank, std::uint64_t change, const wire::MemberReport& report) {
  Member& member = members_[static_cast<std::size_t>(rank)];
  const bool same_life = member.ever && member.report.incarnation() == report.incarnation();
  // A keeper counts from when it began with a version, so that a leader that fell itself is not forgotten.
  if (report.version() == plan_.new_version) {
    member.crashes = report.crashes();
  } else if (member.crashes_known && report.crashes() > member.crashes_before) {
    member.crashes += report.crashes() - member.crashes_before;
  }
  member.crashes_before = report.crashes();
  member.crashes_known = true;
  member.ever = true;
  member.heard = std::max(member.heard, asked_at);
  member.change = change;
  member.report = report;
  std::uint64_t asked = 0;
  for (const wire::Stratum& stratum : report.strata())
    asked += stratum.tenant() == 0 ? stratum.requests() : 0;
  if (!same_life || member.base_life != report.incarnation()) {
    // A new process counts from its own beginning; what the one before counted last is lost, for both
    // cohorts.
    member.base.assign(report.strata().begin(), report.strata().end());
    member.base_life = report.incarnation();
    member.cpu_base = report.cpu_us();
    member.asked_base = asked;
  }
  member.asked = asked - std::min(asked, member.asked_base);
  member.cpu = report.cpu_us() - std::min<std::uint64_t>(report.cpu_us(), member.cpu_base);
  if (Changed(member)) member.was_new = true;
}

void Leader::Enter(Time now, Phase phase) {
  phase_ = phase;
  phase_since_ = now;
}

Leader::Decision Leader::Stop(const Progress& mark, const std::string& why) const {
  Progress next = mark;
  next.status = plan_.on_regression == RegressionAction::kRollBack ? RolloutStatus::kRolledBack
                                                                   : RolloutStatus::kStopped;
  return {next, "stopped", why};
}

void Leader::AddCounts(int rank, Member& member, bool changed) {
  for (const wire::Stratum& stratum : member.report.strata()) {
    const wire::Stratum more = Since(stratum, member.base);
    if (more.requests() > 0) comparison_.Add(rank, changed, more);
  }
  member.base.assign(member.report.strata().begin(), member.report.strata().end());
}

std::optional<std::string> Leader::Hard(Time now, const Progress& mark) const {
  double crashes[2] = {0, 0}, lived[2] = {0, 0};
  for (std::size_t i = 0; i < members_.size(); ++i) {
    const Member& member = members_[i];
    const std::string& name = order_.members[i].name;
    const bool allowed = i < mark.admitted_members;
    const bool changed = allowed && member.was_new;
    crashes[changed] += member.crashes;
    lived[changed] += 1;
    if (!allowed) continue;
    if (member.ever && !member.report.failure().empty())
      return fmt::format("{} did not keep {}: {}", name, plan_.new_version, member.report.failure());
    // One that is not heard counts against the change, unless the unchanged of its zone are not heard either.
    if (Fresh(now, member) || member.allowed == Time{}) continue;
    const Time since = std::max({member.heard, member.allowed, majority_since_}) +
                       Seconds(member.was_new ? plan_.contact_timeout_s : plan_.upgrade_timeout_s);
    if (now < since) continue;
    int others = 0, heard = 0;
    for (std::size_t j = 0; j < members_.size(); ++j) {
      if (j == i || j < mark.admitted_members || order_.members[j].zone != order_.members[i].zone) continue;
      ++others;
      heard += Fresh(now, members_[j]);
    }
    if (others == 0 || 2 * heard > others)
      return fmt::format("{} is not heard for {:.1f} s as {}, while {} of {} others of zone {} are", name,
                         std::chrono::duration<double>(now - member.heard).count(), plan_.new_version, heard,
                         others, order_.members[i].zone);
  }
  for (std::size_t i = 0; i < std::min<std::size_t>(mark.admitted_members, members_.size()); ++i) {
    const Member& member = members_[i];
    if (member.allowed == Time{} || member.was_new || !Fresh(now, member)) continue;
    if (now > std::max(member.allowed, majority_since_) + Seconds(plan_.upgrade_timeout_s))
      return fmt::format("{} is not back as {} after {:.0f} s", order_.members[i].name, plan_.new_version,
                         plan_.upgrade_timeout_s);
  }
  if (crashes[1] > 0 && lived[1] > 0 &&
      crashes[1] / lived[1] > kMostCrashes * (crashes[0] + 0.5) / std::max(1.0, lived[0]))
    return fmt::format("{:.0f} crashes of {:.0f} changed members, {:.0f} of {:.0f} others", crashes[1],
                       lived[1], crashes[0], lived[0]);
  return std::nullopt;
}

std::optional<std::string> Leader::Costs(const Progress& mark) const {
  std::vector<double> processor[2], memory[2];
  for (std::size_t i = 0; i < members_.size(); ++i) {
    const Member& member = members_[i];
    if (!member.ever || (i < mark.admitted_members && !Changed(member))) continue;
    const bool changed = i < mark.admitted_members;
    if (static_cast<double>(member.asked) >= kEnoughRequests)
      processor[changed].push_back(static_cast<double>(member.cpu) / static_cast<double>(member.asked));
    if (member.report.memory_kb() > 0) memory[changed].push_back(member.report.memory_kb());
  }
  const auto off = [](const std::vector<double>(&of)[2], double member_fraction,
                      double least) -> std::optional<Spread> {
    const Spread others = Of(of[0]), changed = Of(of[1]);
    if (others.n < 2 || changed.n < 1 || changed.mean - others.mean < least) return std::nullopt;
    const double noise = others.deviation * std::sqrt(1.0 / static_cast<double>(changed.n) +
                                                      1.0 / static_cast<double>(others.n));
    if (changed.mean < others.mean * (1 + member_fraction) ||
        changed.mean < others.mean + kDeviations * noise)
      return std::nullopt;
    return Spread{changed.mean, others.mean, changed.n};
  };
  if (const auto bad = off(processor, plan_.guardrails.processor_increase, kProcessorUs))
    return fmt::format("{:.0f} us of processor time a request, {:.0f} with the others", bad->mean,
                       bad->deviation);
  if (const auto bad = off(memory, plan_.guardrails.memory_increase, kMemoryKb))
    return fmt::format("{:.0f} kB of memory, {:.0f} with the others", bad->mean, bad->deviation);
  return std::nullopt;
}

std::optional<Leader::Decision> Leader::Look(Time now, const Progress& mark) {
  if (mark.ended()) return std::nullopt;
  if (began_ == Time{}) began_ = phase_since_ = now;
  for (std::size_t i = 0; i < members_.size(); ++i)
    if (i < mark.admitted_members && members_[i].allowed == Time{}) members_[i].allowed = now;
  const bool look = now >= next_look_;
  if (look) next_look_ = now + kLookEvery;

  const int stage = order_.StageOf(static_cast<int>(mark.admitted_members));
  const auto end = static_cast<std::uint32_t>(order_.stage_ends[static_cast<std::size_t>(stage)]);
  if (stage != stage_) {
    stage_ = stage;
    Enter(now, Phase::kChanging);
  }
  // Nothing is decided by one who does not hear a majority: it may be the one that is cut off.
  if (!HasMajority(now, mark.rollout_id)) {
    if (phase_ != Phase::kGathering) Enter(now, Phase::kGathering);
    return std::nullopt;
  }
  if (majority_since_ == Time{} || now - majority_at_ > kFresh) majority_since_ = now;
  majority_at_ = now;
  if (const auto why = Hard(now, mark)) return Stop(mark, *why);
  if (now - began_ > Seconds(plan_.time_limit_s)) return Stop(mark, "it took longer than limit_s");

  std::uint32_t out = 0;
  for (std::uint32_t i = 0; i < mark.admitted_members; ++i) {
    const Member& member = members_[i];
    out += !(Fresh(now, member) && Changed(member));
  }
  if (phase_ == Phase::kGathering) Enter(now, Phase::kChanging);
  if (mark.admitted_members < end || out > 0) {
    if (phase_ != Phase::kChanging) Enter(now, Phase::kChanging);
    if (mark.paused() || mark.admitted_members >= end ||
        out >= static_cast<std::uint32_t>(plan_.max_unavailable))
      return std::nullopt;
    // Never the last that serves in its zone.
    const MemberInfo& next = order_.members[mark.admitted_members];
    int serving = 0, others = 0;
    for (std::size_t i = 0; i < members_.size(); ++i) {
      if (i == mark.admitted_members || order_.members[i].zone != next.zone) continue;
      ++others;
      serving += Fresh(now, members_[i]) && members_[i].report.ready();
    }
    if (others > 0 && serving == 0) return std::nullopt;
    Progress raised = mark;
    ++raised.admitted_members;
    return Decision{raised, "member", next.name};
  }
  if (phase_ == Phase::kChanging) Enter(now, Phase::kSettling);
  if (phase_ == Phase::kSettling) {
    if (now - phase_since_ < Seconds(plan_.settle_time_s)) return std::nullopt;
    Enter(now, Phase::kWatching);
    comparison_.Begin();
    for (Member& member : members_) {
      member.base.assign(member.report.strata().begin(), member.report.strata().end());
      member.cpu_base = member.report.cpu_us();
      member.asked_base += member.asked;
    }
    return Decision{
        mark, "watching",
        fmt::format("stage {}, {} of {} changed", stage + 1, mark.admitted_members, members_.size())};
  }
  if (!look) return std::nullopt;
  for (std::size_t i = 0; i < members_.size(); ++i) {
    if (!Fresh(now, members_[i])) continue;
    const bool changed = i < mark.admitted_members;
    if (members_[i].report.version() != (changed ? plan_.new_version : plan_.old_version))
      continue;  // of neither cohort
    AddCounts(static_cast<int>(i), members_[i], changed);
  }
  comparison_.Close();
  if (const auto finding = comparison_.Worse())
    return Stop(mark, fmt::format("{} of {} is worse by {:.4f} with {} (score {:.1f}, bound {:.1f})",
                                  finding->measure, finding->where, finding->worse, plan_.new_version,
                                  finding->score, finding->bound));
  const Stage& of = plan_.stages[static_cast<std::size_t>(stage)];
  if (now - phase_since_ < Seconds(of.bake_time_s) || mark.paused()) return std::nullopt;
  if (const auto why = Costs(mark)) return Stop(mark, *why);
  if (comparison_.changed_requests() < static_cast<std::uint64_t>(of.min_canary_requests)) {
    if (now - phase_since_ < kLongestWatch * Seconds(of.bake_time_s)) return std::nullopt;
    return Stop(mark, fmt::format("only {} of {} requests in {:.0f} s: too few to tell",
                                  comparison_.changed_requests(), of.min_canary_requests,
                                  kLongestWatch * of.bake_time_s));
  }
  const auto& changed = comparison_.changed();
  const auto& others = comparison_.others();
  const std::string figures =
      fmt::format("stage {}: {:.0f} asked, {:.4f} missed; others {:.0f}, {:.4f}", stage + 1, changed.asked,
                  changed.missed / std::max(1.0, changed.asked), others.asked,
                  others.missed / std::max(1.0, others.asked));
  if (stage + 1 == static_cast<int>(order_.stage_ends.size())) {
    Progress done = mark;
    done.status = RolloutStatus::kCompleted;
    return Decision{done, "done", figures};
  }
  // The next stage begins with the first of its members.
  std::uint32_t next_end = end;
  for (std::size_t k = static_cast<std::size_t>(stage) + 1; k < order_.stage_ends.size() && next_end == end;
       ++k)
    next_end = static_cast<std::uint32_t>(order_.stage_ends[k]);
  Progress raised = mark;
  if (next_end == end) {
    raised.status = RolloutStatus::kCompleted;
    return Decision{raised, "done", figures};
  }
  ++raised.admitted_members;
  return Decision{raised, "stage", figures + "; next " + order_.members[mark.admitted_members].name};
}

}  // namespace copperpoint::rollout
