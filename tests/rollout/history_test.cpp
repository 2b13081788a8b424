// SPDX-License-Identifier: Apache-2.0
//
// Tests the history of a rollout, and the requests with which its leader polls the members.
#include "rollout/history.h"

#include <gtest/gtest.h>

#include "rollout/progress.h"
#include "rollout/report_requests.h"
#include "rollout_testing.h"

namespace copperpoint::rollout {
namespace {

History::Entry EntryOf(EventKind event) { return {event, "why", "p1", 2, Millis(1500)}; }

TEST(History, RecordsStepsOfOneRollout) {
  History history;
  const auto document = history.Record(7, EntryOf(EventKind::kStarted));
  ASSERT_TRUE(document);
  EXPECT_EQ(document->topic, kHistoryTopic);
  EXPECT_EQ(EpochOf(document->version), 7u);
  ASSERT_TRUE(history.Record(7, EntryOf(EventKind::kPaused)));
  ASSERT_EQ(history.steps().steps_size(), 2);
  EXPECT_EQ(history.steps().steps(0).event(), "begun");
  EXPECT_EQ(history.steps().steps(0).age_ms(), 1500u);
  ASSERT_TRUE(history.Record(8, EntryOf(EventKind::kStarted)));
  EXPECT_EQ(history.steps().steps_size(), 1);
}

TEST(History, LongerOneReplacesAShorter) {
  History a, b;
  const auto one = a.Record(7, EntryOf(EventKind::kStarted));
  const auto two = a.Record(7, EntryOf(EventKind::kPaused));
  EXPECT_GT(two->version, one->version);
  b.OnDocument(two->version, two->body);
  EXPECT_EQ(b.steps().steps_size(), 2);
  b.OnDocument(one->version, one->body);
  EXPECT_EQ(b.steps().steps_size(), 2);
}

TEST(History, RecordsAtMostTwoHundredSteps) {
  History history;
  for (int i = 0; i < 200; ++i) ASSERT_TRUE(history.Record(7, EntryOf(EventKind::kPaused))) << i;
  EXPECT_FALSE(history.Record(7, EntryOf(EventKind::kPaused)));
  EXPECT_TRUE(history.Record(8, EntryOf(EventKind::kPaused)));
}

// Guards against renamed events: members of other program versions read the names.
TEST(History, EventNamesAreFixed) {
  EXPECT_STREQ(NameOf(EventKind::kPlanRejected), "not_understood");
  EXPECT_STREQ(NameOf(EventKind::kPlanReceived), "held");
  EXPECT_STREQ(NameOf(EventKind::kStarted), "begun");
  EXPECT_STREQ(NameOf(EventKind::kExpired), "expired");
  EXPECT_STREQ(NameOf(EventKind::kLeaderElected), "leads");
  EXPECT_STREQ(NameOf(EventKind::kMemberAdmitted), "member");
  EXPECT_STREQ(NameOf(EventKind::kBakeTimeStarted), "watching");
  EXPECT_STREQ(NameOf(EventKind::kStageStarted), "stage");
  EXPECT_STREQ(NameOf(EventKind::kProgressed), "progress");
  EXPECT_STREQ(NameOf(EventKind::kPaused), "paused");
  EXPECT_STREQ(NameOf(EventKind::kResumed), "resumed");
  EXPECT_STREQ(NameOf(EventKind::kStopped), "stopped");
  EXPECT_STREQ(NameOf(EventKind::kAborted), "aborted");
  EXPECT_STREQ(NameOf(EventKind::kCompleted), "done");
  EXPECT_STREQ(NameOf(EventKind::kEnded), "ended");
  EXPECT_STREQ(NameOf(EventKind::kVersionRequested), "run");
  EXPECT_STREQ(NameOf(EventKind::kVersionFailed), "failed");
}

TEST(ReportRequests, AreDueEveryHalfSecond) {
  ReportRequests requests;
  requests.Restart(Millis(1000));
  EXPECT_TRUE(requests.IsDue(Millis(1000)));
  EXPECT_EQ(requests.Start(Millis(1000)), 1u);
  EXPECT_FALSE(requests.IsDue(Millis(1499)));
  EXPECT_TRUE(requests.IsDue(Millis(1500)));
}

TEST(ReportRequests, KnowWhenEachOfTheLastWasSent) {
  ReportRequests requests;
  requests.Restart(Millis(0));
  EXPECT_EQ(requests.RequestedAt(0), std::nullopt);
  for (int i = 1; i <= 40; ++i) requests.Start(Millis(i * 500));
  EXPECT_EQ(requests.RequestedAt(40), Millis(20000));
  EXPECT_EQ(requests.RequestedAt(9), Millis(4500));
  EXPECT_EQ(requests.RequestedAt(8), std::nullopt);   // Older than the latest 32 requests.
  EXPECT_EQ(requests.RequestedAt(41), std::nullopt);  // Not sent yet.
}

TEST(ReportRequests, RestartDropsEarlierRequestsAndContinuesTheirNumbers) {
  ReportRequests requests;
  requests.Restart(Millis(0));
  const std::uint32_t number = requests.Start(Millis(0));
  requests.Restart(Millis(100));
  EXPECT_EQ(requests.RequestedAt(number), std::nullopt);
  EXPECT_EQ(requests.Start(Millis(100)), number + 1);
}

}  // namespace
}  // namespace copperpoint::rollout
