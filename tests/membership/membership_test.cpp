// SPDX-License-Identifier: Apache-2.0
//
// The view's rules one by one. Each test that a named defect would break says which.
#include "membership/membership.h"

#include <gtest/gtest.h>

#include "membership_testing.h"

namespace copperpoint::testing {
namespace {

wire::Claim ClaimOn(const membership::Record& of, wire::Status status, std::uint32_t refutation_number,
                    std::uint32_t age_ms = 0) {
  wire::Claim claim;
  claim.set_status(status);
  *claim.mutable_record() = of;
  claim.mutable_record()->set_refutation_number(refutation_number);
  claim.set_age_ms(age_ms);
  claim.set_reported_by("b");
  return claim;
}

// Tells `to` a claim in the name of `from`.
void Say(TestNetwork& net, const std::string& from, const std::string& to, const wire::Claim& claim) {
  wire::Message message = MessageOf(*net.nodes[from], wire::KIND_GOSSIP, net.nodes[to]->self().incarnation(),
                                    ++net.sequences[from]);
  *message.add_claims() = claim;
  net.Deliver(to, message);
}

TEST(Membership, MembersFindEachOtherThroughOneSeed) {
  TestNetwork net;
  for (const char* name : {"a", "b", "c", "d", "e"}) net.Add(name);
  net.Run(2000);
  EXPECT_TRUE(net.Converged());
  for (const auto& [name, v] : net.nodes) EXPECT_TRUE(v->converged()) << name;
}

TEST(Membership, SeedsThatAreAllDeadAreAskedAgain) {
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

// Mutants: a suspicion that never ends; one that ends at once.
TEST(Membership, OneThatEndsIsDeadAfterTheSilenceAndNotBefore) {
  TestNetwork net;
  for (const char* name : {"a", "b", "c", "d"}) net.Add(name);
  net.Run(2000);
  net.stopped["d"] = true;
  const Time ended = net.now;
  while (net.StatusAt("a", "d") != MemberStatus::kDead && net.now < ended + std::chrono::seconds(10))
    net.Run(10);
  EXPECT_EQ(net.StatusAt("a", "d"), MemberStatus::kDead);
  EXPECT_GE(net.now - ended, net.options.contact_timeout - net.options.probe_period);
  EXPECT_LE(net.now - ended, net.options.contact_timeout + 3 * net.options.probe_period);
  net.Run(500);
  EXPECT_EQ(net.Count("b", Event::Kind::kDead, "d") + net.Count("c", Event::Kind::kDead, "d"), 2);
}

TEST(Membership, OneThatStoodStillForLessThanTheSilenceIsNeverTakenForDead) {
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

// Lifeguard's point: it did not hear because it stood still, not because they fell silent.
TEST(Membership, OneThatStoodStillForLongTakesNobodyForDead) {
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

// Mutant: refutation without a new refutation number.
TEST(Membership, ASuspectAnswersWithANewRefutationNumberThatAllBelieve) {
  TestNetwork net;
  for (const char* name : {"a", "b", "c"}) net.Add(name);
  net.Run(2000);
  Say(net, "b", "a", ClaimOn(net.nodes["c"]->self(), wire::STATUS_SUSPECT, 1));
  EXPECT_EQ(net.StatusAt("a", "c"), MemberStatus::kSuspect);
  net.Run(1000);
  EXPECT_EQ(net.nodes["c"]->self().refutation_number(), 2u);
  EXPECT_EQ(net.Count("a", Event::Kind::kRefuted, "c"), 1);
  EXPECT_TRUE(net.Converged());
}

TEST(Membership, TheRefutationNumberHasNoEnd) {
  EXPECT_TRUE(membership::IsLater(0, 0xffffffffu));
  EXPECT_FALSE(membership::IsLater(0xffffffffu, 0));
  TestNetwork net;
  for (const char* name : {"a", "b"}) net.Add(name);
  net.Run(1000);
  // In steps that serial arithmetic takes for later, up to the end and beyond it.
  for (const std::uint32_t refutation_number : {0x7ffffff0u, 0xe0000000u, 0xffffffffu}) {
    Say(net, "b", "a", ClaimOn(net.nodes["a"]->self(), wire::STATUS_SUSPECT, refutation_number));
    net.Run(500);
  }
  EXPECT_EQ(net.nodes["a"]->self().refutation_number(), 0u);
  EXPECT_TRUE(net.Converged());
}

// Mutant: a tombstone forgotten at once.
TEST(Membership, TheDeadDoNotComeBackByHearsay) {
  TestNetwork net;
  for (const char* name : {"a", "b", "c", "d"}) net.Add(name);
  net.Run(2000);
  const membership::Record of_d = net.nodes["d"]->self();
  net.stopped["d"] = true;
  net.Run(4000);
  ASSERT_EQ(net.StatusAt("a", "d"), MemberStatus::kDead);
  const int joined = net.Count("a", Event::Kind::kJoined, "d");
  Say(net, "b", "a", ClaimOn(of_d, wire::STATUS_ALIVE, of_d.refutation_number()));
  EXPECT_EQ(net.StatusAt("a", "d"), MemberStatus::kDead);
  EXPECT_EQ(net.Count("a", Event::Kind::kJoined, "d"), joined);
}

// Mutant: a dead member's metadata kept.
TEST(Membership, WhatADeadMemberPublishedGoesWithIt) {
  TestNetwork net;
  for (const char* name : {"a", "b", "c"}) net.Add(name);
  net.Run(1000);
  ASSERT_TRUE(net.nodes["c"]->Publish(net.now, "load", "7"));
  net.Flush("c");
  net.Run(1000);
  const auto& members = net.nodes["a"]->members();
  EXPECT_EQ(members[members.Find("c")].record->metadata().at("load"), "7");
  net.stopped["c"] = true;
  net.Run(4000);
  EXPECT_TRUE(members[members.Find("c")].record->metadata().empty());
}

TEST(Membership, TheBagIsBounded) {
  TestNetwork net;
  Membership& a = net.Add("a", {});
  EXPECT_FALSE(a.Publish(net.now, "k", std::string(net.options.max_metadata_value_bytes + 1, 'x')));
  std::size_t taken = 0;
  while (a.Publish(net.now, std::string(1, static_cast<char>('a' + taken)), "v")) ++taken;
  EXPECT_EQ(taken, net.options.max_metadata_entries);
  membership::Record large;
  large.set_name(std::string(net.options.max_name_bytes + 1, 'n'));
  EXPECT_THROW(Membership(net.options, peers::FrameCodec("c", kKey), large, 1, net.now),
               std::invalid_argument);
}

TEST(Membership, LeavingIsKnownAtOnceAndIsNoDeath) {
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
  net.Add("d");  // again, with nothing kept
  net.Run(1000);
  EXPECT_TRUE(net.Converged());
}

TEST(Membership, ARestartFasterThanItsDeathWasKnownIsANewProcess) {
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

// Two restart at once. Each hears of the other's present process first, and then, from one that stayed, of
// the process before: the older news must not end the present process for good.
TEST(Membership, NewsOfTheProcessBeforeThatComesLateEndsNobody) {
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
  wire::Message late = MessageOf(*net.nodes["c"], wire::KIND_GOSSIP, net.nodes["a"]->self().incarnation(),
                                 net.sequences["c"] + 1);
  *late.add_claims() = before;
  net.Deliver("a", late);
  net.Run(4000);
  EXPECT_TRUE(net.Converged());
  EXPECT_FALSE(net.nodes["b"]->stopped());
  const auto& members = net.nodes["a"]->members();
  EXPECT_EQ(members[members.Find("b")].record->incarnation(), net.nodes["b"]->self().incarnation());
}

// A storm of events is told at a bounded rate, and probes go on meanwhile.
TEST(Membership, AStormOfEventsIsToldAtABoundedRate) {
  membership::Options options;
  options.max_gossip_bytes_per_s = 2 * 1024;
  TestNetwork net(options);
  constexpr int kMembers = 60;
  for (int i = 0; i < kMembers; ++i) net.Add(std::string("m").append(std::to_string(i)), {"m0"});
  for (int second = 0; second < 8; ++second) {
    std::map<std::string, std::uint64_t> before;
    for (auto& [name, v] : net.nodes) before[name] = v->counters().sent_bytes;
    for (auto& [name, v] : net.nodes) v->Publish(net.now, "k", std::to_string(second));
    net.Run(1000);
    for (auto& [name, v] : net.nodes) {
      const std::uint64_t sent = v->counters().sent_bytes - before[name];
      // What has no news in it: probes, answers and gossip without room, 100 bytes each at most.
      EXPECT_LT(sent, 2 * options.max_gossip_bytes_per_s + 100 * 150) << name;
      EXPECT_GT(sent, 5u * 60u) << name;
    }
  }
  net.Run(8000);
  EXPECT_TRUE(net.Converged());
}

TEST(Membership, OfTwoProcessesWithOneNameTheOlderFallsSilent) {
  TestNetwork net;
  for (const char* name : {"a", "b", "c"}) net.Add(name);
  net.Run(1500);
  // The second of them answers at another address.
  membership::Record again;
  again.set_name("c");
  again.set_address("c2");
  net.nodes["c2"] =
      std::make_unique<Membership>(net.options, peers::FrameCodec("c", kKey), again, 99, net.now);
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

TEST(Membership, HalvesThatMeetAgainBuryNobody) {
  TestNetwork net;
  for (const char* name : {"a", "b", "c", "d", "e", "f"}) net.Add(name);
  net.Run(2000);
  const auto side = [](const std::string& name) { return name < "d"; };
  net.passes = [&](const std::string& x, const std::string& y) { return side(x) == side(y); };
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

TEST(Membership, AOneWayCutTakesNobodyDown) {
  TestNetwork net;
  for (const char* name : {"a", "b", "c", "d"}) net.Add(name);
  net.Run(2000);
  net.passes = [](const std::string& from, const std::string& to) { return !(from == "a" && to == "b"); };
  net.Run(10000);
  for (auto& [name, events] : net.events)
    for (const auto& event : events)
      EXPECT_NE(event.kind, Event::Kind::kDead) << name << " of " << event.name;
}

TEST(Membership, NothingIsTakenTwiceNorOfAnOlderLifeNorSaidToOne) {
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
  // b ends and another takes its name: what the first had said is worth nothing.
  net.nodes.erase("b");
  net.Run(100);
  net.Add("b");
  net.Run(1000);
  const auto refused = [&] {
    return net.nodes["a"]->counters().replays + net.nodes["a"]->counters().older_incarnations;
  };
  const auto before = refused();
  for (const std::string& bytes : to_a) net.nodes["a"]->OnDatagram(net.now, "b", bytes);
  EXPECT_EQ(refused(), before + to_a.size());
  EXPECT_EQ(net.StatusAt("a", "b"), MemberStatus::kAlive);
  // And a in the next incarnation of its own takes none of it either.
  net.nodes.erase("a");
  net.Add("a", {"b"});
  net.Run(1000);
  for (const std::string& bytes : to_a) net.nodes["a"]->OnDatagram(net.now, "b", bytes);
  EXPECT_TRUE(net.Converged());
  EXPECT_NE(hash, 0u);
}

TEST(Membership, ATombstoneThatAgedOutOnOneSideHarmsNobody) {
  TestNetwork net;
  net.options.tombstone_lifetime = std::chrono::seconds(20);
  for (const char* name : {"a", "b", "c", "d"}) net.Add(name);
  net.Run(2000);
  // b hears nothing for so long that the others have forgotten that d ever was.
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
