// SPDX-License-Identifier: Apache-2.0
#include "fault_testing/run_evaluator.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>

#include "fault_testing/quantile.h"

namespace copperpoint::fault_testing {
namespace {

std::vector<bool> MemberMask(const Plan& plan, const std::vector<int>& members) {
  std::vector<bool> mask(static_cast<std::size_t>(plan.members));
  for (const int member : members) mask[static_cast<std::size_t>(member)] = true;
  return mask;
}

}  // namespace

RunEvaluator::RunEvaluator(const Plan& plan, std::uint64_t seed, double contact_timeout_s)
    : plan_(plan),
      seed_(seed),
      contact_timeout_s_(contact_timeout_s),
      run_periods_(static_cast<std::size_t>(plan.members)),
      pause_periods_(static_cast<std::size_t>(plan.members)),
      last_fault_end_s_(LastFaultEnd(plan)) {
  for (const Fault& fault : plan.faults) {
    if (fault.when.empty()) AddPartition(fault, fault.at_s);
  }
}

void RunEvaluator::AddPartition(const Fault& fault, double from) {
  if (fault.kind != FaultKind::kCut && !(fault.kind == FaultKind::kLoss && fault.amount >= 0.5)) return;
  Partition partition{from, fault.for_s > 0 ? from + fault.for_s : plan_.length_s, {}, {}};
  partition.senders = MemberMask(plan_, SelectMembers(plan_, fault.who, seed_));
  partition.receivers = MemberMask(plan_, SelectMembers(plan_, fault.to, seed_));
  if (fault.to.empty()) {
    partition.receivers = partition.senders;
    partition.receivers.flip();
  }
  partitions_.push_back(std::move(partition));
}

void RunEvaluator::OnFaultTriggered(double at, const Fault& fault) {
  AddPartition(fault, at);
  last_fault_end_s_ = std::max(last_fault_end_s_, at + fault.for_s);
}

void RunEvaluator::OnStarted(double at, int member) {
  run_periods_[static_cast<std::size_t>(member)].push_back({at});
}

void RunEvaluator::OnEnded(double at, int member, bool graceful) {
  auto& runs = run_periods_[static_cast<std::size_t>(member)];
  if (runs.empty() || runs.back().to >= 0) return;
  runs.back().to = at;
  runs.back().graceful = graceful;
  if (!graceful) crashes_.push_back({at, member, {}});
}

void RunEvaluator::OnPaused(double at, int member) {
  pause_periods_[static_cast<std::size_t>(member)].push_back({at});
}
void RunEvaluator::OnResumed(double at, int member) {
  auto& pauses = pause_periods_[static_cast<std::size_t>(member)];
  if (!pauses.empty()) pauses.back().to = at;
}

// The direction of the partition does not matter: a member may be declared dead if it is unreachable either
// way.
bool RunEvaluator::WasPartitioned(int a, int b, double at) const {
  const auto x = static_cast<std::size_t>(a), y = static_cast<std::size_t>(b);
  return std::any_of(partitions_.begin(), partitions_.end(), [&](const Partition& partition) {
    // Suspicions and deaths declared during the partition may still spread for two contact timeouts after
    // its end.
    return at >= partition.from && at <= partition.to + 2 * contact_timeout_s_ &&
           ((partition.senders[x] && partition.receivers[y]) ||
            (partition.senders[y] && partition.receivers[x]));
  });
}

void RunEvaluator::OnDeclaredDead(double at, int observer, int subject) {
  const auto& runs = run_periods_[static_cast<std::size_t>(subject)];
  for (auto crash = crashes_.rbegin(); crash != crashes_.rend(); ++crash) {
    if (crash->subject != subject) continue;
    crash->detected_at.try_emplace(observer, at);
    break;
  }
  if (runs.empty() || runs.back().to >= 0) return;  // correct: no process of the subject runs
  if (runs.size() > 1 && at - runs.back().from < 2 * contact_timeout_s_)
    return;  // late gossip about the previous process
  if (WasPartitioned(observer, subject, at)) return;
  const auto& pauses = pause_periods_[static_cast<std::size_t>(subject)];
  if (!pauses.empty() && (pauses.back().to < 0 || at - pauses.back().to < contact_timeout_s_) &&
      (pauses.back().to < 0 ? at : pauses.back().to) - pauses.back().from >= contact_timeout_s_ - 0.3)
    return;  // the subject was paused for the contact timeout or longer, with 0.3 s of tolerance
  false_removals_.push_back({at, observer, subject});
}

void RunEvaluator::OnAgreement(double at, bool agreed) {
  if (agreement_.empty() || agreement_.back().second != agreed) agreement_.emplace_back(at, agreed);
}

void RunEvaluator::AddByteRates(double per_s_out, double per_s_in) {
  bytes_out_ = std::max(bytes_out_, per_s_out);
  bytes_in_ = std::max(bytes_in_, per_s_in);
}

void RunEvaluator::AddRequests(std::uint64_t served, std::uint64_t requests) {
  served_requests_ += served;
  requests_ += requests;
}

bool RunEvaluator::RanThroughout(int member, double from, double to) const {
  for (const Period& period : run_periods_[static_cast<std::size_t>(member)])
    if (period.from < from && (period.to < 0 || period.to > to)) return true;
  return false;
}

nlohmann::ordered_json RunEvaluator::EvaluateDetection(double end, double* worst,
                                                       std::vector<std::string>* failures) const {
  std::vector<double> first_delays, last_delays;
  *worst = 0;
  for (const Crash& crash : crashes_) {
    double earliest = end, latest = 0;
    // After a restart, members may learn of the new process without hearing of the crash of the old one.
    const auto& runs = run_periods_[static_cast<std::size_t>(crash.subject)];
    const bool restarted =
        std::any_of(runs.begin(), runs.end(), [&](const Period& period) { return period.from > crash.at; });
    for (int member = 0; member < plan_.members; ++member) {
      if (member == crash.subject || WasPartitioned(member, crash.subject, crash.at)) continue;
      const auto found = crash.detected_at.find(member);
      if (found != crash.detected_at.end()) {
        earliest = std::min(earliest, found->second - crash.at);
        latest = std::max(latest, found->second - crash.at);
      } else if (!restarted && RanThroughout(member, crash.at, end)) {
        latest = end - crash.at;
        failures->push_back(fmt::format("{} never detected that {} crashed at {:.2f} s", MemberName(member),
                                        MemberName(crash.subject), crash.at));
      }
    }
    if (latest == 0) continue;
    first_delays.push_back(earliest);
    last_delays.push_back(latest);
    *worst = std::max(*worst, latest);
  }
  return {{"ends", first_delays.size()},
          {"first_p50_s", Quantile(first_delays, 0.5)},
          {"first_p99_s", Quantile(first_delays, 0.99)},
          {"all_p50_s", Quantile(last_delays, 0.5)},
          {"all_p99_s", Quantile(last_delays, 0.99)}};
}

std::vector<double> RunEvaluator::DetectionDelays() const {
  std::vector<double> delays;
  if (crashes_.empty()) return delays;
  for (const auto& [observer, at] : crashes_.front().detected_at) delays.push_back(at - crashes_.front().at);
  std::sort(delays.begin(), delays.end());
  return delays;
}

RunEvaluator::Evaluation RunEvaluator::Evaluate(double at, bool with_process_properties) {
  Evaluation evaluation;
  auto& results = evaluation.json["properties"] = nlohmann::ordered_json::array();
  for (const Property& property : plan_.properties) {
    const bool needs_processes =
        property.kind == PropertyKind::kServedAtLeast || property.kind == PropertyKind::kTrafficShare ||
        property.kind == PropertyKind::kRunsAtEnd || property.kind == PropertyKind::kEverRan;
    if (needs_processes && !with_process_properties) continue;
    nlohmann::ordered_json result{{"kind", NameOf(property.kind)}, {"bound", property.bound}};
    bool holds = true;
    std::vector<std::string> failures;
    switch (property.kind) {
      case PropertyKind::kSettlesWithin: {
        const double from = property.after_s >= 0 ? property.after_s : last_fault_end_s_;
        const bool agreed = !agreement_.empty() && agreement_.back().second;
        const double duration_s = agreed ? std::max(0.0, agreement_.back().first - from) : at - from;
        holds = agreed && duration_s <= property.bound;
        result["settled"] = agreed;
        result["seconds"] = duration_s;
        if (!holds)
          failures.push_back(
              agreed
                  ? fmt::format("the members agreed {:.2f} s after the reference time, {:.2f} s", duration_s,
                                from)
                  : fmt::format(
                        "the members did not agree by the end, {:.2f} s after the reference time, {:.2f} s",
                        at - from, from));
        break;
      }
      case PropertyKind::kKnownWithin: {
        double worst = 0;
        result.update(EvaluateDetection(at, &worst, &failures));
        result["worst_s"] = worst;
        holds = worst <= property.bound;
        if (!holds)
          failures.push_back(
              fmt::format("the slowest detection of a crash by all members took {:.2f} s or did not complete "
                          "in that time",
                          worst));
        break;
      }
      case PropertyKind::kNeverRemoved: {
        holds = static_cast<double>(false_removals_.size()) <= property.bound;
        result["times"] = false_removals_.size();
        for (std::size_t i = 0; !holds && i < std::min<std::size_t>(10, false_removals_.size()); ++i)
          failures.push_back(fmt::format("{:.3f} s: {} declared {} dead, which was running and reachable",
                                         false_removals_[i].at, MemberName(false_removals_[i].observer),
                                         MemberName(false_removals_[i].subject)));
        break;
      }
      case PropertyKind::kBytesAtMost:
        holds = bytes_out_ > 0 && bytes_out_ <= property.bound && bytes_in_ <= property.bound;
        result["out_per_s"] = bytes_out_;
        result["in_per_s"] = bytes_in_;
        if (!holds)
          failures.push_back(fmt::format("up to {:.0f} bytes/s sent and {:.0f} received by a member",
                                         bytes_out_, bytes_in_));
        break;
      case PropertyKind::kServedAtLeast: {
        const double share =
            requests_ ? static_cast<double>(served_requests_) / static_cast<double>(requests_) : 0;
        holds = requests_ > 0 && share >= property.bound;
        result["served"] = share;
        result["asked"] = requests_;
        if (!holds)
          failures.push_back(fmt::format("{} of {} requests were served", served_requests_, requests_));
        break;
      }
      case PropertyKind::kRefusedSome:
        holds = static_cast<double>(rejected_datagrams_) >= property.bound;
        result["refused"] = rejected_datagrams_;
        if (!holds) failures.push_back(fmt::format("{} datagrams were rejected", rejected_datagrams_));
        break;
      case PropertyKind::kRunsAtEnd: {
        const auto others =
            std::count_if(final_versions_.begin(), final_versions_.end(),
                          [&](const std::string& one) { return !one.empty() && one != property.version; });
        holds = !final_versions_.empty() && others == 0;
        result["others"] = others;
        for (std::size_t i = 0; !holds && i < final_versions_.size(); ++i)
          if (!final_versions_[i].empty() && final_versions_[i] != property.version)
            failures.push_back(MemberName(static_cast<int>(i)) + " runs " + final_versions_[i] +
                               " at the end");
        break;
      }
      case PropertyKind::kEverRan: {
        const auto ran =
            std::count_if(versions_run_.begin(), versions_run_.end(),
                          [&](const std::set<std::string>& one) { return one.contains(property.version); });
        holds = static_cast<double>(ran) <= property.bound;
        result["ran"] = ran;
        if (!holds) failures.push_back(fmt::format("{} members started {}", ran, property.version));
        break;
      }
      case PropertyKind::kTrafficShare: {
        std::uint64_t total = 0, selected = 0;
        for (const std::uint64_t executions : executions_) total += executions;
        for (const int backend : SelectBackends(plan_, property.who, seed_))
          if (backend >= 0) selected += executions_[static_cast<std::size_t>(backend)];
        const double share = total ? static_cast<double>(selected) / static_cast<double>(total) : 1;
        holds = total > 0 && share <= property.bound;
        result["share"] = share;
        result["runs"] = total;
        if (!holds)
          failures.push_back(
              fmt::format("{} of {} executions were at the selected backends", selected, total));
        break;
      }
      case PropertyKind::kHoldersEven: {
        double sum = 0, squares = 0;
        for (const int n : connected_proxies_) sum += n, squares += static_cast<double>(n) * n;
        const double mean = sum / static_cast<double>(std::max<std::size_t>(1, connected_proxies_.size()));
        const double mean_square =
            squares / static_cast<double>(std::max<std::size_t>(1, connected_proxies_.size()));
        const double deviation = std::sqrt(std::max(0.0, mean_square - mean * mean));
        holds = sum > 0 && deviation <= property.bound * mean;
        result["mean"] = mean;
        result["deviation"] = deviation;
        result["by_backend"] = connected_proxies_;
        if (!holds)
          failures.push_back(fmt::format(
              "connected proxies by backend: mean {:.1f}, standard deviation {:.2f}", mean, deviation));
        break;
      }
    }
    result["holds"] = holds;
    evaluation.holds &= holds;
    for (std::string& line : failures)
      if (!holds) evaluation.failures.push_back(NameOf(property.kind) + ": " + line);
    results.push_back(std::move(result));
  }
  for (const std::string& rule : rule_violations_) evaluation.failures.push_back("broken rule: " + rule);
  evaluation.holds &= rule_violations_.empty();
  for (const std::string& when : untriggered_)
    evaluation.failures.push_back("condition '" + when +
                                  "' never occurred, so the fault that waits for it was not injected");
  evaluation.holds &= untriggered_.empty();
  evaluation.json["rules_broken"] = rule_violations_.size();
  return evaluation;
}

}  // namespace copperpoint::fault_testing
