// SPDX-License-Identifier: Apache-2.0
//
// Compares hashes of the decision module's replies to the event streams of a dozen scenarios with recorded
// ones. The replies are encoded as in the simulator's protocol, without log texts. Guards against a change
// that is meant to keep behaviour but changes a decision. After an intended change, run this test with
// COPPERPOINT_RECORD_REPLIES=FILE to record the hashes anew.
#include <gtest/gtest.h>
#include <xxhash.h>

#include <algorithm>
#include <cstdint>
#include <cstdlib>
#include <fstream>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "adapter/codec.h"
#include "copperpoint/balancer.h"
#include "simulation/run/run.h"
#include "simulation/scenario/scenario.h"

namespace copperpoint {
namespace {

constexpr const char* kScenarios[] = {"fleet_herd", "fleet_zone", "friday_silence", "grey",
                                      "lost_zone",  "mass_join",  "monday_surge",   "one_way_cut",
                                      "ordinary",   "overload",   "proxy_release",  "throng"};
constexpr std::uint64_t kSeeds[] = {1, 2, 3};
constexpr double kMaxLengthSeconds = 12;  // scenarios are cut off here to bound the test's run time

// Hosts the decision module as the simulator does, and adds each reply to one hash over all proxies.
class RecordingPolicy : public simulation::Policy {
 public:
  RecordingPolicy(simulation::PolicyContext context, XXH3_state_t* sum)
      : balancer_(std::move(context.settings), context.seed), sum_(sum) {}

  void Handle(TimePoint now, const Event& event, std::vector<Action>* actions) override {
    const std::size_t first = actions->size();
    balancer_.Handle(now, event, actions);
    adapter::ReplyWriter reply;
    for (std::size_t i = first; i < actions->size(); ++i) {
      if (!std::holds_alternative<Log>((*actions)[i])) reply.Add(0, (*actions)[i]);
    }
    const std::string frame = reply.Take();
    XXH3_64bits_update(sum_, frame.data(), frame.size());
  }

 private:
  Balancer balancer_;
  XXH3_state_t* sum_;
};

std::string HashOfReplies(const std::string& name, std::uint64_t seed) {
  simulation::Scenario scenario = simulation::ReadScenario(SOURCE_DIR "/lab/scenarios/" + name + ".toml");
  scenario.length_s = std::min(scenario.length_s, kMaxLengthSeconds);
  const std::unique_ptr<XXH3_state_t, decltype(&XXH3_freeState)> sum(XXH3_createState(), &XXH3_freeState);
  XXH3_64bits_reset(sum.get());
  simulation::RunOptions options;
  options.seed = seed;
  options.make_policy = [&](const std::string&, simulation::PolicyContext context) {
    return std::make_unique<RecordingPolicy>(std::move(context), sum.get());
  };
  simulation::Run(scenario, options);
  return std::to_string(XXH3_64bits_digest(sum.get()));
}

std::map<std::string, std::string> RecordedHashes() {
  std::map<std::string, std::string> recorded;
  std::ifstream in(SOURCE_DIR "/tests/decision/recorded_replies.txt");
  std::string name, seed, hash;
  while (in >> name >> seed >> hash) recorded[name + " " + seed] = hash;
  return recorded;
}

class RecordedReplies : public ::testing::TestWithParam<const char*> {};

TEST_P(RecordedReplies, AreTheSameByteForByte) {
  const char* const file = std::getenv("COPPERPOINT_RECORD_REPLIES");
  const auto recorded = RecordedHashes();
  for (const std::uint64_t seed : kSeeds) {
    const std::string key = std::string(GetParam()) + " " + std::to_string(seed);
    const std::string hash = HashOfReplies(GetParam(), seed);
    if (file != nullptr) std::ofstream(file, std::ios::app) << key << " " << hash << "\n";
    ASSERT_TRUE(recorded.contains(key) || file != nullptr) << key << " is not recorded";
    if (file == nullptr) {
      EXPECT_EQ(hash, recorded.at(key)) << key;
    }
  }
}

INSTANTIATE_TEST_SUITE_P(Scenarios, RecordedReplies, ::testing::ValuesIn(kScenarios),
                         [](const auto& scenario) { return std::string(scenario.param); });

}  // namespace
}  // namespace copperpoint
