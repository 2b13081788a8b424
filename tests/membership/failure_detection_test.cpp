// SPDX-License-Identifier: Apache-2.0
//
// Tests of which members are declared dead, and when.
#include <gtest/gtest.h>

#include "membership_testing.h"

namespace copperpoint::testing {
namespace {

// Guards against a suspicion that never ends in a death, and against one that does so before the contact
// time-out.
TEST(FailureDetection, AnEndedProcessIsDeadAfterTheContactTimeoutAndNotBefore) {
  TestNetwork net;
  for (const char* name : {"a", "b", "c", "d"}) net.Add(name);
  net.Run(2000);
  net.stopped["d"] = true;
  const Time ended_at = net.now;
  while (net.StatusAt("a", "d") != MemberStatus::kDead && net.now < ended_at + std::chrono::seconds(10))
    net.Run(10);
  EXPECT_EQ(net.StatusAt("a", "d"), MemberStatus::kDead);
  EXPECT_GE(net.now - ended_at, net.options.contact_timeout - net.options.probe_period);
  EXPECT_LE(net.now - ended_at, net.options.contact_timeout + 3 * net.options.probe_period);
  net.Run(500);
  EXPECT_EQ(net.Count("b", Event::Kind::kDead, "d") + net.Count("c", Event::Kind::kDead, "d"), 2);
}

// Guards against the death of a member that repeatedly pauses for less than the contact time-out: it is
// suspected, and refutes the suspicion when it resumes.
TEST(FailureDetection, APauseShorterThanTheContactTimeoutIsNoDeath) {
  TestNetwork net;
  for (const char* name : {"a", "b", "c", "d"}) net.Add(name);
  net.Run(2000);
  for (int i = 0; i < 5; ++i) {
    net.stopped["d"] = true;
    net.Run(2000);
    net.stopped["d"] = false;
    net.Run(400);
  }
  for (const char* name : {"a", "b", "c"}) EXPECT_EQ(net.Count(name, Event::Kind::kDead, "d"), 0) << name;
  EXPECT_GE(net.Count("a", Event::Kind::kSuspected, "d"), 1);
}

// Guards against a member that declares the others dead when it resumes after a long pause: it received
// nothing because it had paused, not because the others sent nothing (Lifeguard).
TEST(FailureDetection, AMemberThatPausedForLongDeclaresNoMemberDead) {
  TestNetwork net;
  for (const char* name : {"a", "b", "c", "d"}) net.Add(name);
  net.Run(2000);
  net.stopped["d"] = true;
  net.Run(5000);
  EXPECT_EQ(net.StatusAt("a", "d"), MemberStatus::kDead);
  net.stopped["d"] = false;
  net.Run(2000);
  for (const char* name : {"a", "b", "c"}) EXPECT_EQ(net.Count("d", Event::Kind::kDead, name), 0) << name;
  EXPECT_EQ(net.Count("a", Event::Kind::kHealed, "d"), 1);
  EXPECT_TRUE(net.Converged());
}

// Guards against a death where the datagrams of one member do not reach one other: the rest still reach both.
TEST(FailureDetection, AnInterruptionInOneDirectionIsNoDeath) {
  TestNetwork net;
  for (const char* name : {"a", "b", "c", "d"}) net.Add(name);
  net.Run(2000);
  net.passes = [](const std::string& from, const std::string& to) { return !(from == "a" && to == "b"); };
  net.Run(10000);
  for (auto& [name, events] : net.events)
    for (const auto& event : events)
      EXPECT_NE(event.kind, Event::Kind::kDead) << name << " of " << event.name;
}

}  // namespace
}  // namespace copperpoint::testing
