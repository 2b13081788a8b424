// SPDX-License-Identifier: Apache-2.0
//
// RequestTable: every request gets one final response, and is removed when it has it and no attempt is in
// flight.
#include "proxy/core/request_table.h"

#include <gtest/gtest.h>

#include <chrono>
#include <memory>

#include "support/recording_responder.h"

namespace copperpoint::testing {
namespace {

using proxy::OpenRequest;
using proxy::RequestOutcome;
using proxy::RequestTable;
using proxy::Responder;
using std::chrono::milliseconds;

constexpr milliseconds kLongTime{60'000};

class EmptyBody : public proxy::BodySource {
 public:
  void Read(OnBodyChunk) override {}
};

class RequestTableTest : public ::testing::Test {
 protected:
  RequestId Add(const std::string& req_id = "1a", milliseconds time_left = kLongTime) {
    return table_.Add(ParsedLookRequest(req_id, time_left), responder_);
  }
  void Reject(RequestId id) {
    table_.Complete(id, RequestOutcome::kRejected, RejectReason::kLoadShed,
                    [](Responder& to) { to.SendUnavailable(Duration(5)); });
  }
  void Fail(RequestId id) {
    table_.Complete(id, RequestOutcome::kFailed, RejectReason::kNone,
                    [](Responder& to) { to.SendBadGateway(); });
  }

  RecordingObserver observer_;
  RequestTable table_{observer_};
  std::shared_ptr<RecordingResponder> responder_ = std::make_shared<RecordingResponder>();
};

TEST_F(RequestTableTest, AddedRequestIsOpenWithItsFields) {
  const RequestId id = Add();
  const OpenRequest* request = table_.Find(id);
  ASSERT_TRUE(request);
  EXPECT_EQ(request->request_class, 1);
  EXPECT_EQ(request->tenant, 2);
  EXPECT_EQ(request->attempts, 0);
  EXPECT_FALSE(request->answered());
  EXPECT_FALSE(request->upload);
  EXPECT_TRUE(table_.IsOpen("1a"));
  EXPECT_EQ(table_.size(), 1u);
  EXPECT_NE(Add("1b"), id);
  EXPECT_EQ(table_.Find(id + 7), nullptr);
}

TEST_F(RequestTableTest, FirstAnswerIsTheOnlyOne) {
  const RequestId id = Add();
  Reject(id);
  Fail(id);
  EXPECT_FALSE(table_.Abandon(id));
  EXPECT_EQ(responder_->calls, std::vector<std::string>{"unavailable 5"});
  ASSERT_EQ(observer_.completed.size(), 1u);
  EXPECT_EQ(observer_.completed[0].outcome, RequestOutcome::kRejected);
  EXPECT_EQ(observer_.completed[0].request_class, 1);
  EXPECT_EQ(observer_.completed[0].tenant, 2);
  EXPECT_TRUE(observer_.completed[0].before_deadline);
}

TEST_F(RequestTableTest, AbandonedRequestGetsNoAnswer) {
  const RequestId id = Add();
  EXPECT_TRUE(table_.Abandon(id));
  Fail(id);
  EXPECT_TRUE(responder_->calls.empty());
  ASSERT_EQ(observer_.completed.size(), 1u);
  EXPECT_EQ(observer_.completed[0].outcome, RequestOutcome::kClientDisconnected);
}

TEST_F(RequestTableTest, UnknownRequestIsLeftAlone) {
  Reject(7);
  EXPECT_FALSE(table_.Abandon(7));
  table_.RemoveIfDone(7);
  EXPECT_TRUE(observer_.completed.empty());
}

TEST_F(RequestTableTest, IsRemovedOnlyOnceAnsweredAndWithoutAnAttemptInFlight) {
  const RequestId id = Add();
  table_.RemoveIfDone(id);
  EXPECT_TRUE(table_.Find(id)) << "has no answer";
  table_.Find(id)->attempt_in_flight = true;
  Reject(id);
  table_.RemoveIfDone(id);
  EXPECT_TRUE(table_.Find(id)) << "has an attempt in flight";
  EXPECT_TRUE(table_.IsOpen("1a"));
  table_.Find(id)->attempt_in_flight = false;
  table_.RemoveIfDone(id);
  EXPECT_EQ(table_.Find(id), nullptr);
  EXPECT_FALSE(table_.IsOpen("1a"));
  EXPECT_EQ(table_.size(), 0u);
}

TEST_F(RequestTableTest, ReportsAnAnswerAfterTheDeadline) {
  Fail(Add("1a", milliseconds(-1)));
  ASSERT_EQ(observer_.completed.size(), 1u);
  EXPECT_FALSE(observer_.completed[0].before_deadline);
}

TEST_F(RequestTableTest, AnswerReleasesTheRestOfTheBody) {
  auto request = ParsedLookRequest("1a", kLongTime);
  const auto body = std::make_shared<EmptyBody>();
  const std::weak_ptr<EmptyBody> alive = body;
  request.body_stream = body;
  const RequestId id = table_.Add(std::move(request), responder_);
  ASSERT_TRUE(table_.Find(id)->upload);
  EXPECT_EQ(table_.Find(id)->upload->source, body);
  EXPECT_EQ(alive.use_count(), 2);
  Reject(id);
  EXPECT_EQ(alive.use_count(), 1);
}

TEST_F(RequestTableTest, ResponderThatThrowsStillCompletesTheRequest) {
  responder_->throws = true;
  const RequestId id = Add();
  Reject(id);
  EXPECT_EQ(responder_->calls, (std::vector<std::string>{"unavailable 5", "bad gateway"}));
  EXPECT_TRUE(table_.Find(id)->answered());
  EXPECT_EQ(observer_.completed.size(), 1u);
}

}  // namespace
}  // namespace copperpoint::testing
