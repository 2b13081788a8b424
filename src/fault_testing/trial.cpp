// SPDX-License-Identifier: Apache-2.0
#include "fault_testing/trial.h"

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
constexpr Micros kDelay = 1'000;            // of a letter
constexpr Micros kPull = 200'000;           // between looks at another member's versions
constexpr Micros kLearnsOfEnd = 2'600'000;  // until the view holds one that ended for dead
constexpr double kMajoritySlackS = 4;       // of a leader's last word from a majority
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
    std::string version;  // that its process is
    std::unique_ptr<Agent> agent;
    std::uint64_t life = 0;
    Micros ready_at = 0;  // its process serves from then on
    Micros up_since = 0;
    Micros stopped_until = 0;  // stands still
    Micros down_until = 0;     // killed
    Micros down_since = 0;
    std::string target;  // of a change under way
    std::uint32_t crashes = 0;
    bool deaf = false;
    std::map<std::uint32_t, std::pair<std::uint64_t, std::string>> held;  // documents, by topic
    std::vector<rollout::wire::Stratum> strata;  // by class, then by class and account
    double cpu_us = 0, memory_kb = 30000;
    double rate = 0, missed = 0;
    std::deque<std::pair<int, std::string>> letters;  // that wait for one that stands still
    bool ever_new = false;
    std::set<std::uint64_t> knew_ended;  // changes
    std::uint64_t mark = 0;              // that its keeper remembers
    std::string failed, failure;
    Micros back = 0;
  };
  struct Letter {
    Micros at = 0;
    int from = 0, to = 0;
    std::string body;
    bool operator<(const Letter& other) const { return at > other.at; }
  };
  struct Cut {
    Micros from = 0, to = 0;
    std::vector<bool> side;
    bool one_way = false;
  };

  Node& At(int i) { return nodes_[static_cast<std::size_t>(i)]; }
  bool Up(const Node& node) const { return now_ >= node.down_until && node.agent != nullptr; }
  bool Still(const Node& node) const { return now_ < node.stopped_until; }
  bool Reaches(int from, int to) const;
  bool Lives(int observer, const std::string& name) const;
  void Begin(int i, const std::string& version);
  void Take(int i);
  void Keep(int i, const std::string& version);
  void Tick(int i);
  void Pull(int i);
  void Serve();
  void DrawFaults();
  void Fault(int kind);
  int LeaderNow() const;
  void Break(const std::string& what);
  bool Settled() const;
  rollout::wire::MemberReport Report(const Node& node) const;

  const rollout::Plan& plan_;
  const TrialOptions& options_;
  simulation::Random random_, traffic_;
  Micros now_ = 0;
  std::vector<Node> nodes_;
  std::unordered_map<std::string, int> by_name_;
  std::vector<Letter> letters_;  // a heap
  std::vector<Cut> cuts_;
  std::vector<std::pair<Micros, int>> faults_;  // when and which
  std::vector<std::string> told_;
  Micros last_fault_over_ = 0, lossy_until_ = 0;
  std::set<std::uint64_t> aborted_;  // changes
  TrialResult result_;
};

bool Trial::Reaches(int from, int to) const {
  for (const Cut& cut : cuts_) {
    if (now_ < cut.from || now_ >= cut.to) continue;
    const bool a = cut.side[static_cast<std::size_t>(from)], b = cut.side[static_cast<std::size_t>(to)];
    if (a != b && (!cut.one_way || a)) return false;
  }
  return !nodes_[static_cast<std::size_t>(from)].deaf ||
         nodes_[static_cast<std::size_t>(from)].version != plan_.new_version;
}

bool Trial::Lives(int observer, const std::string& name) const {
  const int i = by_name_.at(name);
  const Node& of = nodes_[static_cast<std::size_t>(i)];
  if (now_ < of.down_until) return now_ < of.down_since + kLearnsOfEnd;
  for (const Cut& cut : cuts_) {
    if (now_ < cut.from + kLearnsOfEnd || now_ >= cut.to) continue;
    if (cut.side[static_cast<std::size_t>(observer)] != cut.side[static_cast<std::size_t>(i)] && !cut.one_way)
      return false;
  }
  return !(of.deaf && of.version == plan_.new_version);
}

