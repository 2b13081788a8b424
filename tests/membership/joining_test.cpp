// SPDX-License-Identifier: Apache-2.0
//
// Tests of how members find the fleet, leave it, and return.
#include <gtest/gtest.h>

#include "membership_testing.h"

namespace copperpoint::testing {
namespace {

TEST(Joining, MembersFindEachOtherThroughOneSeed) {
  TestNetwork net;
  for (const char* name : {"a", "b", "c", "d", "e"}) net.Add(name);
  net.Run(2000);
  EXPECT_TRUE(net.Converged());
  for (const auto& [name, member] : net.nodes) EXPECT_TRUE(member->converged()) << name;
}

// Guards against fleets that never meet because their common seed started last: seeds that did not answer
// must be contacted again.
TEST(Joining, DeadSeedsAreContactedAgain) {
  TestNetwork net;
  net.Add("b", {"a"});
  net.Add("c", {"a"});
  net.Run(3000);
  EXPECT_EQ(net.nodes["b"]->members().living().size(), 1u);
  EXPECT_TRUE(net.nodes["b"]->established());
  net.Add("a", {"b"});
  net.Run(8000);
  EXPECT_TRUE(net.Converged());
}

// Guards against a leave that the others find out only by a time-out, and report as a death.
TEST(Joining, ALeaveIsKnownAtOnceAndIsNoDeath) {
  TestNetwork net;
  for (const char* name : {"a", "b", "c", "d"}) net.Add(name);
  net.Run(2000);
  net.nodes["d"]->Leave(net.now);
  net.Flush("d");
  net.nodes.erase("d");
  net.Run(400);
  for (const char* name : {"a", "b", "c"}) {
    EXPECT_EQ(net.Count(name, Event::Kind::kLeft, "d"), 1) << name;
    EXPECT_EQ(net.Count(name, Event::Kind::kDead, "d"), 0) << name;
  }
  net.Add("d");  // a new process
  net.Run(1000);
  EXPECT_TRUE(net.Converged());
}

// Guards against a restarted process that is taken for the previous one, or whose restart is reported as a
// death.
TEST(Joining, ARestartBeforeItsDeathIsDetectedIsANewProcess) {
  TestNetwork net;
  for (const char* name : {"a", "b", "c", "d"}) net.Add(name);
  net.Run(2000);
  const std::uint64_t incarnation = net.nodes["d"]->self().incarnation();
  net.nodes.erase("d");
  net.Run(300);
  net.Add("d");
  net.Run(1500);
  EXPECT_TRUE(net.Converged());
  EXPECT_NE(net.nodes["d"]->self().incarnation(), incarnation);
  EXPECT_EQ(net.Count("a", Event::Kind::kDead, "d"), 0);
  EXPECT_EQ(net.Count("a", Event::Kind::kJoined, "d"), 2);
}

// Guards against two processes that use one name at the same time: the later one takes the name over, and the
// older one stops.
TEST(Joining, OfTwoProcessesWithOneNameTheOlderStops) {
  TestNetwork net;
  for (const char* name : {"a", "b", "c"}) net.Add(name);
  net.Run(1500);
  // The second process has another address.
  membership::Record second;
  second.set_name("c");
  second.set_address("c2");
  net.nodes["c2"] =
      std::make_unique<Membership>(net.options, peers::FrameCodec("c", kKey), second, 99, net.now);
  net.nodes["c2"]->Join(net.now, {"a"});
  net.Flush("c2");
  net.Run(4000);
  EXPECT_TRUE(net.nodes["c"]->stopped());
  EXPECT_EQ(net.Count("c", Event::Kind::kNameTaken, "c"), 1);
  EXPECT_FALSE(net.nodes["c2"]->stopped());
  const auto& members = net.nodes["a"]->members();
  EXPECT_EQ(members[members.Find("c")].record->address(), "c2");
  EXPECT_EQ(members[members.Find("c")].status, MemberStatus::kAlive);
}

}  // namespace
}  // namespace copperpoint::testing
