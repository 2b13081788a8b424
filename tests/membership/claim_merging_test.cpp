// SPDX-License-Identifier: Apache-2.0
//
// Which messages and claims of other members are accepted.
#include <gtest/gtest.h>

#include "membership_testing.h"

namespace copperpoint::testing {
namespace {

// Mutant: refutation without a new number.
TEST(ClaimMerging, ASuspectRefutesWithANewNumberThatAllAccept) {
  TestNetwork net;
  for (const char* name : {"a", "b", "c"}) net.Add(name);
  net.Run(2000);
  net.SendClaim("b", "a", ClaimOn(net.nodes["c"]->self(), wire::STATUS_SUSPECT, 1));
  EXPECT_EQ(net.StatusAt("a", "c"), MemberStatus::kSuspect);
  net.Run(1000);
  EXPECT_EQ(net.nodes["c"]->self().refutation_number(), 2u);
  EXPECT_EQ(net.Count("a", Event::Kind::kRefuted, "c"), 1);
  EXPECT_TRUE(net.Converged());
}

TEST(ClaimMerging, RefutationNumbersWrapAround) {
  EXPECT_TRUE(membership::IsLater(0, 0xffffffffu));
  EXPECT_FALSE(membership::IsLater(0xffffffffu, 0));
  TestNetwork net;
  for (const char* name : {"a", "b"}) net.Add(name);
  net.Run(1000);
  // In steps that serial arithmetic takes for later, up to the end and beyond it.
  for (const std::uint32_t refutation_number : {0x7ffffff0u, 0xe0000000u, 0xffffffffu}) {
    net.SendClaim("b", "a", ClaimOn(net.nodes["a"]->self(), wire::STATUS_SUSPECT, refutation_number));
    net.Run(500);
  }
  EXPECT_EQ(net.nodes["a"]->self().refutation_number(), 0u);
  EXPECT_TRUE(net.Converged());
}

// Mutant: a tombstone forgotten at once.
TEST(ClaimMerging, ALateClaimDoesNotReviveADeadMember) {
  TestNetwork net;
  for (const char* name : {"a", "b", "c", "d"}) net.Add(name);
  net.Run(2000);
  const membership::Record of_d = net.nodes["d"]->self();
  net.stopped["d"] = true;
  net.Run(4000);
  ASSERT_EQ(net.StatusAt("a", "d"), MemberStatus::kDead);
  const int joined = net.Count("a", Event::Kind::kJoined, "d");
  net.SendClaim("b", "a", ClaimOn(of_d, wire::STATUS_ALIVE, of_d.refutation_number()));
  EXPECT_EQ(net.StatusAt("a", "d"), MemberStatus::kDead);
  EXPECT_EQ(net.Count("a", Event::Kind::kJoined, "d"), joined);
}

// Two members restart at once. Each receives a claim on the other's present process first, and then, from a
// member that did not restart, one on the process before: the older claim must not end the present process
// for good.
TEST(ClaimMerging, ALateClaimOnThePreviousProcessEndsNobody) {
  TestNetwork net;
  for (const char* name : {"a", "b", "c"}) net.Add(name);
  net.Run(2000);
  wire::Claim before;
  *before.mutable_record() = net.nodes["b"]->self();
  before.mutable_record()->set_refutation_number(before.record().refutation_number() +
                                                 3);  // it had refuted suspicions
  net.nodes.erase("b");
  net.Add("b", {"a"}, 77);
  net.Run(2000);
  ASSERT_TRUE(net.Converged());
  wire::Message late = MessageFrom(*net.nodes["c"], wire::KIND_GOSSIP, net.nodes["a"]->self().incarnation(),
                                   net.sequences["c"] + 1);
  *late.add_claims() = before;
  net.Deliver("a", late);
  net.Run(4000);
  EXPECT_TRUE(net.Converged());
  EXPECT_FALSE(net.nodes["b"]->stopped());
  const auto& members = net.nodes["a"]->members();
  EXPECT_EQ(members[members.Find("b")].record->incarnation(), net.nodes["b"]->self().incarnation());
}

TEST(ClaimMerging, MessagesAreAcceptedOnceAndOnlyBetweenPresentProcesses) {
  TestNetwork net;
  for (const char* name : {"a", "b"}) net.Add(name);
  std::vector<std::string> to_a;
  net.tap = [&](const std::string&, const std::string& to, const std::string& bytes) {
    if (to == "a") to_a.push_back(bytes);
  };
  net.Run(2000);
  net.tap = nullptr;
  ASSERT_GT(to_a.size(), 4u);
  const auto hash = net.nodes["a"]->members().hash();
  for (const std::string& bytes : to_a) net.nodes["a"]->OnDatagram(net.now, "b", bytes);
  EXPECT_EQ(net.nodes["a"]->counters().replays, to_a.size());
  // Another process takes the name of b: messages of the first are dropped.
  net.nodes.erase("b");
  net.Run(100);
  net.Add("b");
  net.Run(1000);
  const auto dropped = [&] {
    return net.nodes["a"]->counters().replays + net.nodes["a"]->counters().older_incarnations;
  };
  const auto before = dropped();
  for (const std::string& bytes : to_a) net.nodes["a"]->OnDatagram(net.now, "b", bytes);
  EXPECT_EQ(dropped(), before + to_a.size());
  EXPECT_EQ(net.StatusAt("a", "b"), MemberStatus::kAlive);
  // A new process of a drops them too.
  net.nodes.erase("a");
  net.Add("a", {"b"});
  net.Run(1000);
  for (const std::string& bytes : to_a) net.nodes["a"]->OnDatagram(net.now, "b", bytes);
  EXPECT_TRUE(net.Converged());
  EXPECT_NE(hash, 0u);
}

}  // namespace
}  // namespace copperpoint::testing
