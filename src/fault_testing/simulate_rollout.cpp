// SPDX-License-Identifier: Apache-2.0
#include "fault_testing/simulate_rollout.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/random/binomial_distribution.hpp>
#include <boost/random/poisson_distribution.hpp>
#include <cmath>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>

#include "rollout/agent.h"
#include "rollout/latency_histogram.h"
#include "rollout/plan_parser.h"
#include "simulation/core/event_queue.h"
#include "simulation/core/random.h"

namespace copperpoint::fault_testing {
namespace {

using membership::Time;
using rollout::Agent;
using simulation::FromMs;
using simulation::Micros;

constexpr Micros kSecond = 1'000'000;
constexpr Micros kMessageDelay = 1'000;  // of a message between members, one way
// A member compares its documents with another one's this often.
constexpr Micros kPullInterval = 200'000;
constexpr Micros kFailureDetectionDelay = 2'600'000;  // until the others consider a crashed member dead
// A stage may start if the leader's contact with a majority is at most this old.
constexpr double kMajorityContactTimeoutS = 4;
constexpr const char* kFaultNames[] = {"cut",   "one way", "kill",        "pause",        "loss",
                                       "abort", "plan",    "kill leader", "pause leader", "cut leader"};

double Seconds(Micros at) { return static_cast<double>(at) / kSecond; }

class Trial {
 public:
  Trial(const rollout::Plan& plan, const TrialOptions& options)
      : plan_(plan), options_(options), random_(options.seed, "trial"), traffic_(options.seed, "traffic") {}
  TrialResult Play();

 private:
  struct Node {
    std::string name, zone;
    std::string version;  // of its process
    std::unique_ptr<Agent> agent;
    std::uint64_t incarnation = 0;
    // When its process is ready; during a version switch, when the new process takes over.
    Micros ready_at = 0;
    Micros up_since = 0;
    Micros paused_until = 0;  // its process is paused until then
    Micros down_until = 0;    // its process is killed and starts again then
    Micros down_since = 0;
    std::string target_version;  // of a version switch in progress; empty: none
    std::uint32_t crashes = 0;
    bool isolated = false;
    std::map<std::uint32_t, std::pair<std::uint64_t, std::string>> documents;  // by topic
    std::vector<rollout::wire::Stratum> strata;  // by class, followed by those by class and tenant
    double cpu_us = 0, memory_kb = 30000;
    double rate = 0, missed_share = 0;
    std::deque<std::pair<int, std::string>> queued_messages;  // received while paused: sender and body
    bool ran_new_version = false;
    std::set<std::uint64_t> known_ended_rollouts;  // rollouts that it knows to be rolled back
    std::uint64_t stored_progress = 0;             // the progress marker that its supervisor stores
    std::string failed_version, failure_reason;
    Micros rolled_back_at = 0;
  };
  struct Message {
    Micros at = 0;
    int from = 0, to = 0;
    std::string body;
    bool operator<(const Message& other) const { return at > other.at; }
  };
  struct Partition {
    Micros from = 0, to = 0;
    std::vector<bool> on_first_side;
    bool one_way = false;
  };

  Node& At(int i) { return nodes_[static_cast<std::size_t>(i)]; }
  bool IsUp(const Node& node) const { return now_ >= node.down_until && node.agent != nullptr; }
  bool IsPaused(const Node& node) const { return now_ < node.paused_until; }
  bool CanReach(int from, int to) const;
  bool IsConsideredAlive(int observer, const std::string& name) const;
  void StartProcess(int i, const std::string& version);
  void ProcessOutput(int i);
  void SwitchVersion(int i, const std::string& version);
  void Tick(int i);
  void PullDocuments(int i);
  void SimulateTraffic();
  void DrawFaults();
  void InjectFault(int kind);
  int CurrentLeader() const;
  void ReportViolation(const std::string& what);
  bool IsSettled() const;
  rollout::wire::MemberReport MakeReport(const Node& node) const;

