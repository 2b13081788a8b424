// SPDX-License-Identifier: Apache-2.0
//
// Fixtures for the tests of rollouts: a plan, its nine members, and a fleet of agents in virtual time.
#ifndef COPPERPOINT_TESTS_ROLLOUT_ROLLOUT_TESTING_H_
#define COPPERPOINT_TESTS_ROLLOUT_ROLLOUT_TESTING_H_

#include <gtest/gtest.h>

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "rollout/agent.h"
#include "rollout/plan_parser.h"

namespace copperpoint::rollout {

inline constexpr char kPlan[] = R"(
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

// Returns the members p1 to p9, in zones a, b, c, a, ...
inline std::vector<MemberInfo> NineMembers() {
  std::vector<MemberInfo> members;
  for (int i = 0; i < 9; ++i)
    members.push_back(
        {std::string("p").append(std::to_string(i + 1)), std::string(1, static_cast<char>('a' + i % 3))});
  return members;
}

inline Time Millis(int ms) { return std::chrono::milliseconds(ms); }

// Nine agents with supervisors that switch versions without delay. Members that have not exited and are on
// the same side of a partition receive each other's messages without delay and documents within 100 ms.
class Fleet {
 public:
  Fleet() : plan(ParsePlan(kPlan, "plan")) {
    for (const MemberInfo& member : NineMembers()) {
      versions[member.name] = "v1";
      StartProcess(member.name);
    }
  }

  // Replaces the member's process by a new one of the member's current version.
  void StartProcess(const std::string& name) {
    agents[name] = std::make_unique<Agent>(
        Agent::Identity{name, versions[name], ++incarnations, stored_progress[name], "", ""},
        [this, name](const std::string& other) { return !exited.contains(other) && HasContact(name, other); },
        [this, name] {
          wire::MemberReport report;
          report.set_ready(true);
          wire::Stratum& stratum = *report.add_strata();
          stratum.set_requests(requests[name]);
          stratum.set_attempts(requests[name]);
          stratum.set_missed(missed[name]);
          return report;
        });
    requests[name] = missed[name] = 0;
  }
  bool HasContact(const std::string& a, const std::string& b) const {
    return cut_off.contains(a) == cut_off.contains(b);
  }

  void StartRollout() {
    ASSERT_FALSE(agents["p1"]->Start(now, plan, NineMembers()));
    CarryOut("p1");
  }
  // Carries out what the agent has decided.
  void CarryOut(const std::string& name) {
    Agent::Output output = agents[name]->TakeOutput();
    for (const Event& event : output.events)
      events.push_back(name + " " + NameOf(event.kind) + " " + event.reason);
    for (const Document& document : output.documents) {
      Document& stored = documents[name][document.topic];
      if (document.version > stored.version) stored = document;
    }
    if (output.progress != 0) stored_progress[name] = output.progress;
    for (const auto& message : output.messages) {
      if (exited.contains(message.to) || !HasContact(name, message.to)) continue;
      agents[message.to]->OnMessage(now, name, message.body);
      CarryOut(message.to);
    }
    if (output.requested_version) SwitchVersion(name, *output.requested_version);
  }
  void SwitchVersion(const std::string& name, const std::string& version) {
    version_requests.push_back(name + " " + version);
    if (version == failing_version) {
      agents[name]->OnVersionFailed(version, "its process exited before it was ready");
      return CarryOut(name);
    }
    if (versions[name] != version) ++switches;
    versions[name] = version;
    documents[name].clear();
    StartProcess(name);
  }
  void Run(double seconds) {
    for (const Time end = now + FromSeconds(seconds); now < end; now += Millis(100)) {
      for (const auto& [name, agent] : agents) {
        if (exited.contains(name)) continue;
        requests[name] += 2;
        if (versions[name] == "v2" && new_version_fails) missed[name] += 1;
        ReceiveDocuments(name);
        if (agents[name]->next_tick_at() > now) continue;
        agents[name]->OnTick(now);
        CarryOut(name);
      }
    }
  }
  void ReceiveDocuments(const std::string& name) {
    for (const auto& [other, of_other] : std::map(documents)) {
      if (other == name || exited.contains(other) || !HasContact(name, other)) continue;
      for (const auto& [topic, document] : of_other) {
        if (document.version <= documents[name][topic].version) continue;
        if (!agents[name]->AcceptsDocument(topic, document.version)) continue;
        documents[name][topic] = document;
        agents[name]->OnDocument(now, topic, document.version, document.body);
        CarryOut(name);
      }
    }
  }

  int CountRunning(const std::string& version) const {
    int count = 0;
    for (const auto& [name, running] : versions) count += running == version;
    return count;
  }
  std::string Leader() const {
    for (const auto& [name, agent] : agents)
      if (agent->is_leader() && !exited.contains(name)) return name;
    return "";
  }
  std::string EventLog() const {
    std::string log;
    for (const std::string& event : events) log += event + "\n";
    return log;
  }
  int CountEvents(const std::string& part) const {
    int count = 0;
    for (const std::string& event : events) count += event.find(part) != std::string::npos;
    return count;
  }

  Plan plan;
  Time now = Millis(1000);
  std::map<std::string, std::unique_ptr<Agent>> agents;
  std::map<std::string, std::string> versions;
  std::map<std::string, std::uint64_t> requests, missed, stored_progress;
  std::map<std::string, std::map<std::uint32_t, Document>> documents;  // Keyed by member and topic.
  std::set<std::string> cut_off, exited;
  std::vector<std::string> events, version_requests;
  std::string failing_version;
  std::uint64_t incarnations = 0;
  int switches = 0;
  bool new_version_fails = false;  // Whether the new version misses half of its requests.
};

}  // namespace copperpoint::rollout

#endif  // COPPERPOINT_TESTS_ROLLOUT_ROLLOUT_TESTING_H_
