// SPDX-License-Identifier: Apache-2.0
//
// Tests of the small classes that hold one part of the state each: clock, sequence window, ended
// incarnations, convergence, limits on replies and gossip, probes and documents.
#include <gtest/gtest.h>

#include <algorithm>
#include <set>
#include <string>
#include <vector>

#include "membership/convergence_tracker.h"
#include "membership/document_store.h"
#include "membership/ended_incarnations.h"
#include "membership/gossip_allowance.h"
#include "membership/local_clock.h"
#include "membership/probes.h"
#include "membership/reply_limiter.h"
#include "membership/sequence_window.h"

namespace copperpoint::testing {
namespace {

using membership::Time;
using std::chrono::milliseconds;

constexpr Time kStart = std::chrono::seconds(1000);

TEST(LocalClock, LeavesOutAWakeUpThatIsDelayedByMoreThanTheLimit) {
  const membership::Options options;
  membership::LocalClock clock(options, kStart);
  clock.ExpectWakeup(kStart + milliseconds(100));
  const Time in_time = kStart + milliseconds(100) + options.delayed_wakeup;
  EXPECT_EQ(clock.Enter(in_time), in_time);
  clock.ExpectWakeup(in_time + milliseconds(50));
  const Time delayed = in_time + milliseconds(50) + std::chrono::seconds(3);
  EXPECT_EQ(clock.Enter(delayed), in_time + milliseconds(50));
  EXPECT_EQ(clock.ToHost(clock.ToLocal(delayed)), delayed);
  EXPECT_EQ(clock.Enter(delayed + milliseconds(10)), in_time + milliseconds(60));
}

TEST(LocalClock, CountsAPauseOnceWhereTimerAndDatagramAreBothLate) {
  const membership::Options options;
  membership::LocalClock clock(options, kStart);
  clock.ExpectWakeup(kStart);
  const Time delayed = kStart + std::chrono::seconds(3);
  EXPECT_EQ(clock.Enter(delayed), kStart);
  EXPECT_EQ(clock.Enter(delayed), kStart);
}

TEST(LocalClock, IsTheHostsWhereDelayedWakeUpsAreSwitchedOff) {
  membership::Options options;
  options.with_delayed_wakeups = false;
  membership::LocalClock clock(options, kStart);
  clock.ExpectWakeup(kStart);
  EXPECT_EQ(clock.Enter(kStart + std::chrono::seconds(3)), kStart + std::chrono::seconds(3));
}

TEST(SequenceWindow, AcceptsEachNumberOnceInAnyOrder) {
  membership::SequenceWindow window;
  for (const std::uint32_t sequence : {5u, 3u, 4u, 69u, 6u}) EXPECT_TRUE(window.Accept(sequence)) << sequence;
  for (const std::uint32_t sequence : {3u, 4u, 5u, 6u, 69u})
    EXPECT_FALSE(window.Accept(sequence)) << sequence;
}

TEST(SequenceWindow, RejectsNumbersBelowTheWindow) {
  membership::SequenceWindow window;
  EXPECT_TRUE(window.Accept(100));
  EXPECT_TRUE(window.Accept(37));
  EXPECT_FALSE(window.Accept(36));
  EXPECT_TRUE(window.Accept(1000));
  EXPECT_FALSE(window.Accept(936));
  EXPECT_TRUE(window.Accept(937));
}

TEST(SequenceWindow, WrapsAround) {
  membership::SequenceWindow window;
  EXPECT_TRUE(window.Accept(0x7fffffffu));
  EXPECT_TRUE(window.Accept(0xfffffffeu));
  EXPECT_TRUE(window.Accept(1));
  EXPECT_TRUE(window.Accept(0xffffffffu));
  EXPECT_FALSE(window.Accept(0xfffffffeu));
}

TEST(EndedIncarnations, ForgetsTheOldestBeyondItsLimit) {
  membership::EndedIncarnations ended;
  const std::uint64_t limit = membership::EndedIncarnations::kMaxRemembered;
  for (std::uint64_t incarnation = 1; incarnation <= limit; ++incarnation) ended.Add(incarnation);
  EXPECT_TRUE(ended.Contains(1));
  ended.Add(limit);
  EXPECT_TRUE(ended.Contains(1)) << "an incarnation that is remembered already counts once";
  ended.Add(limit + 1);
  EXPECT_FALSE(ended.Contains(1));
  EXPECT_TRUE(ended.Contains(2));
  ended.Remove(2);
  EXPECT_FALSE(ended.Contains(2));
}

TEST(ConvergenceTracker, AgreesAfterFourComparisonsOrOneOfEachOtherMember) {
  const membership::Options options;
  membership::ConvergenceTracker tracker(options, kStart);
  EXPECT_TRUE(tracker.Agrees(1));
  EXPECT_FALSE(tracker.Agrees(3));
  for (int i = 0; i < 2; ++i) EXPECT_FALSE(tracker.OnComparison(true, kStart));
  EXPECT_TRUE(tracker.Agrees(3));
  EXPECT_FALSE(tracker.Agrees(100));
  for (int i = 0; i < 2; ++i) tracker.OnComparison(true, kStart);
  EXPECT_TRUE(tracker.Agrees(100));
  tracker.OnTableChanged(kStart);
  EXPECT_FALSE(tracker.Agrees(2));
}

TEST(ConvergenceTracker, RequestsASyncOfTablesThatDifferWithoutAChange) {
  const membership::Options options;
  membership::ConvergenceTracker tracker(options, kStart);
  tracker.OnComparison(true, kStart);
  EXPECT_FALSE(tracker.OnComparison(false, kStart + options.sync_delay - Time(1)));
  EXPECT_TRUE(tracker.OnComparison(false, kStart + options.sync_delay));
  EXPECT_FALSE(tracker.Agrees(2));
}

TEST(ConvergenceTracker, RequestsASyncWhereChangesNeverCease) {
  const membership::Options options;
  membership::ConvergenceTracker tracker(options, kStart);
  const Time lost = kStart + 5 * options.sync_delay;
  tracker.OnTableChanged(lost - Time(1));
  EXPECT_FALSE(tracker.OnComparison(false, lost - Time(1)));
  tracker.OnTableChanged(lost);
  EXPECT_TRUE(tracker.OnComparison(false, lost));
}

TEST(ReplyLimiter, AllowsOneReplyASecond) {
  membership::ReplyLimiter limiter(kStart);
  EXPECT_TRUE(limiter.TryAcquire(kStart));
  EXPECT_FALSE(limiter.TryAcquire(kStart + milliseconds(999)));
  EXPECT_TRUE(limiter.TryAcquire(kStart + milliseconds(1000)));
}

TEST(GossipAllowance, RefillsAtItsRateUpToOneSecond) {
  membership::GossipAllowance allowance(1000, kStart);
  EXPECT_EQ(allowance.Available(kStart), 1000u);
  allowance.Spend(1500);
  EXPECT_EQ(allowance.Available(kStart), 0u);
  EXPECT_EQ(allowance.Available(kStart + milliseconds(500)), 0u);
  EXPECT_EQ(allowance.Available(kStart + milliseconds(600)), 100u);
  EXPECT_EQ(allowance.Available(kStart + std::chrono::seconds(60)), 1000u);
}

TEST(ProbeOrder, ProbesEachMemberOnceInEachRound) {
  membership::RandomSource random(1);
  membership::ProbeOrder order;
  int lists = 0;
  const auto list = [&] {
    ++lists;
    return std::vector<int>{1, 2, 3, 4};
  };
  std::set<std::vector<int>> orders;
  for (int round = 1; round <= 20; ++round) {
    std::vector<int> probed;
    for (int i = 0; i < 4; ++i) probed.push_back(*order.Next(list, random));
    EXPECT_EQ(lists, round);
    orders.insert(probed);
    std::sort(probed.begin(), probed.end());
    EXPECT_EQ(probed, std::vector<int>({1, 2, 3, 4}));
  }
  EXPECT_GT(orders.size(), 1u);
  membership::ProbeOrder empty;
  EXPECT_FALSE(empty.Next([] { return std::vector<int>(); }, random).has_value());
}

TEST(OutstandingProbes, AProbeIsTakenOnce) {
  membership::OutstandingProbes probes;
  const std::uint32_t first = probes.Start("a", 1, kStart, false).id;
  const std::uint32_t unanswered = probes.NewId();
  const std::uint32_t second = probes.Start("b", 1, kStart, true).id;
  EXPECT_EQ(std::set<std::uint32_t>({first, unanswered, second}).size(), 3u);
  ASSERT_TRUE(probes.Take(second).has_value());
  EXPECT_FALSE(probes.Take(second).has_value());
  EXPECT_FALSE(probes.Take(unanswered).has_value());
  ASSERT_EQ(probes.all().size(), 1u);
  EXPECT_EQ(probes.all().front().target, "a");
}

TEST(DocumentStore, StoresOnlyLaterVersions) {
  membership::DocumentStore documents;
  EXPECT_FALSE(documents.Accepts(1, 0));
  EXPECT_TRUE(documents.Accepts(1, 2));
  EXPECT_TRUE(documents.Put(1, 2, "body"));
  EXPECT_FALSE(documents.Put(1, 2, "other"));
  EXPECT_FALSE(documents.Accepts(1, 2));
  EXPECT_EQ(documents.Find(1)->body, "body");
  EXPECT_FALSE(documents.Put(1, 3, std::string(membership::DocumentStore::kMaxBodyBytes + 1, 'x')));
  EXPECT_TRUE(documents.Put(1, 3, ""));
}

TEST(DocumentStore, NamesItsVersionsAndTakesOthersThatTheFilterAllows) {
  membership::DocumentStore documents;
  for (membership::Topic topic = 1; topic <= membership::DocumentStore::kMaxTopics; ++topic)
    EXPECT_TRUE(documents.Put(topic, topic, "body"));
  EXPECT_FALSE(documents.Accepts(membership::DocumentStore::kMaxTopics + 1, 1));
  wire::Message message;
  documents.AddVersionsTo(&message);
  ASSERT_EQ(message.document_versions_size(), static_cast<int>(membership::DocumentStore::kMaxTopics));
  EXPECT_EQ(message.document_versions(1).version(), 2u);
  EXPECT_EQ(message.document_versions(1).bytes(), 4u);
  documents.SetFilter([](membership::Topic topic, std::uint64_t) { return topic == 2; });
  EXPECT_FALSE(documents.Accepts(1, 9));
  EXPECT_TRUE(documents.Accepts(2, 9));
}

}  // namespace
}  // namespace copperpoint::testing
