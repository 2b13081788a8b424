// SPDX-License-Identifier: Apache-2.0
//
// Tests of members that were cut off from each other, and reconnect.
#include <gtest/gtest.h>

#include "membership_testing.h"

namespace copperpoint::testing {
namespace {

// Guards against new deaths when the halves of a partitioned fleet reconnect: each half has claims that the
// members of the other half are dead.
TEST(Partition, HalvesThatReconnectDeclareNoMemberDead) {
  TestNetwork net;
  for (const char* name : {"a", "b", "c", "d", "e", "f"}) net.Add(name);
  net.Run(2000);
  const auto half = [](const std::string& name) { return name < "d"; };
  net.passes = [&](const std::string& x, const std::string& y) { return half(x) == half(y); };
  net.Run(15000);
  EXPECT_EQ(net.StatusAt("a", "f"), MemberStatus::kDead);
  EXPECT_EQ(net.StatusAt("f", "a"), MemberStatus::kDead);
  net.events.clear();
  net.passes = nullptr;
  net.Run(5000);
  EXPECT_TRUE(net.Converged());
  for (auto& [name, events] : net.events)
    for (const auto& event : events)
      EXPECT_NE(event.kind, Event::Kind::kDead) << name << " of " << event.name;
}

// Guards against a dead member that is added again by a member that was cut off for so long that the
// tombstone has expired elsewhere.
TEST(Partition, ATombstoneThatExpiredOnOneSideDoesNotReviveTheMember) {
  TestNetwork net;
  net.options.tombstone_lifetime = std::chrono::seconds(20);
  for (const char* name : {"a", "b", "c", "d"}) net.Add(name);
  net.Run(2000);
  // Member b receives nothing until the others have removed the tombstone of d.
  net.stopped["b"] = true;
  net.nodes.erase("d");
  net.Run(40000);
  EXPECT_EQ(net.nodes["a"]->members().Find("d"), -1);
  net.stopped["b"] = false;
  net.Run(16000);
  EXPECT_TRUE(net.Converged());
}

}  // namespace
}  // namespace copperpoint::testing
