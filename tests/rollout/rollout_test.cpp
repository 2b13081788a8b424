// SPDX-License-Identifier: Apache-2.0
//
// Rolling changes: the comparison's bounds, the leader's and the members' decisions, and whole changes in
// virtual time over seeds, with faults in their middle.
#include <gtest/gtest.h>

#include <boost/random/binomial_distribution.hpp>
#include <map>
#include <memory>
#include <random>

#include "config/read.h"
#include "fault_testing/trial.h"
#include "rollout/agent.h"
#include "rollout/plan_parser.h"
#include "simulation/core/random.h"
#include "support/run_program.h"

namespace copperpoint::rollout {
namespace {

using std::chrono::milliseconds;
using testing_support::Finished;
using testing_support::RunProgram;

constexpr char kPlan[] = R"(
name = "nine"
from = "v1"
to = "v2"
settle_s = 1
change_s = 10
silence_s = 4
start_within_s = 20
alone_back_s = 20
back_step_s = 1
[[stage]]
members = 1
watch_s = 10
watch_requests = 60
[[stage]]
each_zone = true
watch_s = 8
watch_requests = 100
[[stage]]
share = 1.0
watch_s = 3
[guard]
worth = 0.1
)";

std::vector<MemberInfo> Nine() {
  std::vector<MemberInfo> members;
  for (int i = 0; i < 9; ++i)
    members.push_back(
        {std::string("p").append(std::to_string(i + 1)), std::string(1, static_cast<char>('a' + i % 3))});
  return members;
}

// ---- marks -----------------------------------------------------------------------------------------------

TEST(Progress, AnEndGoesBeforeProgressAndALaterChangeBeforeAnEarlier) {
  const std::uint64_t change = RolloutIdOf(DocumentVersion(7, 0xabcdef01));
  const Progress far{change, RolloutStatus::kInProgress, 0, 32000},
      stopped{change, RolloutStatus::kRolledBack, 0, 3}, aborted{change, RolloutStatus::kAborted, 0, 1},
      paused{change, RolloutStatus::kInProgress, 1, 5}, done{change, RolloutStatus::kCompleted, 0, 300};
  EXPECT_GT(stopped.Encode(), far.Encode());
  EXPECT_GT(stopped.Encode(), done.Encode());
  EXPECT_GT(aborted.Encode(), stopped.Encode());
  EXPECT_GT(paused.Encode(), far.Encode());
  EXPECT_GT((Progress{RolloutIdOf(DocumentVersion(8, 0)), RolloutStatus::kInProgress, 0, 0}).Encode(),
            aborted.Encode());
  const Progress read = Progress::Decode(paused.Encode());
  EXPECT_EQ(read.rollout_id, change);
  EXPECT_EQ(read.admitted_members, 5u);
  EXPECT_TRUE(read.paused());
}

// ---- the plan --------------------------------------------------------------------------------------------

TEST(Order, IsTheSameForAllAndTakesZonesInTurn) {
  const Plan plan = ParsePlan(kPlan, "plan");
  std::vector<MemberInfo> turned = Nine();
  std::reverse(turned.begin(), turned.end());
  const UpgradeOrder a = MakeUpgradeOrder(plan, Nine(), 5), b = MakeUpgradeOrder(plan, turned, 5);
  ASSERT_EQ(a.members.size(), 9u);
  for (std::size_t i = 0; i < 9; ++i) EXPECT_EQ(a.members[i].name, b.members[i].name);
  EXPECT_EQ(a.stage_ends, (std::vector<int>{1, 3, 9}));
  for (std::size_t i = 0; i < 9; i += 3) {
    EXPECT_NE(a.members[i].zone, a.members[i + 1].zone);
    EXPECT_NE(a.members[i + 1].zone, a.members[i + 2].zone);
    EXPECT_NE(a.members[i].zone, a.members[i + 2].zone);
  }
}

// Mutant: the cohort chosen by zone alone. Over changes each member comes first about as often.
TEST(Order, EachMemberIsFirstInSomeChange) {
  const Plan plan = ParsePlan(kPlan, "plan");
  std::map<std::string, int> first;
  for (std::uint64_t change = 1; change <= 900; ++change)
    ++first[MakeUpgradeOrder(plan, Nine(), change).members[0].name];
  EXPECT_EQ(first.size(), 9u);
  for (const auto& [name, times] : first) EXPECT_GT(times, 50) << name;
}

TEST(Plan, FaultsAreToldWithLineAndKey) {
  const auto read = [](const std::string& text) {
    try {
      ParsePlan(text, "f.toml");
    } catch (const config::BadFile& error) {
      return std::string(error.what());
    }
    return std::string();
  };
  EXPECT_NE(read("from = \"a\"\nto = \"a\"\n[[stage]]\nmembers = 1\n").find("to"), std::string::npos);
  EXPECT_NE(read("from = \"a\"\nto = \"b\"\nat_once = 0\n[[stage]]\nmembers = 1\n").find("f.toml:3"),
            std::string::npos);
  EXPECT_NE(read("from = \"a\"\nto = \"b\"\n[[stage]]\nwatch_s = 3\n").find("changes nobody"),
            std::string::npos);
  EXPECT_EQ(read(FormatPlan(ParsePlan(kPlan, "plan"))), "");
}

TEST(Foresight, APlanThatCannotSeeWhatItGuardsAgainstIsRefusedWithTheFigureThatWouldDo) {
  const testing_support::TemporaryFolder folder;
  const std::string file = folder.Write("plan.toml", kPlan);
  Finished finished = RunProgram(PROGRAM_PATH, "rollout plan " + file + " --members 9 --rate 9");
  EXPECT_EQ(finished.code, 2) << finished.out;
  EXPECT_NE(finished.err.find("watch_s = "), std::string::npos) << finished.err;
  finished = RunProgram(PROGRAM_PATH, "rollout plan " + file + " --members 9 --rate 900");
  EXPECT_EQ(finished.code, 0) << finished.err;
}

// ---- the comparison --------------------------------------------------------------------------------------

struct Draws {
  explicit Draws(std::uint64_t seed) : random(seed, "compare") {}
  wire::Stratum Of(int asked, double missed) {
    wire::Stratum stratum;
    stratum.set_requests(static_cast<std::uint64_t>(asked));
    stratum.set_attempts(static_cast<std::uint64_t>(asked));
    stratum.set_missed(static_cast<std::uint64_t>(
        boost::random::binomial_distribution<int>(asked, std::min(1.0, missed))(random.engine())));
    return stratum;
  }
  simulation::Random random;
};

// Whether a change is ever taken for worse in `looks` looks at `members`, the first of which has changed.
bool Alarmed(std::uint64_t seed, double more, double differ, double trouble, int members = 9,
             int looks = 120) {
  const Guardrails guardrails;
  std::vector<MemberInfo> all;
  for (int i = 0; i < members; ++i) all.push_back({std::string("p").append(std::to_string(i)), "a"});
  CanaryAnalysis comparison(guardrails, 1, all);
  comparison.StartStage();
  Draws draws(seed);
  std::vector<double> base;
  for (int i = 0; i < members; ++i) base.push_back(0.02 * draws.random.Lognormal(1, differ));
  for (int look = 0; look < looks; ++look) {
    const double factor = look % 40 > 25 ? trouble : 1;
    for (int i = 0; i < members; ++i)
      comparison.Add(i, i == 0 ? Cohort::kCanary : Cohort::kBaseline,
                     draws.Of(20, base[static_cast<std::size_t>(i)] * factor + (i == 0 ? more : 0)));
    comparison.EndWindow();
    if (comparison.FindRegression()) return true;
  }
  return false;
}

// Mutant: looks at the test not corrected. 500 good changes, 120 looks each.
TEST(Comparison, AGoodChangeIsSeldomTakenForWorse) {
  int alarms = 0;
  for (std::uint64_t seed = 1; seed <= 500; ++seed) alarms += Alarmed(seed, 0, 0, 1);
  EXPECT_LE(alarms, 5);
}

TEST(Comparison, TroublesOfBothCohortsDoNotCountAgainstTheChange) {
  int alarms = 0;
  for (std::uint64_t seed = 1; seed <= 200; ++seed) alarms += Alarmed(seed, 0, 0.3, 10);
  EXPECT_LE(alarms, 4);
}

TEST(Comparison, ALossIsSeen) {
  int alarms = 0;
  for (std::uint64_t seed = 1; seed <= 200; ++seed) alarms += Alarmed(seed, 0.05, 0.3, 1, 40);
  EXPECT_GE(alarms, 195);
}

// ---- agents ----------------------------------------------------------------------------------------------

// Members that hear each other at once, their documents too; what their keepers do is done at once.
class Fleet {
 public:
  explicit Fleet(const std::string& plan_text = kPlan) : plan(ParsePlan(plan_text, "plan")) {
    for (const MemberInfo& one : Nine()) {
      version[one.name] = "v1";
      Begin(one.name);
    }
  }
  void Begin(const std::string& name) {
    agents[name] = std::make_unique<Agent>(
        Agent::Identity{name, version[name], ++lives, marks[name], "", ""},
        [this, name](const std::string& other) { return !ended.contains(other) && Hears(name, other); },
        [this, name] {
          wire::MemberReport report;
          report.set_ready(true);
          report.set_crashes(crashes[name]);
          wire::Stratum& stratum = *report.add_strata();
          stratum.set_requests(asked[name]);
          stratum.set_attempts(asked[name]);
          stratum.set_missed(missed[name]);
          return report;
        });
    asked[name] = missed[name] = 0;
  }
  bool Hears(const std::string& a, const std::string& b) const { return side(a) == side(b); }
  bool side(const std::string& name) const { return cut.contains(name); }