  const rollout::Plan& plan_;
  const TrialOptions& options_;
  simulation::Random random_, traffic_;
  Micros now_ = 0;
  std::vector<Node> nodes_;
  std::unordered_map<std::string, int> by_name_;
  std::vector<Message> messages_;  // in flight; a heap with the earliest first
  std::vector<Partition> partitions_;
  std::vector<std::pair<Micros, int>> pending_faults_;  // times and indexes into kFaultNames, by time
  std::vector<std::string> event_log_;
  Micros last_fault_end_ = 0, lossy_until_ = 0;
  std::set<std::uint64_t> aborted_rollouts_;
  TrialResult result_;
};

bool Trial::CanReach(int from, int to) const {
  for (const Partition& partition : partitions_) {
    if (now_ < partition.from || now_ >= partition.to) continue;
    const bool a = partition.on_first_side[static_cast<std::size_t>(from)],
               b = partition.on_first_side[static_cast<std::size_t>(to)];
    if (a != b && (!partition.one_way || a)) return false;
  }
  return !nodes_[static_cast<std::size_t>(from)].isolated ||
         nodes_[static_cast<std::size_t>(from)].version != plan_.new_version;
}

bool Trial::IsConsideredAlive(int observer, const std::string& name) const {
  const int i = by_name_.at(name);
  const Node& subject = nodes_[static_cast<std::size_t>(i)];
  if (now_ < subject.down_until) return now_ < subject.down_since + kFailureDetectionDelay;
  for (const Partition& partition : partitions_) {
    if (now_ < partition.from + kFailureDetectionDelay || now_ >= partition.to) continue;
    if (partition.on_first_side[static_cast<std::size_t>(observer)] !=
            partition.on_first_side[static_cast<std::size_t>(i)] &&
        !partition.one_way)
      return false;
  }
  return !(subject.isolated && subject.version == plan_.new_version);
}

rollout::wire::MemberReport Trial::MakeReport(const Node& node) const {
  rollout::wire::MemberReport report;
  report.set_ready(now_ >= node.ready_at && node.target_version.empty());
  report.set_crashes(node.crashes);
  for (const auto& stratum : node.strata) *report.add_strata() = stratum;
  report.set_cpu_us(static_cast<std::uint64_t>(node.cpu_us));
  report.set_memory_kb(static_cast<std::uint32_t>(node.memory_kb));
  return report;
}

// Replaces the member's process with a new one of `version`.
void Trial::StartProcess(int i, const std::string& version) {
  Node& node = At(i);
  if (node.version != version) node.crashes = 0;
  node.version = version;
  ++node.incarnation;
  node.up_since = now_;
  node.documents.clear();
  node.queued_messages.clear();
  node.isolated = options_.regression == Regression::kIsolated;
  node.cpu_us = 0;
  node.memory_kb = 30000;
  for (auto& stratum : node.strata) {
    rollout::wire::Stratum fresh;
    fresh.set_request_class(stratum.request_class());
    fresh.set_tenant(stratum.tenant());
    stratum = fresh;
  }
  node.agent = std::make_unique<Agent>(
      Agent::Identity{node.name, version, static_cast<std::uint64_t>(i) << 20 | node.incarnation,
                      node.stored_progress, node.failed_version, node.failure_reason},
      [this, i](const std::string& name) { return IsConsideredAlive(i, name); },
      [this, i] { return MakeReport(At(i)); });
  if (version == plan_.new_version) {
    node.ran_new_version = true;
    if (result_.first_s == 0) result_.first_s = Seconds(now_);
  }
}

// Emulates a supervisor's response when the agent in its process requests `version`.
void Trial::SwitchVersion(int i, const std::string& version) {
  Node& node = At(i);
  const Micros duration = FromMs(random_.Between(800, 2000));
  if (version == plan_.new_version && node.known_ended_rollouts.contains(node.agent->progress().rollout_id))
    ReportViolation(node.name +
                    " switches to the new version although it knows that the rollout is rolled back");
  if (version == plan_.new_version && options_.regression == Regression::kDoesNotStart) {
    if (result_.first_s == 0) result_.first_s = Seconds(now_);
    node.ran_new_version = true;
    node.failed_version = version;
    node.failure_reason = "the process did not become ready";
    node.agent->OnVersionFailed(version, node.failure_reason);
    return ProcessOutput(i);
  }
  node.target_version = version;
  node.ready_at = now_ + duration;
}

void Trial::ProcessOutput(int i) {
  Node& node = At(i);
  Agent::Output output = node.agent->TakeOutput();
  for (auto& message : output.messages) {
    const auto to = by_name_.find(message.to);
    if (to == by_name_.end() || !CanReach(i, to->second)) continue;
    if (now_ < lossy_until_ && random_.Chance(0.3)) continue;
    messages_.push_back({now_ + kMessageDelay, i, to->second, std::move(message.body)});
    std::push_heap(messages_.begin(), messages_.end());
  }
  for (auto& document : output.documents) {
    auto& stored = node.documents[document.topic];
    if (document.version > stored.first) stored = {document.version, document.body};
  }
  for (const rollout::Event& event : output.events) {
    if (options_.record_events)
      event_log_.push_back(fmt::format("{:.2f} s: {} ({}) {} {}, {} members admitted", Seconds(now_),
                                       node.name, event.rollout_name, rollout::NameOf(event.kind),
                                       event.reason, event.admitted_members));
    if (event.kind == rollout::EventKind::kStageStarted) {
      // A stage may only start if its leader is in contact with a majority.
      int reachable = 0;
      for (int j = 0; j < options_.members; ++j) {
        bool is_reachable = j == i;
        if (!is_reachable && IsUp(At(j))) is_reachable = CanReach(i, j) && CanReach(j, i);
        // After a partition or crash began, earlier contacts still count for kMajorityContactTimeoutS.
        for (const Partition& partition : partitions_)
          is_reachable |= IsUp(At(j)) && now_ >= partition.from &&
                          now_ < partition.from + static_cast<Micros>(kMajorityContactTimeoutS * kSecond);
        reachable += is_reachable ||
                     (At(j).down_since > 0 &&
                      now_ < At(j).down_since + static_cast<Micros>(kMajorityContactTimeoutS * kSecond));
      }
      if (2 * reachable <= options_.members)
        ReportViolation(node.name + " started a stage without contact with a majority");
    }
    if (event.kind == rollout::EventKind::kStopped && result_.why.empty()) result_.why = event.reason;
    if ((event.kind == rollout::EventKind::kCompleted || event.kind == rollout::EventKind::kEnded ||
         event.kind == rollout::EventKind::kStopped) &&
        result_.ended_s == 0)
      result_.ended_s = Seconds(now_);
  }
  if (output.progress != 0) node.stored_progress = output.progress;
  if (node.agent->progress().requires_rollback())
    node.known_ended_rollouts.insert(node.agent->progress().rollout_id);
  if (output.requested_version) SwitchVersion(i, *output.requested_version);
}

void Trial::Tick(int i) {
  Node& node = At(i);
  if (!node.agent && now_ >= node.down_until) StartProcess(i, node.version);
  if (!IsUp(node) || IsPaused(node)) return;
  if (!node.target_version.empty() && now_ >= node.ready_at) {
    const std::string version = std::exchange(node.target_version, "");
    StartProcess(i, version);
    if (version == plan_.old_version) node.rolled_back_at = now_;
  }
  if (options_.regression == Regression::kCrashes && node.version == plan_.new_version &&
      now_ > node.up_since + FromMs(options_.amount * 1000)) {
    ++node.crashes;  // its supervisor restarts it
    StartProcess(i, node.version);
    node.ready_at = now_ + kSecond;
  }
  if (!node.queued_messages.empty()) {
    for (auto& [from, body] : std::exchange(node.queued_messages, {})) {
      node.agent->OnMessage(Time(now_), At(from).name, body);
      ProcessOutput(i);
      if (!node.agent) return;
    }
  }
  if (node.agent->next_tick_at() <= Time(now_)) {
    node.agent->OnTick(Time(now_));
    ProcessOutput(i);
  }
}

// Fetches documents that a random other member has in a later version (see membership/document_exchange.h).
void Trial::PullDocuments(int i) {
  const int j = static_cast<int>(random_.Below(nodes_.size()));
  if (i == j || !IsUp(At(i)) || !IsUp(At(j)) || IsPaused(At(i)) || IsPaused(At(j)) || !CanReach(i, j) ||
      !CanReach(j, i))
    return;
  for (const auto& [topic, document] : At(j).documents) {
    auto& own = At(i).documents[topic];
    if (document.first <= own.first || !At(i).agent->AcceptsDocument(topic, document.first)) continue;
    own = document;
    At(i).agent->OnDocument(Time(now_), topic, document.first, document.second);
    ProcessOutput(i);
    if (!At(i).agent) return;
  }
}

// Adds one second of traffic at every member that is up and not paused, from 2 s before its `ready_at` on:
// the old process still serves during a version switch, which takes up to 2 s.
void Trial::SimulateTraffic() {
  int updated_members = 0;
  for (const Node& node : nodes_) updated_members += node.version == plan_.new_version;
  const bool at_scale = 3 * updated_members >= options_.members;
  const double t = Seconds(now_);
  // Disturbances recur every two minutes, so that each stage encounters some.
  const bool disturbed =
      options_.environment != Environment::kCalm && std::fmod(t, 120) > 40 && std::fmod(t, 120) < 70;
  for (int i = 0; i < options_.members; ++i) {
    Node& node = At(i);
    if (!IsUp(node) || IsPaused(node) || now_ < node.ready_at - 2 * kSecond) continue;
    const bool is_new = node.version == plan_.new_version;
    double miss_factor = 1, rate_factor = 1;
    if (disturbed && options_.environment == Environment::kTrafficSurge) miss_factor = 4, rate_factor = 2;
    // The failing backends are those of a third of the members.
    if (disturbed && options_.environment == Environment::kFailingBackends &&
        (i * 7 + static_cast<int>(t / 120)) % 3 == 0)
      miss_factor = 8;
    if (disturbed && options_.environment == Environment::kZoneLost && node.zone == "a") miss_factor = 30;
    const double uptime_s = Seconds(now_ - node.up_since);
    for (int c = 0; c < options_.classes; ++c) {
      const double share = c == 0 ? 0.6 : 0.4 / std::max(1, options_.classes - 1);
      for (int a = 0; a < options_.tenants; ++a) {
        const double mean = node.rate * rate_factor * share / options_.tenants;
        const int requests =
            boost::random::poisson_distribution<int>(std::max(1e-6, mean))(traffic_.engine());
        if (requests == 0) continue;
        double miss_probability = std::min(0.9, node.missed_share * miss_factor * (c == 0 ? 1 : 1.5));
        double extra_miss_share = 0;
        if (is_new) {
          const bool fails_tenant = options_.regression == Regression::kFailsTenant && a == 1;
          const bool fails_class = options_.regression == Regression::kFailsClass && c == 1;
          const bool fails_zone = options_.regression == Regression::kFailsZone && node.zone == "b";
          if (options_.regression == Regression::kFails || fails_tenant || fails_class || fails_zone)
            extra_miss_share = options_.amount;
          if (options_.regression == Regression::kFailsAtScale && at_scale)
            extra_miss_share = options_.amount;
          if (options_.regression == Regression::kFailsLater)
            extra_miss_share = uptime_s < 20 ? -miss_probability / 2 : options_.amount;
        }
        miss_probability = std::clamp(miss_probability + extra_miss_share, 0.0, 1.0);
        const int missed =
            boost::random::binomial_distribution<int>(requests, miss_probability)(traffic_.engine());
        result_.harmed += std::max(0.0, extra_miss_share) * requests;
        auto& stratum = node.strata[static_cast<std::size_t>(c)];
        auto& tenant_stratum =
            node.strata[static_cast<std::size_t>(options_.classes + c * options_.tenants + a)];
        for (auto* one : {&stratum, &tenant_stratum}) {
          one->set_requests(one->requests() + static_cast<std::uint64_t>(requests));
          one->set_missed(one->missed() + static_cast<std::uint64_t>(missed));
          one->set_failed(one->failed() + static_cast<std::uint64_t>(missed));
          one->set_attempts(one->attempts() + static_cast<std::uint64_t>(
                                                  requests + (traffic_.Chance(0.02 * requests) ? 1 : 0)));
        }
        while (stratum.latency_buckets_size() < static_cast<int>(rollout::kLatencyBuckets))
          stratum.add_latency_buckets(0);
        const double latency_factor =
            is_new && options_.regression == Regression::kSlower ? 1 + options_.amount : 1;
        for (int n = missed; n < requests; ++n) {
          const double ms = 20 * (c + 1) * latency_factor * traffic_.Lognormal(1, 0.7);
          const int bucket = static_cast<int>(rollout::LatencyBucketOf(ms));
          stratum.set_latency_buckets(bucket, stratum.latency_buckets(bucket) + 1);
        }
        node.cpu_us += requests * 300 *
                       (is_new && options_.regression == Regression::kUsesMoreCpu ? 1 + options_.amount : 1) *
                       traffic_.Lognormal(1, 0.2);
      }
    }
    if (is_new && options_.regression == Regression::kLeaksMemory)
      node.memory_kb += options_.amount * 1024 / 60;
  }
}

int Trial::CurrentLeader() const {
  for (int i = 0; i < options_.members; ++i)
    if (nodes_[static_cast<std::size_t>(i)].agent && nodes_[static_cast<std::size_t>(i)].agent->is_leader())
      return i;
  return 0;
}

void Trial::DrawFaults() {
  const int count = 1 + static_cast<int>(random_.Below(5));
  for (int n = 0; n < count; ++n)
    pending_faults_.emplace_back(FromMs(random_.Between(500, 60000)),
                                 static_cast<int>(random_.Below(std::size(kFaultNames))));
  std::sort(pending_faults_.begin(), pending_faults_.end());
}

void Trial::InjectFault(int kind) {
  const int members = options_.members;
  const auto duration = FromMs(random_.Between(1000, 20000));
  int victim = static_cast<int>(random_.Below(static_cast<std::uint64_t>(members)));
  if (kind >= 7) victim = CurrentLeader();
  last_fault_end_ = std::max(last_fault_end_, now_ + duration);
  event_log_.push_back(fmt::format("{:.2f} s: {} {} for {:.1f} s", Seconds(now_), kFaultNames[kind],
                                   At(victim).name, Seconds(duration)));
  switch (kind) {
    case 0:
    case 1:
    case 9: {
      Partition partition{now_, now_ + duration, std::vector<bool>(nodes_.size()), kind == 1};
      for (std::size_t j = 0; j < nodes_.size(); ++j)
        partition.on_first_side[j] = kind == 9 ? static_cast<int>(j) == victim : random_.Chance(0.5);
      partitions_.push_back(std::move(partition));
      break;
    }
    case 2:
    case 7: {
      Node& node = At(victim);
      if (!IsUp(node)) break;
      node.agent.reset();
      ++node.crashes;
      if (!node.target_version.empty()) node.version = std::exchange(node.target_version, "");
      node.down_since = now_;
      node.down_until = now_ + duration;
      node.ready_at = now_ + duration + kSecond;
      break;
    }
    case 3:
    case 8:
      At(victim).paused_until = std::max(At(victim).paused_until, now_ + duration);
      break;
    case 4:
      lossy_until_ = now_ + duration;
      break;
    case 5:
      if (IsUp(At(victim)) && !IsPaused(At(victim)) && !At(victim).agent->Abort(Time(now_))) {
        aborted_rollouts_.insert(At(victim).agent->progress().rollout_id);
        ProcessOutput(victim);
      }
      break;
    default:
      if (IsUp(At(victim)) && !IsPaused(At(victim))) {
        rollout::Plan second = plan_;
        second.name = "second";
        std::vector<rollout::MemberInfo> all;
        for (const Node& node : nodes_) all.push_back({node.name, node.zone});
        At(victim).agent->Start(Time(now_), second, all);
        ProcessOutput(victim);
      }
  }
}

void Trial::ReportViolation(const std::string& what) {
  result_.holds = false;
  if (result_.story.size() < 20) result_.story.push_back(fmt::format("{:.2f} s: {}", Seconds(now_), what));
}

// Whether all members are up and not paused, none is busy with a rollout, and all that know of a
// rollout run the same version, as its result requires.
bool Trial::IsSettled() const {
  std::set<std::string> versions;
  for (const Node& node : nodes_) {
    if (now_ < node.down_until || now_ < node.paused_until || !node.agent || !node.target_version.empty())
      return false;
    if (node.isolated && node.version == plan_.new_version) return false;
    const rollout::Progress& progress = node.agent->progress();
    if (progress.rollout_id == 0)
      continue;  // none known, as when the only member that knew of the rollout has crashed
    if (node.agent->busy()) return false;
    versions.insert(node.version);
    if (progress.requires_rollback() && node.version == plan_.new_version) return false;
    if (progress.status == rollout::RolloutStatus::kCompleted && node.version != plan_.new_version)
      return false;
  }
  return versions.size() <= 1;
}

TrialResult Trial::Play() {
  std::vector<rollout::MemberInfo> all;
  for (int i = 0; i < options_.members; ++i) {
    Node node;
    node.name = fmt::format("p{}", i + 1);
    node.zone = std::string(1, static_cast<char>('a' + i % options_.zones));
    node.rate = options_.rate * traffic_.Lognormal(1, options_.rate_cv);
    node.missed_share = options_.missed_share * traffic_.Lognormal(1, options_.missed_cv);
    for (int c = 0; c < options_.classes; ++c) {
      rollout::wire::Stratum stratum;
      stratum.set_request_class(static_cast<std::uint32_t>(c));
      node.strata.push_back(stratum);
    }
    for (int c = 0; c < options_.classes; ++c)
      for (int a = 0; a < options_.tenants; ++a) {
        rollout::wire::Stratum stratum;
        stratum.set_request_class(static_cast<std::uint32_t>(c));
        stratum.set_tenant(static_cast<std::uint32_t>(a + 1));
        node.strata.push_back(stratum);
      }
    by_name_[node.name] = i;
    all.push_back({node.name, node.zone});
    nodes_.push_back(std::move(node));
  }
  for (int i = 0; i < options_.members; ++i) StartProcess(i, plan_.old_version);
  if (options_.member_faults) DrawFaults();
  const int initiator = static_cast<int>(random_.Below(nodes_.size()));
  if (const auto failure = At(initiator).agent->Start(Time(0), plan_, all)) ReportViolation(failure->text);
  ProcessOutput(initiator);

  constexpr Micros kStep = 50'000;
  Micros settled_at = 0, next_traffic_at = kSecond;
  const Micros end = FromMs(options_.length_s * 1000);
  for (now_ = kStep; now_ <= end; now_ += kStep) {
    while (!pending_faults_.empty() && pending_faults_.front().first <= now_) {
      const int kind = pending_faults_.front().second;
      pending_faults_.erase(pending_faults_.begin());
      InjectFault(kind);
    }
    while (!messages_.empty() && messages_.front().at <= now_) {
      std::pop_heap(messages_.begin(), messages_.end());
      Message message = std::move(messages_.back());
      messages_.pop_back();
      Node& to = At(message.to);
      if (!IsUp(to) || !CanReach(message.from, message.to)) continue;
      if (IsPaused(to)) {
        if (to.queued_messages.size() < 200)
          to.queued_messages.emplace_back(message.from, std::move(message.body));
        continue;
      }
      to.agent->OnMessage(Time(now_), At(message.from).name, message.body);
      ProcessOutput(message.to);
    }
    for (int i = 0; i < options_.members; ++i) {
      Tick(i);
      if ((now_ / kStep + i) % (kPullInterval / kStep) == 0) PullDocuments(i);
    }
    if (now_ >= next_traffic_at) {
      next_traffic_at += kSecond;
      SimulateTraffic();
      if (pending_faults_.empty() && now_ >= last_fault_end_ && IsSettled()) {
        if (settled_at == 0) settled_at = now_;
        if (now_ - settled_at > 3 * kSecond) break;
      } else {
        settled_at = 0;
      }
    }
  }
  for (const Node& node : nodes_) {
    result_.ever += node.ran_new_version;
    result_.last_back_s = std::max(result_.last_back_s, Seconds(node.rolled_back_at));
  }
  std::set<std::string> versions;
  bool any_rolled_back = false;
  for (const Node& node : nodes_) {
    if (!node.agent) continue;
    versions.insert(node.version);
    result_.done |= node.agent->progress().status == rollout::RolloutStatus::kCompleted;
    if (node.agent->progress().status == rollout::RolloutStatus::kCompleted &&
        aborted_rollouts_.contains(node.agent->progress().rollout_id))
      ReportViolation(node.name + " considers the rollout completed although it was aborted");
    any_rolled_back |=
        node.agent->progress().ended() && node.agent->progress().status != rollout::RolloutStatus::kCompleted;
  }
  result_.stopped = any_rolled_back;
  if (result_.done && any_rolled_back)
    ReportViolation("some members consider the rollout completed, others stopped");
  if (options_.regression != Regression::kIsolated && !IsSettled()) {
    ReportViolation("the rollout has not ended, or ended with different results at different members");
    for (const Node& node : nodes_)
      if (node.agent && result_.story.size() < 30)
        result_.story.push_back(fmt::format(
            "{} runs {}, knows rollout {:x} with status {}, {} members admitted{}", node.name, node.version,
            node.agent->progress().rollout_id, static_cast<int>(node.agent->progress().status),
            node.agent->progress().admitted_members, node.agent->is_leader() ? ", is the leader" : ""));
  }
  if (!result_.holds)
    for (const std::string& line : event_log_) result_.story.push_back(line);
  return result_;
}

}  // namespace

nlohmann::ordered_json TrialResult::Json() const {
  return {{"holds", holds},   {"done", done},       {"stopped", stopped}, {"why", why},
          {"ever", ever},     {"first_s", first_s}, {"ended_s", ended_s}, {"last_back_s", last_back_s},
          {"harmed", harmed}, {"story", story}};
}

TrialResult SimulateRollout(const std::string& text, const std::string& name_of_file,
                            const TrialOptions& options) {
  const rollout::Plan plan = rollout::ParsePlan(text, name_of_file);
  return Trial(plan, options).Play();
}

const std::vector<std::pair<std::string, Regression>>& RegressionNames() {
  static const std::vector<std::pair<std::string, Regression>> names{
      {"none", Regression::kNone},
      {"fails", Regression::kFails},
      {"fails_class", Regression::kFailsClass},
      {"fails_account", Regression::kFailsTenant},
      {"fails_zone", Regression::kFailsZone},
      {"slower", Regression::kSlower},
      {"no_start", Regression::kDoesNotStart},
      {"ends", Regression::kCrashes},
      {"deaf", Regression::kIsolated},
      {"leaks", Regression::kLeaksMemory},
      {"crowd", Regression::kFailsAtScale},
      {"later", Regression::kFailsLater},
      {"processor", Regression::kUsesMoreCpu}};
  return names;
}

const std::vector<std::pair<std::string, Environment>>& EnvironmentNames() {
  static const std::vector<std::pair<std::string, Environment>> names{
      {"calm", Environment::kCalm},
      {"backends", Environment::kFailingBackends},
      {"surge", Environment::kTrafficSurge},
      {"zone_lost", Environment::kZoneLost}};
  return names;
}

}  // namespace copperpoint::fault_testing