rollout::wire::MemberReport Trial::Report(const Node& node) const {
  rollout::wire::MemberReport report;
  report.set_ready(now_ >= node.ready_at && node.target.empty());
  report.set_crashes(node.crashes);
  for (const auto& stratum : node.strata) *report.add_strata() = stratum;
  report.set_cpu_us(static_cast<std::uint64_t>(node.cpu_us));
  report.set_memory_kb(static_cast<std::uint32_t>(node.memory_kb));
  return report;
}

// A new process of that version.
void Trial::Begin(int i, const std::string& version) {
  Node& node = At(i);
  if (node.version != version) node.crashes = 0;
  node.version = version;
  ++node.life;
  node.up_since = now_;
  node.held.clear();
  node.letters.clear();
  node.deaf = options_.regression == Regression::kIsolated;
  node.cpu_us = 0;
  node.memory_kb = 30000;
  for (auto& stratum : node.strata) {
    rollout::wire::Stratum fresh;
    fresh.set_request_class(stratum.request_class());
    fresh.set_tenant(stratum.tenant());
    stratum = fresh;
  }
  node.agent = std::make_unique<Agent>(
      Agent::Identity{node.name, version, static_cast<std::uint64_t>(i) << 20 | node.life, node.mark,
                      node.failed, node.failure},
      [this, i](const std::string& name) { return Lives(i, name); }, [this, i] { return Report(At(i)); });
  if (version == plan_.new_version) {
    node.ever_new = true;
    if (result_.first_s == 0) result_.first_s = Seconds(now_);
  }
}

// What a keeper does when its process asks for another version.
void Trial::Keep(int i, const std::string& version) {
  Node& node = At(i);
  const Micros takes = FromMs(random_.Between(800, 2000));
  if (version == plan_.new_version && node.knew_ended.contains(node.agent->progress().rollout_id))
    Break(node.name + " changes after it knew of the end");
  if (version == plan_.new_version && options_.regression == Regression::kDoesNotStart) {
    if (result_.first_s == 0) result_.first_s = Seconds(now_);
    node.ever_new = true;
    node.failed = version;
    node.failure = "it did not come up";
    node.agent->OnVersionFailed(version, node.failure);
    return Take(i);
  }
  node.target = version;
  node.ready_at = now_ + takes;
}

void Trial::Take(int i) {
  Node& node = At(i);
  Agent::Output output = node.agent->TakeOutput();
  for (auto& letter : output.messages) {
    const auto to = by_name_.find(letter.to);
    if (to == by_name_.end() || !Reaches(i, to->second)) continue;
    if (now_ < lossy_until_ && random_.Chance(0.3)) continue;
    letters_.push_back({now_ + kDelay, i, to->second, std::move(letter.body)});
    std::push_heap(letters_.begin(), letters_.end());
  }
  for (auto& document : output.documents) {
    auto& held = node.held[document.topic];
    if (document.version > held.first) held = {document.version, document.body};
  }
  for (const rollout::Event& event : output.events) {
    if (options_.record_events)
      told_.push_back(fmt::format("{:.2f} s: {} ({}) {} {}, {} may have changed", Seconds(now_), node.name,
                                  event.rollout_name, rollout::NameOf(event.kind), event.reason,
                                  event.admitted_members));
    if (event.kind == rollout::EventKind::kStageStarted) {
      // No stage goes on unless its leader hears a majority.
      int heard = 0;
      for (int j = 0; j < options_.members; ++j) {
        bool could = j == i;
        if (!could && Up(At(j))) could = Reaches(i, j) && Reaches(j, i);
        // What it heard may be a little old.
        for (const Cut& cut : cuts_)
          could |= Up(At(j)) && now_ >= cut.from &&
                   now_ < cut.from + static_cast<Micros>(kMajoritySlackS * kSecond);
        heard += could || (At(j).down_since > 0 &&
                           now_ < At(j).down_since + static_cast<Micros>(kMajoritySlackS * kSecond));
      }
      if (2 * heard <= options_.members) Break(node.name + " goes on with a stage without a majority");
    }
    if (event.kind == rollout::EventKind::kStopped && result_.why.empty()) result_.why = event.reason;
    if ((event.kind == rollout::EventKind::kCompleted || event.kind == rollout::EventKind::kEnded ||
         event.kind == rollout::EventKind::kStopped) &&
        result_.ended_s == 0)
      result_.ended_s = Seconds(now_);
  }
  if (output.progress != 0) node.mark = output.progress;
  if (node.agent->progress().requires_rollback()) node.knew_ended.insert(node.agent->progress().rollout_id);
  if (output.requested_version) Keep(i, *output.requested_version);
}

