// SPDX-License-Identifier: Apache-2.0
//
// Which members are declared dead, and when.
#include <gtest/gtest.h>

#include "membership_testing.h"

namespace copperpoint::testing {
namespace {

// Mutants: a suspicion that never ends; one that ends at once.
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

// Lifeguard: it received nothing because it had paused, not because the others were silent.
TEST(FailureDetection, AMemberThatPausedForLongDeclaresNobodyDead) {
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

TEST(FailureDetection, AOneWayCutIsNoDeath) {
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
