// SPDX-License-Identifier: Apache-2.0
//
// Tests of which messages and claims of other members are accepted.
#include <gtest/gtest.h>

#include "membership_testing.h"

namespace copperpoint::testing {
namespace {

// Guards against a refutation that keeps the refutation number of the suspicion: no other member would accept
// it, and a living suspect would be declared dead.
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

// Guards against a plain comparison of refutation numbers: after the greatest number a member could no longer
// refute a suspicion.
TEST(ClaimMerging, RefutationNumbersWrapAround) {
  EXPECT_TRUE(membership::IsLater(0, 0xffffffffu));
  EXPECT_FALSE(membership::IsLater(0xffffffffu, 0));
  TestNetwork net;
  for (const char* name : {"a", "b"}) net.Add(name);
  net.Run(1000);
  // Each step is later in serial arithmetic, up to the greatest number and past it.
  for (const std::uint32_t refutation_number : {0x7ffffff0u, 0xe0000000u, 0xffffffffu}) {
    net.SendClaim("b", "a", ClaimOn(net.nodes["a"]->self(), wire::STATUS_SUSPECT, refutation_number));
    net.Run(500);
  }
  EXPECT_EQ(net.nodes["a"]->self().refutation_number(), 0u);
  EXPECT_TRUE(net.Converged());
}

// Guards against a tombstone that is forgotten too early: a claim from before the death, which arrives late,
// would add the dead member again.
TEST(ClaimMerging, ALateClaimDoesNotReviveADeadMember) {
  TestNetwork net;
  for (const char* name : {"a", "b", "c", "d"}) net.Add(name);
  net.Run(2000);
  const membership::Record record = net.nodes["d"]->self();
  net.stopped["d"] = true;
  net.Run(4000);
  ASSERT_EQ(net.StatusAt("a", "d"), MemberStatus::kDead);
  const int joined = net.Count("a", Event::Kind::kJoined, "d");
  net.SendClaim("b", "a", ClaimOn(record, wire::STATUS_ALIVE, record.refutation_number()));
  EXPECT_EQ(net.StatusAt("a", "d"), MemberStatus::kDead);
  EXPECT_EQ(net.Count("a", Event::Kind::kJoined, "d"), joined);
}

// Guards against a late claim that ends a running process for good. When two members restart at once, each
// receives a claim on the other's present process first, and then, from a member that did not restart, one on
// the previous process.
TEST(ClaimMerging, ALateClaimOnThePreviousProcessDoesNotEndThePresentOne) {
  TestNetwork net;
  for (const char* name : {"a", "b", "c"}) net.Add(name);
  net.Run(2000);
  wire::Claim before;
  *before.mutable_record() = net.nodes["b"]->self();
  // The previous process has refuted three suspicions.
  before.mutable_record()->set_refutation_number(before.record().refutation_number() + 3);
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

// Guards against the acceptance of datagrams that are delivered again: at once, after the sender was replaced
// by a new process, or after the receiver was.
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
  // Another process takes the name "b": messages of the first process are dropped.
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
  // A new process with the name "a" drops them too.
  net.nodes.erase("a");
  net.Add("a", {"b"});
  net.Run(1000);
  for (const std::string& bytes : to_a) net.nodes["a"]->OnDatagram(net.now, "b", bytes);
  EXPECT_TRUE(net.Converged());
  EXPECT_NE(hash, 0u);
}

}  // namespace
}  // namespace copperpoint::testing