void Trial::Tick(int i) {
  Node& node = At(i);
  if (!node.agent && now_ >= node.down_until) Begin(i, node.version);
  if (!Up(node) || Still(node)) return;
  if (!node.target.empty() && now_ >= node.ready_at) {
    const std::string version = std::exchange(node.target, "");
    Begin(i, version);
    if (version == plan_.old_version) node.back = now_;
  }
  if (options_.regression == Regression::kCrashes && node.version == plan_.new_version &&
      now_ > node.up_since + FromMs(options_.amount * 1000)) {
    ++node.crashes;  // its keeper starts it again
    Begin(i, node.version);
    node.ready_at = now_ + kSecond;
  }
  if (!node.letters.empty()) {
    for (auto& [from, body] : std::exchange(node.letters, {})) {
      node.agent->OnMessage(Time(now_), At(from).name, body);
      Take(i);
      if (!node.agent) return;
    }
  }
  if (node.agent->next_tick_at() <= Time(now_)) {
    node.agent->OnTick(Time(now_));
    Take(i);
  }
}

// Looks at the versions that another holds, and takes what is later (view/documents.h).
void Trial::Pull(int i) {
  const int j = static_cast<int>(random_.Below(nodes_.size()));
  if (i == j || !Up(At(i)) || !Up(At(j)) || Still(At(i)) || Still(At(j)) || !Reaches(i, j) || !Reaches(j, i))
    return;
  for (const auto& [topic, document] : At(j).held) {
    auto& mine = At(i).held[topic];
    if (document.first <= mine.first || !At(i).agent->AcceptsDocument(topic, document.first)) continue;
    mine = document;
    At(i).agent->OnDocument(Time(now_), topic, document.first, document.second);
    Take(i);
    if (!At(i).agent) return;
  }
}

// A second of traffic at every member that serves.
void Trial::Serve() {
  int changed = 0;
  for (const Node& node : nodes_) changed += node.version == plan_.new_version;
  const bool crowd = 3 * changed >= options_.members;
  const double t = Seconds(now_);
  // Troubles come back every two minutes, so that some meet every stage.
  const bool trouble =
      options_.environment != Environment::kCalm && std::fmod(t, 120) > 40 && std::fmod(t, 120) < 70;
  for (int i = 0; i < options_.members; ++i) {
    Node& node = At(i);
    if (!Up(node) || Still(node) || now_ < node.ready_at - 2 * kSecond) continue;
    const bool is_new = node.version == plan_.new_version;
    double factor = 1, load = 1;
    if (trouble && options_.environment == Environment::kTrafficSurge) factor = 4, load = 2;
    // A third of the members have the backends that ail.
    if (trouble && options_.environment == Environment::kFailingBackends &&
        (i * 7 + static_cast<int>(t / 120)) % 3 == 0)
      factor = 8;
    if (trouble && options_.environment == Environment::kZoneLost && node.zone == "a") factor = 30;
    const double young = Seconds(now_ - node.up_since);
    for (int c = 0; c < options_.classes; ++c) {
      const double share = c == 0 ? 0.6 : 0.4 / std::max(1, options_.classes - 1);
      for (int a = 0; a < options_.tenants; ++a) {
        const double mean = node.rate * load * share / options_.tenants;
        const int asked = boost::random::poisson_distribution<int>(std::max(1e-6, mean))(traffic_.engine());
        if (asked == 0) continue;
        double p = std::min(0.9, node.missed * factor * (c == 0 ? 1 : 1.5));
        double more = 0;
        if (is_new) {
          const bool account = options_.regression == Regression::kFailsTenant && a == 1;
          const bool cls = options_.regression == Regression::kFailsClass && c == 1;
          const bool zone = options_.regression == Regression::kFailsZone && node.zone == "b";
          if (options_.regression == Regression::kFails || account || cls || zone) more = options_.amount;
          if (options_.regression == Regression::kFailsAtScale && crowd) more = options_.amount;
          if (options_.regression == Regression::kFailsLater) more = young < 20 ? -p / 2 : options_.amount;
        }
        p = std::clamp(p + more, 0.0, 1.0);
        const int missed = boost::random::binomial_distribution<int>(asked, p)(traffic_.engine());
        result_.harmed += std::max(0.0, more) * asked;
        auto& stratum = node.strata[static_cast<std::size_t>(c)];
        auto& of_account = node.strata[static_cast<std::size_t>(options_.classes + c * options_.tenants + a)];
        for (auto* one : {&stratum, &of_account}) {
          one->set_requests(one->requests() + static_cast<std::uint64_t>(asked));
          one->set_missed(one->missed() + static_cast<std::uint64_t>(missed));
          one->set_failed(one->failed() + static_cast<std::uint64_t>(missed));
          one->set_attempts(one->attempts() +
                            static_cast<std::uint64_t>(asked + (traffic_.Chance(0.02 * asked) ? 1 : 0)));
        }
        while (stratum.latency_buckets_size() < static_cast<int>(rollout::kLatencyBuckets))
          stratum.add_latency_buckets(0);
        const double slow = is_new && options_.regression == Regression::kSlower ? 1 + options_.amount : 1;
        for (int n = missed; n < asked; ++n) {
          const double ms = 20 * (c + 1) * slow * traffic_.Lognormal(1, 0.7);
          const int bucket = static_cast<int>(rollout::LatencyBucketOf(ms));
          stratum.set_latency_buckets(bucket, stratum.latency_buckets(bucket) + 1);
        }
        node.cpu_us += asked * 300 *
                       (is_new && options_.regression == Regression::kUsesMoreCpu ? 1 + options_.amount : 1) *
                       traffic_.Lognormal(1, 0.2);
      }
    }
    if (is_new && options_.regression == Regression::kLeaksMemory)
      node.memory_kb += options_.amount * 1024 / 60;
  }
}