  void Start() {
    ASSERT_FALSE(agents["p1"]->Start(now, plan, Nine()));
    Take("p1");
  }
  void Take(const std::string& name) {
    auto output = agents[name]->TakeOutput();
    for (const auto& event : output.events)
      events.push_back(name + " " + std::string(NameOf(event.kind)) + " " + event.reason);
    for (const auto& document : output.documents) Keep(name, document.topic, document.version, document.body);
    if (output.progress != 0) marks[name] = output.progress;
    for (const auto& letter : output.messages) {
      if (ended.contains(letter.to) || !Hears(name, letter.to)) continue;
      agents[letter.to]->OnMessage(now, name, letter.body);
      Take(letter.to);
      if (!agents.contains(name)) return;
    }
    if (output.requested_version) {
      runs.push_back(name + " " + *output.requested_version);
      if (*output.requested_version == refused) {
        agents[name]->OnVersionFailed(*output.requested_version, "it did not come up");
        return Take(name);
      }
      if (version[name] != *output.requested_version) ++changes;
      version[name] = *output.requested_version;
      held[name].clear();
      Begin(name);
    }
  }
  void Keep(const std::string& name, std::uint32_t topic, std::uint64_t of, const std::string& body) {
    auto& mine = held[name][topic];
    if (of > mine.first) mine = {of, body};
  }
  void Run(double seconds) {
    for (const Time until = now + Time(static_cast<std::int64_t>(seconds * 1e6)); now < until;
         now += milliseconds(100)) {
      for (auto& [name, agent] : agents) {
        if (ended.contains(name)) continue;
        asked[name] += 2;
        if (version[name] == "v2" && bad) missed[name] += 1;
        for (const auto& [other, documents] : std::map(held)) {
          if (other == name || ended.contains(other) || !Hears(name, other)) continue;
          for (const auto& [topic, document] : documents) {
            if (document.first <= held[name][topic].first ||
                !agents[name]->AcceptsDocument(topic, document.first))
              continue;
            held[name][topic] = document;
            agents[name]->OnDocument(now, topic, document.first, document.second);
            Take(name);
          }
        }
        if (agents[name]->next_tick_at() <= now) {
          agents[name]->OnTick(now);
          Take(name);
        }
      }
    }
  }
  int Running(const std::string& which) const {
    int n = 0;
    for (const auto& [name, of] : version) n += of == which;
    return n;
  }
  std::string Leader() const {
    for (const auto& [name, agent] : agents)
      if (agent->is_leader() && !ended.contains(name)) return name;
    return "";
  }
  std::string Story() const {
    std::string story;
    for (const std::string& event : events) story += event + "\n";
    return story;
  }
  int Count(const std::string& part) const {
    int n = 0;
    for (const std::string& event : events) n += event.find(part) != std::string::npos;
    return n;
  }

