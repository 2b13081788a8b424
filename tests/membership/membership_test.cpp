// SPDX-License-Identifier: Apache-2.0
//
// The view's rules one by one. Each test that a named defect would break says which.
#include "membership/membership.h"

#include <gtest/gtest.h>

#include "membership_testing.h"

namespace copperpoint::testing {
namespace {

wire::Claim ClaimOn(const membership::Record& of, wire::Status status, std::uint32_t incarnation,
                    std::uint32_t age_ms = 0) {
  wire::Claim claim;
  claim.set_status(status);
  *claim.mutable_record() = of;
  claim.mutable_record()->set_incarnation(incarnation);
  claim.set_age_ms(age_ms);
  claim.set_by("b");
  return claim;
}

// Tells `to` a claim in the name of `from`.
void Say(Net& net, const std::string& from, const std::string& to, const wire::Claim& claim) {
  wire::Message message =
      MessageOf(*net.views[from], wire::KIND_GOSSIP, net.views[to]->self().life(), ++net.sequences[from]);
  *message.add_claims() = claim;
  net.Deliver(to, message);
}

TEST(View, MembersFindEachOtherThroughOneSeed) {
  Net net;
  for (const char* name : {"a", "b", "c", "d", "e"}) net.Add(name);
  net.Run(2000);
  EXPECT_TRUE(net.OneView());
  for (const auto& [name, v] : net.views) EXPECT_TRUE(v->settled()) << name;
}

TEST(View, SeedsThatAreAllDeadAreAskedAgain) {
  Net net;
  net.Add("b", {"a"});
  net.Add("c", {"a"});
  net.Run(3000);
  EXPECT_EQ(net.views["b"]->members().living().size(), 1u);
  EXPECT_TRUE(net.views["b"]->established());
  net.Add("a", {"b"});
  net.Run(8000);
  EXPECT_TRUE(net.OneView());
}

// Mutants: a suspicion that never ends; one that ends at once.
TEST(View, OneThatEndsIsDeadAfterTheSilenceAndNotBefore) {
  Net net;
  for (const char* name : {"a", "b", "c", "d"}) net.Add(name);
  net.Run(2000);
  net.stopped["d"] = true;
  const Time ended = net.now;
  while (net.StatusAt("a", "d") != Status::kDead && net.now < ended + std::chrono::seconds(10)) net.Run(10);
  EXPECT_EQ(net.StatusAt("a", "d"), Status::kDead);
  EXPECT_GE(net.now - ended, net.options.silence - net.options.period);
  EXPECT_LE(net.now - ended, net.options.silence + 3 * net.options.period);
  net.Run(500);
  EXPECT_EQ(net.Count("b", Happened::Kind::kDead, "d") + net.Count("c", Happened::Kind::kDead, "d"), 2);
}

TEST(View, OneThatStoodStillForLessThanTheSilenceIsNeverTakenForDead) {
  Net net;
  for (const char* name : {"a", "b", "c", "d"}) net.Add(name);
  net.Run(2000);
  for (int i = 0; i < 5; ++i) {
    net.stopped["d"] = true;
    net.Run(2000);
    net.stopped["d"] = false;
    net.Run(400);
  }
  for (const char* name : {"a", "b", "c"}) EXPECT_EQ(net.Count(name, Happened::Kind::kDead, "d"), 0) << name;
  EXPECT_GE(net.Count("a", Happened::Kind::kSuspected, "d"), 1);
}

// Lifeguard's point: it did not hear because it stood still, not because they fell silent.
TEST(View, OneThatStoodStillForLongTakesNobodyForDead) {
  Net net;
  for (const char* name : {"a", "b", "c", "d"}) net.Add(name);
  net.Run(2000);
  net.stopped["d"] = true;
  net.Run(5000);
  EXPECT_EQ(net.StatusAt("a", "d"), Status::kDead);
  net.stopped["d"] = false;
  net.Run(2000);
  for (const char* name : {"a", "b", "c"}) EXPECT_EQ(net.Count("d", Happened::Kind::kDead, name), 0) << name;
  EXPECT_EQ(net.Count("a", Happened::Kind::kHealed, "d"), 1);
  EXPECT_TRUE(net.OneView());
}

// Mutant: refutation without a new incarnation.
TEST(View, ASuspectAnswersWithANewIncarnationThatAllBelieve) {
  Net net;
  for (const char* name : {"a", "b", "c"}) net.Add(name);
  net.Run(2000);
  Say(net, "b", "a", ClaimOn(net.views["c"]->self(), wire::STATUS_SUSPECT, 1));
  EXPECT_EQ(net.StatusAt("a", "c"), Status::kSuspect);
  net.Run(1000);
  EXPECT_EQ(net.views["c"]->self().incarnation(), 2u);
  EXPECT_EQ(net.Count("a", Happened::Kind::kRefuted, "c"), 1);
  EXPECT_TRUE(net.OneView());
}

TEST(View, TheIncarnationHasNoEnd) {
  EXPECT_TRUE(membership::Later(0, 0xffffffffu));
  EXPECT_FALSE(membership::Later(0xffffffffu, 0));
  Net net;
  for (const char* name : {"a", "b"}) net.Add(name);
  net.Run(1000);
  // In steps that serial arithmetic takes for later, up to the end and beyond it.
  for (const std::uint32_t incarnation : {0x7ffffff0u, 0xe0000000u, 0xffffffffu}) {
    Say(net, "b", "a", ClaimOn(net.views["a"]->self(), wire::STATUS_SUSPECT, incarnation));
    net.Run(500);
  }
  EXPECT_EQ(net.views["a"]->self().incarnation(), 0u);
  EXPECT_TRUE(net.OneView());
}

// Mutant: a tombstone forgotten at once.
TEST(View, TheDeadDoNotComeBackByHearsay) {
  Net net;
  for (const char* name : {"a", "b", "c", "d"}) net.Add(name);
  net.Run(2000);
  const membership::Record of_d = net.views["d"]->self();
  net.stopped["d"] = true;
  net.Run(4000);
  ASSERT_EQ(net.StatusAt("a", "d"), Status::kDead);
  const int joined = net.Count("a", Happened::Kind::kJoined, "d");
  Say(net, "b", "a", ClaimOn(of_d, wire::STATUS_ALIVE, of_d.incarnation()));
  EXPECT_EQ(net.StatusAt("a", "d"), Status::kDead);
  EXPECT_EQ(net.Count("a", Happened::Kind::kJoined, "d"), joined);
}

// Mutant: a dead member's bag kept.
TEST(View, WhatADeadMemberPublishedGoesWithIt) {
  Net net;
  for (const char* name : {"a", "b", "c"}) net.Add(name);
  net.Run(1000);
  ASSERT_TRUE(net.views["c"]->Publish(net.now, "load", "7"));
  net.Flush("c");
  net.Run(1000);
  const auto& members = net.views["a"]->members();
  EXPECT_EQ(members[members.Find("c")].record->bag().at("load"), "7");
  net.stopped["c"] = true;
  net.Run(4000);
  EXPECT_TRUE(members[members.Find("c")].record->bag().empty());
}

TEST(View, TheBagIsBounded) {
  Net net;
  View& a = net.Add("a", {});
  EXPECT_FALSE(a.Publish(net.now, "k", std::string(net.options.most_value + 1, 'x')));
  std::size_t taken = 0;
  while (a.Publish(net.now, std::string(1, static_cast<char>('a' + taken)), "v")) ++taken;
  EXPECT_EQ(taken, net.options.most_bag);
  membership::Record large;
  large.set_name(std::string(net.options.most_name + 1, 'n'));
  EXPECT_THROW(View(net.options, peers::Seal("c", kKey), large, 1, net.now), std::invalid_argument);
}

TEST(View, LeavingIsKnownAtOnceAndIsNoDeath) {
  Net net;
  for (const char* name : {"a", "b", "c", "d"}) net.Add(name);
  net.Run(2000);
  net.views["d"]->Leave(net.now);
  net.Flush("d");
  net.views.erase("d");
  net.Run(400);
  for (const char* name : {"a", "b", "c"}) {
    EXPECT_EQ(net.Count(name, Happened::Kind::kLeft, "d"), 1) << name;
    EXPECT_EQ(net.Count(name, Happened::Kind::kDead, "d"), 0) << name;
  }
  net.Add("d");  // again, with nothing kept
  net.Run(1000);
  EXPECT_TRUE(net.OneView());
}

TEST(View, ARestartFasterThanItsDeathWasKnownIsANewProcess) {
  Net net;
  for (const char* name : {"a", "b", "c", "d"}) net.Add(name);
  net.Run(2000);
  const std::uint64_t life = net.views["d"]->self().life();
  net.views.erase("d");
  net.Run(300);
  net.Add("d");
  net.Run(1500);
  EXPECT_TRUE(net.OneView());
  EXPECT_NE(net.views["d"]->self().life(), life);
  EXPECT_EQ(net.Count("a", Happened::Kind::kDead, "d"), 0);
  EXPECT_EQ(net.Count("a", Happened::Kind::kJoined, "d"), 2);
}

// Two restart at once. Each hears of the other's present process first, and then, from one that stayed, of
// the process before: the older news must not end the present process for good.
TEST(View, NewsOfTheProcessBeforeThatComesLateEndsNobody) {
  Net net;
  for (const char* name : {"a", "b", "c"}) net.Add(name);
  net.Run(2000);
  wire::Claim before;
  *before.mutable_record() = net.views["b"]->self();
  before.mutable_record()->set_incarnation(before.record().incarnation() + 3);  // it had refuted suspicions
  net.views.erase("b");
  net.Add("b", {"a"}, 77);
  net.Run(2000);
  ASSERT_TRUE(net.OneView());
  wire::Message late =
      MessageOf(*net.views["c"], wire::KIND_GOSSIP, net.views["a"]->self().life(), net.sequences["c"] + 1);
  *late.add_claims() = before;
  net.Deliver("a", late);
  net.Run(4000);
  EXPECT_TRUE(net.OneView());
  EXPECT_FALSE(net.views["b"]->silent());
  const auto& members = net.views["a"]->members();
  EXPECT_EQ(members[members.Find("b")].record->life(), net.views["b"]->self().life());
}

// A storm of events is told at a bounded rate, and probes go on meanwhile.
TEST(View, AStormOfEventsIsToldAtABoundedRate) {
  membership::Options options;
  options.most_told = 2 * 1024;
  Net net(options);
  constexpr int kMembers = 60;
  for (int i = 0; i < kMembers; ++i) net.Add(std::string("m").append(std::to_string(i)), {"m0"});
  for (int second = 0; second < 8; ++second) {
    std::map<std::string, std::uint64_t> before;
    for (auto& [name, v] : net.views) before[name] = v->counters().sent_bytes;
    for (auto& [name, v] : net.views) v->Publish(net.now, "k", std::to_string(second));
    net.Run(1000);
    for (auto& [name, v] : net.views) {
      const std::uint64_t sent = v->counters().sent_bytes - before[name];
      // What has no news in it: probes, answers and gossip without room, 100 bytes each at most.
      EXPECT_LT(sent, 2 * options.most_told + 100 * 150) << name;
      EXPECT_GT(sent, 5u * 60u) << name;
    }
  }
  net.Run(8000);
  EXPECT_TRUE(net.OneView());
}

TEST(View, OfTwoProcessesWithOneNameTheOlderFallsSilent) {
  Net net;
  for (const char* name : {"a", "b", "c"}) net.Add(name);
  net.Run(1500);
  // The second of them answers at another address.
  membership::Record again;
  again.set_name("c");
  again.set_address("c2");
  net.views["c2"] = std::make_unique<View>(net.options, peers::Seal("c", kKey), again, 99, net.now);
  net.views["c2"]->Join(net.now, {"a"});
  net.Flush("c2");
  net.Run(4000);
  EXPECT_TRUE(net.views["c"]->silent());
  EXPECT_EQ(net.Count("c", Happened::Kind::kNameTaken, "c"), 1);
  EXPECT_FALSE(net.views["c2"]->silent());
  const auto& members = net.views["a"]->members();
  EXPECT_EQ(members[members.Find("c")].record->address(), "c2");
  EXPECT_EQ(members[members.Find("c")].status, Status::kAlive);
}

TEST(View, HalvesThatMeetAgainBuryNobody) {
  Net net;
  for (const char* name : {"a", "b", "c", "d", "e", "f"}) net.Add(name);
  net.Run(2000);
  const auto side = [](const std::string& name) { return name < "d"; };
  net.passes = [&](const std::string& x, const std::string& y) { return side(x) == side(y); };
  net.Run(15000);
  EXPECT_EQ(net.StatusAt("a", "f"), Status::kDead);
  EXPECT_EQ(net.StatusAt("f", "a"), Status::kDead);
  net.happened.clear();
  net.passes = nullptr;
  net.Run(5000);
  EXPECT_TRUE(net.OneView());
  for (auto& [name, events] : net.happened)
    for (const auto& event : events)
      EXPECT_NE(event.kind, Happened::Kind::kDead) << name << " of " << event.name;
}

TEST(View, AOneWayCutTakesNobodyDown) {
  Net net;
  for (const char* name : {"a", "b", "c", "d"}) net.Add(name);
  net.Run(2000);
  net.passes = [](const std::string& from, const std::string& to) { return !(from == "a" && to == "b"); };
  net.Run(10000);
  for (auto& [name, events] : net.happened)
    for (const auto& event : events)
      EXPECT_NE(event.kind, Happened::Kind::kDead) << name << " of " << event.name;
}

TEST(View, NothingIsTakenTwiceNorOfAnOlderLifeNorSaidToOne) {
  Net net;
  for (const char* name : {"a", "b"}) net.Add(name);
  std::vector<std::string> to_a;
  net.tap = [&](const std::string&, const std::string& to, const std::string& bytes) {
    if (to == "a") to_a.push_back(bytes);
  };
  net.Run(2000);
  net.tap = nullptr;
  ASSERT_GT(to_a.size(), 4u);
  const auto hash = net.views["a"]->members().hash();
  for (const std::string& bytes : to_a) net.views["a"]->OnDatagram(net.now, "b", bytes);
  EXPECT_EQ(net.views["a"]->counters().replays, to_a.size());
  // b ends and another takes its name: what the first had said is worth nothing.
  net.views.erase("b");
  net.Run(100);
  net.Add("b");
  net.Run(1000);
  const auto refused = [&] {
    return net.views["a"]->counters().replays + net.views["a"]->counters().older_lives;
  };
  const auto before = refused();
  for (const std::string& bytes : to_a) net.views["a"]->OnDatagram(net.now, "b", bytes);
  EXPECT_EQ(refused(), before + to_a.size());
  EXPECT_EQ(net.StatusAt("a", "b"), Status::kAlive);
  // And a in a next life of its own takes none of it either.
  net.views.erase("a");
  net.Add("a", {"b"});
  net.Run(1000);
  for (const std::string& bytes : to_a) net.views["a"]->OnDatagram(net.now, "b", bytes);
  EXPECT_TRUE(net.OneView());
  EXPECT_NE(hash, 0u);
}

TEST(View, ATombstoneThatAgedOutOnOneSideHarmsNobody) {
  Net net;
  net.options.tombstone = std::chrono::seconds(20);
  for (const char* name : {"a", "b", "c", "d"}) net.Add(name);
  net.Run(2000);
  // b hears nothing for so long that the others have forgotten that d ever was.
  net.stopped["b"] = true;
  net.views.erase("d");
  net.Run(40000);
  EXPECT_EQ(net.views["a"]->members().Find("d"), -1);
  net.stopped["b"] = false;
  net.Run(16000);
  EXPECT_TRUE(net.OneView());
}

}  // namespace
}  // namespace copperpoint::testing