int Trial::LeaderNow() const {
  for (int i = 0; i < options_.members; ++i)
    if (nodes_[static_cast<std::size_t>(i)].agent && nodes_[static_cast<std::size_t>(i)].agent->is_leader())
      return i;
  return 0;
}

void Trial::DrawFaults() {
  const int count = 1 + static_cast<int>(random_.Below(5));
  for (int n = 0; n < count; ++n)
    faults_.emplace_back(FromMs(random_.Between(500, 60000)),
                         static_cast<int>(random_.Below(std::size(kFaultNames))));
  std::sort(faults_.begin(), faults_.end());
}

void Trial::Fault(int kind) {
  const int members = options_.members;
  const auto length = FromMs(random_.Between(1000, 20000));
  int victim = static_cast<int>(random_.Below(static_cast<std::uint64_t>(members)));
  if (kind >= 7) victim = LeaderNow();
  last_fault_over_ = std::max(last_fault_over_, now_ + length);
  told_.push_back(fmt::format("{:.2f} s: {} {} for {:.1f} s", Seconds(now_), kFaultNames[kind],
                              At(victim).name, Seconds(length)));
  switch (kind) {
    case 0:
    case 1:
    case 9: {
      Cut cut{now_, now_ + length, std::vector<bool>(nodes_.size()), kind == 1};
      for (std::size_t j = 0; j < nodes_.size(); ++j)
        cut.side[j] = kind == 9 ? static_cast<int>(j) == victim : random_.Chance(0.5);
      cuts_.push_back(std::move(cut));
      break;
    }
    case 2:
    case 7: {
      Node& node = At(victim);
      if (!Up(node)) break;
      node.agent.reset();
      ++node.crashes;
      if (!node.target.empty()) node.version = std::exchange(node.target, "");
      node.down_since = now_;
      node.down_until = now_ + length;
      node.ready_at = now_ + length + kSecond;
      break;
    }
    case 3:
    case 8:
      At(victim).stopped_until = std::max(At(victim).stopped_until, now_ + length);
      break;
    case 4:
      lossy_until_ = now_ + length;
      break;
    case 5:
      if (Up(At(victim)) && !Still(At(victim)) && !At(victim).agent->Abort(Time(now_))) {
        aborted_.insert(At(victim).agent->progress().rollout_id);
        Take(victim);
      }
      break;
    default:
      if (Up(At(victim)) && !Still(At(victim))) {
        rollout::Plan second = plan_;
        second.name = "second";
        std::vector<rollout::MemberInfo> all;
        for (const Node& node : nodes_) all.push_back({node.name, node.zone});
        At(victim).agent->Start(Time(now_), second, all);
        Take(victim);
      }
  }
}