  Plan plan;
  Time now{milliseconds(1000)};
  std::map<std::string, std::unique_ptr<Agent>> agents;
  std::map<std::string, std::string> version;
  std::map<std::string, std::uint64_t> asked, missed, marks;
  std::map<std::string, std::uint32_t> crashes;
  std::map<std::string, std::map<std::uint32_t, std::pair<std::uint64_t, std::string>>> held;
  std::set<std::string> cut, ended;
  std::vector<std::string> events, runs;
  std::string refused;
  std::uint64_t lives = 0;
  int changes = 0;
  bool bad = false;
};

TEST(Agent, AGoodChangeReachesAllAndIsDone) {
  Fleet fleet;
  fleet.Start();
  fleet.Run(90);
  EXPECT_EQ(fleet.Running("v2"), 9) << fleet.Story();
  for (const auto& [name, agent] : fleet.agents)
    EXPECT_EQ(agent->progress().status, RolloutStatus::kCompleted) << name;
  EXPECT_EQ(fleet.changes, 9);
}

TEST(Agent, ABadChangeIsStoppedInItsFirstStageAndTakenBack) {
  Fleet fleet;
  fleet.bad = true;
  fleet.Start();
  fleet.Run(60);
  EXPECT_EQ(fleet.Running("v1"), 9);
  EXPECT_EQ(fleet.changes, 2);  // one there, and back
  EXPECT_EQ(fleet.Count("stopped missed"), 1);
}

TEST(Agent, AVersionThatDoesNotComeUpStopsTheChange) {
  Fleet fleet;
  fleet.refused = "v2";
  fleet.Start();
  fleet.Run(20);
  EXPECT_EQ(fleet.Running("v1"), 9);
  EXPECT_EQ(fleet.runs.size(), 1u);
  for (const auto& [name, agent] : fleet.agents) EXPECT_TRUE(agent->progress().requires_rollback()) << name;
}

// Mutant: silence taken for health.
TEST(Agent, AChangedMemberThatIsNotHeardCountsAgainstTheChange) {
  Fleet fleet;
  fleet.Start();
  fleet.Run(4);
  std::string changed;
  for (const auto& [name, version] : fleet.version)
    if (version == "v2") changed = name;
  ASSERT_NE(changed, "");
  fleet.ended.insert(changed);
  fleet.Run(15);
  EXPECT_EQ(fleet.Count("is not heard"), 1);
  EXPECT_EQ(fleet.Running("v2"), 1);  // who was not heard has not heard either
}

// Mutant: no majority asked.
TEST(Agent, ASideWithoutAMajorityGoesNoFurtherAndGoesBack) {
  Fleet fleet;
  fleet.Start();
  fleet.Run(4);
  ASSERT_EQ(fleet.Running("v2"), 1);
  // The changed one and three more are alone.
  int others = 0;
  for (const auto& [name, version] : fleet.version)
    if (version == "v2" || others++ < 3) fleet.cut.insert(name);
  fleet.ended = {};
  for (const auto& [name, version] : fleet.version)
    if (!fleet.cut.contains(name) && fleet.ended.size() < 2)
      fleet.ended.insert(name);  // neither side has five
  fleet.Run(60);
  EXPECT_EQ(fleet.Running("v2"), 0) << fleet.Story();  // alone_back_s
  EXPECT_EQ(fleet.Count(" stage stage"), 0) << fleet.Story();
}

TEST(Agent, AnAbortAnywhereIsFinal) {
  Fleet fleet;
  fleet.Start();
  fleet.Run(4);
  EXPECT_FALSE(fleet.agents["p7"]->Abort(fleet.now));
  fleet.Take("p7");
  fleet.Run(90);
  EXPECT_EQ(fleet.Running("v1"), 9);
  for (const auto& [name, agent] : fleet.agents)
    EXPECT_EQ(agent->progress().status, RolloutStatus::kAborted) << name;
  EXPECT_TRUE(fleet.agents["p2"]->Abort(fleet.now));
}

TEST(Agent, APauseLetsNoFurtherMemberChange) {
  Fleet fleet;
  fleet.Start();
  fleet.Run(4);
  EXPECT_FALSE(fleet.agents["p3"]->Pause(fleet.now));
  fleet.Take("p3");
  fleet.Run(60);
  EXPECT_EQ(fleet.Running("v2"), 1);
  EXPECT_FALSE(fleet.agents["p5"]->Resume(fleet.now));
  fleet.Take("p5");
  fleet.Run(90);
  EXPECT_EQ(fleet.Running("v2"), 9);
}

TEST(Agent, ASecondChangeIsRefusedByNameWhileOneIsUnderWay) {
  Fleet fleet;
  fleet.Start();
  fleet.Run(2);
  EXPECT_NE(fleet.agents["p4"]->Start(fleet.now, fleet.plan, Nine())->text.find("'nine' is under way"),
            std::string::npos);
  fleet.Run(120);
  Plan back = fleet.plan;
  std::swap(back.old_version, back.new_version);
  EXPECT_FALSE(fleet.agents["p4"]->Start(fleet.now, back, Nine()));
  fleet.Take("p4");
  fleet.Run(120);
  EXPECT_EQ(fleet.Running("v1"), 9);
}

TEST(Agent, AnotherMemberTakesUpTheLeadWhereItStood) {
  Fleet fleet;
  fleet.Start();
  fleet.Run(16);
  const std::string leader = fleet.Leader();
  ASSERT_NE(leader, "");
  const std::string was = fleet.version[leader];
  fleet.ended.insert(leader);
  fleet.Run(4);
  EXPECT_NE(fleet.Leader(), "");
  fleet.Run(2);
  fleet.ended.clear();
  fleet.held[leader].clear();
  fleet.Begin(leader);
  fleet.Run(120);
  EXPECT_TRUE(fleet.Running("v2") == 9 || fleet.Running("v1") == 9) << fleet.Running("v2");
}

// Mutant: the change of a mark not compared.
TEST(Agent, TheMarkOfAnotherChangeIsNotThisOnes) {
  Fleet fleet;
  fleet.Start();
  fleet.Run(2);
  const Progress other{fleet.agents["p1"]->progress().rollout_id - 1, RolloutStatus::kAborted, 0, 9};
  EXPECT_FALSE(fleet.agents["p1"]->AcceptsDocument(kProgressTopic, other.Encode()));
  wire::AgentMessage letter;
  letter.set_rollout_id(other.rollout_id);
  letter.set_progress(other.Encode());
  for (auto& [name, agent] : fleet.agents) agent->OnMessage(fleet.now, "p1", letter.SerializeAsString());
  // Nor one of this number that claims a greater change in its mark.
  letter.set_progress(Progress{other.rollout_id + 2, RolloutStatus::kAborted, 0, 9}.Encode());
  for (auto& [name, agent] : fleet.agents) agent->OnMessage(fleet.now, "p1", letter.SerializeAsString());
  for (auto& [name, agent] : fleet.agents) EXPECT_FALSE(agent->progress().ended()) << name;
  fleet.Run(90);
  EXPECT_EQ(fleet.Running("v2"), 9) << fleet.Story();
}

// ---- whole changes in virtual time -----------------------------------------------------------------------

fault_testing::TrialResult Play(fault_testing::TrialOptions options) {
  options.members = 9;
  options.classes = 2;
  options.accounts = 1;
  return fault_testing::TryChange(kPlan, "plan", options);
}

TEST(Trial, WhatIsPromisedHoldsWhateverFails) {
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    fault_testing::TrialOptions options;
    options.seed = seed;
    options.faults = true;
    options.length_s = 400;
    const fault_testing::TrialResult result = Play(options);
    std::string told;
    for (const std::string& line : result.story) told += line + "\n";
    EXPECT_TRUE(result.holds) << "seed " << seed << "\n" << told;
  }
}

TEST(Trial, HardHarmsAreStoppedInTheFirstStage) {
  for (const fault_testing::Harm harm :
       {fault_testing::Harm::kNoStart, fault_testing::Harm::kEnds, fault_testing::Harm::kDeaf}) {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
      fault_testing::TrialOptions options;
      options.seed = seed;
      options.harm = harm;
      options.amount = 5;
      const fault_testing::TrialResult result = Play(options);
      EXPECT_TRUE(result.stopped && !result.done) << static_cast<int>(harm) << " seed " << seed;
      EXPECT_LE(result.ever, 1) << seed;
    }
  }
}

}  // namespace
}  // namespace copperpoint::rollout