void Trial::Break(const std::string& what) {
  result_.holds = false;
  if (result_.story.size() < 20) result_.story.push_back(fmt::format("{:.2f} s: {}", Seconds(now_), what));
}

// All that live hold the same mark, an end, and run what follows from it.
bool Trial::Settled() const {
  std::set<std::string> versions;
  for (const Node& node : nodes_) {
    if (now_ < node.down_until || now_ < node.stopped_until || !node.agent || !node.target.empty())
      return false;
    if (node.deaf && node.version == plan_.new_version) return false;
    const rollout::Progress& held = node.agent->progress();
    if (held.rollout_id == 0) continue;  // it holds none, as where the only one that knew of it ended
    if (node.agent->busy()) return false;
    versions.insert(node.version);
    if (held.requires_rollback() && node.version == plan_.new_version) return false;
    if (held.status == rollout::RolloutStatus::kCompleted && node.version != plan_.new_version) return false;
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
    node.missed = options_.missed_share * traffic_.Lognormal(1, options_.missed_cv);
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
  for (int i = 0; i < options_.members; ++i) Begin(i, plan_.old_version);
  if (options_.member_faults) DrawFaults();
  const int first = static_cast<int>(random_.Below(nodes_.size()));
  if (const auto failure = At(first).agent->Start(Time(0), plan_, all)) Break(failure->text);
  Take(first);

  constexpr Micros kStep = 50'000;
  Micros settled_at = 0, next_serve = kSecond;
  const Micros end = FromMs(options_.length_s * 1000);
  for (now_ = kStep; now_ <= end; now_ += kStep) {
    while (!faults_.empty() && faults_.front().first <= now_) {
      const int kind = faults_.front().second;
      faults_.erase(faults_.begin());
      Fault(kind);
    }
    while (!letters_.empty() && letters_.front().at <= now_) {
      std::pop_heap(letters_.begin(), letters_.end());
      Letter letter = std::move(letters_.back());
      letters_.pop_back();
      Node& to = At(letter.to);
      if (!Up(to) || !Reaches(letter.from, letter.to)) continue;
      if (Still(to)) {
        if (to.letters.size() < 200) to.letters.emplace_back(letter.from, std::move(letter.body));
        continue;
      }
      to.agent->OnMessage(Time(now_), At(letter.from).name, letter.body);
      Take(letter.to);
    }
    for (int i = 0; i < options_.members; ++i) {
      Tick(i);
      if ((now_ / kStep + i) % (kPull / kStep) == 0) Pull(i);
    }
    if (now_ >= next_serve) {
      next_serve += kSecond;
      Serve();
      if (faults_.empty() && now_ >= last_fault_over_ && Settled()) {
        if (settled_at == 0) settled_at = now_;
        if (now_ - settled_at > 3 * kSecond) break;
      } else {
        settled_at = 0;
      }
    }
  }
  for (const Node& node : nodes_) {
    result_.ever += node.ever_new;
    result_.last_back_s = std::max(result_.last_back_s, Seconds(node.back));
  }
  std::set<std::string> versions;
  bool back = false;
  for (const Node& node : nodes_) {
    if (!node.agent) continue;
    versions.insert(node.version);
    result_.done |= node.agent->progress().status == rollout::RolloutStatus::kCompleted;
    if (node.agent->progress().status == rollout::RolloutStatus::kCompleted &&
        aborted_.contains(node.agent->progress().rollout_id))
      Break(node.name + " holds it for done after an abort");
    back |=
        node.agent->progress().ended() && node.agent->progress().status != rollout::RolloutStatus::kCompleted;
  }
  result_.stopped = back;
  if (result_.done && back) Break("some hold the change for done, others for stopped");
  if (options_.regression != Regression::kIsolated && !Settled()) {
    Break("it has not ended, or not everywhere alike");
    for (const Node& node : nodes_)
      if (node.agent && result_.story.size() < 30)
        result_.story.push_back(
            fmt::format("{} runs {}, holds change {:x} {}, {} may have changed{}", node.name, node.version,
                        node.agent->progress().rollout_id, static_cast<int>(node.agent->progress().status),
                        node.agent->progress().admitted_members, node.agent->is_leader() ? ", leads" : ""));
  }
  if (!result_.holds)
    for (const std::string& line : told_) result_.story.push_back(line);
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
