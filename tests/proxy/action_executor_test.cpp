// SPDX-License-Identifier: Apache-2.0
//
// ActionExecutor: every StartAttempt is followed by one AttemptCompleted, and a result that rules out a retry
// completes the request with the matching response.
#include "proxy/core/action_executor.h"

#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "support/backend.h"
#include "support/recording_responder.h"

namespace copperpoint::testing {
namespace {

using proxy::ActionExecutor;
using proxy::OpenRequest;
using proxy::RequestOutcome;
using std::chrono::milliseconds;

constexpr milliseconds kLongTime{60'000};
constexpr int kMaxAttempts = 2;
constexpr BackendId kBackend = 9;

class RecordingSink : public proxy::EventSink {
 public:
  void Dispatch(Event event) override { completed.push_back(std::get<AttemptCompleted>(event)); }
  std::vector<AttemptCompleted> completed;
};

class ActionExecutorTest : public ::testing::Test {
 protected:
  RequestId Add(milliseconds time_left = kLongTime) {
    return requests_.Add(ParsedLookRequest("1a", time_left), responder_);
  }
  static StartAttempt Start(RequestId request) {
    StartAttempt start;
    start.request = request;
    start.backend = kBackend;
    return start;
  }
  // Runs the event loop until `attempts` attempts are completed.
  void RunUntilCompleted(std::size_t attempts) {
    io_.restart();  // the loop has stopped if no work was left
    while (sink_.completed.size() < attempts) ASSERT_GT(io_.run_one_for(std::chrono::seconds(20)), 0u);
  }
  const AttemptCompleted& last() const { return sink_.completed.back(); }

  boost::asio::io_context io_;
  RecordingObserver observer_;
  RecordingSink sink_;
  proxy::RequestTable requests_{observer_};
  proxy::BackendPool backends_{io_, {}};
  proxy::DiscoveryClient discovery_{io_, {}, [](const proxy::EndpointList&) {}, [] {}};
  proxy::BalancerClock clock_;
  ActionExecutor executor_{{kMaxAttempts, Duration(7)}, clock_, requests_, backends_, discovery_, sink_};
  std::shared_ptr<RecordingResponder> responder_ = std::make_shared<RecordingResponder>();
};

TEST_F(ActionExecutorTest, SuccessIsForwardedAndTheRequestRemoved) {
  Backend backend("served");
  backends_.SetEndpoint(kBackend, backend.address(), 0);
  const RequestId id = Add();
  executor_.Execute(Start(id));
  EXPECT_TRUE(requests_.Find(id)->attempt_in_flight);
  EXPECT_TRUE(sink_.completed.empty()) << "completed within Execute";
  RunUntilCompleted(1);
  EXPECT_EQ(last().request, id);
  EXPECT_EQ(last().attempt, 0);
  EXPECT_EQ(last().backend, kBackend);
  EXPECT_EQ(last().outcome, AttemptOutcome::kSuccess);
  EXPECT_TRUE(last().request_completed);
  EXPECT_EQ(responder_->calls, std::vector<std::string>{"response served"});
  EXPECT_EQ(requests_.size(), 0u);
  ASSERT_EQ(observer_.completed.size(), 1u);
  EXPECT_EQ(observer_.completed[0].attempts, 1);
}

// Guards against a retry that is written after the backends have forgotten its idempotency key: the time to
// be sent by, in the Balancer's clock, reaches the connection, and the Balancer learns that nothing was sent.
TEST_F(ActionExecutorTest, AttemptIsNotSentAfterTheTimeToBeSentBy) {
  Backend backend("served");
  backends_.SetEndpoint(kBackend, backend.address(), 0);
  const RequestId id = Add();
  StartAttempt late = Start(id);
  late.send_by = clock_.Now();
  executor_.Execute(late);
  RunUntilCompleted(1);
  EXPECT_EQ(last().outcome, AttemptOutcome::kNotSent);
  EXPECT_FALSE(last().request_completed);
  EXPECT_TRUE(responder_->calls.empty());
  StartAttempt in_time = Start(id);
  in_time.send_by = clock_.Now() + Duration(kLongTime);
  executor_.Execute(in_time);
  RunUntilCompleted(2);
  EXPECT_EQ(last().outcome, AttemptOutcome::kSuccess);
  EXPECT_EQ(backend.activity.Get().requests.size(), 1u) << "only the attempt that was in time";
}

TEST_F(ActionExecutorTest, RequestThatTheBackendRejectsGetsItsStatus) {
  Backend backend([](Tcp::socket& socket, const HttpRequest&) {
    SendRaw(socket, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
    return true;
  });
  backends_.SetEndpoint(kBackend, backend.address(), 0);
  executor_.Execute(Start(Add()));
  RunUntilCompleted(1);
  EXPECT_EQ(last().outcome, AttemptOutcome::kUnknown);
  EXPECT_TRUE(last().request_completed);
  EXPECT_EQ(responder_->calls, std::vector<std::string>{"client error 404"});
  EXPECT_EQ(observer_.completed.at(0).outcome, RequestOutcome::kClientError);
}

TEST_F(ActionExecutorTest, FailedAttemptLeavesTheAnswerToTheBalancer) {
  const RequestId id = Add();
  executor_.Execute(Start(id));  // to a backend without an address
  RunUntilCompleted(1);
  EXPECT_EQ(last().outcome, AttemptOutcome::kConnectFailure);
  EXPECT_FALSE(last().request_completed);
  EXPECT_TRUE(responder_->calls.empty());
  const OpenRequest* request = requests_.Find(id);
  ASSERT_TRUE(request);
  EXPECT_FALSE(request->attempt_in_flight);
  executor_.Execute(Start(id));
  RunUntilCompleted(2);
  EXPECT_EQ(last().attempt, 1);
}

TEST_F(ActionExecutorTest, AttemptThatMayNotStartIsReportedAtOnceAsNotSent) {
  const auto expect_not_sent = [&](RequestId id, int attempt, bool completed, const char* why) {
    const std::size_t before = sink_.completed.size();
    executor_.Execute(Start(id));
    ASSERT_EQ(sink_.completed.size(), before + 1) << why;
    EXPECT_EQ(last().outcome, AttemptOutcome::kNotSent) << why;
    EXPECT_EQ(last().request, id) << why;
    EXPECT_EQ(last().attempt, attempt) << why;
    EXPECT_EQ(last().request_completed, completed) << why;
  };
  expect_not_sent(77, 0, true, "no such request");
  expect_not_sent(Add(milliseconds(-1)), 0, false, "the deadline has passed");

  const RequestId in_flight = Add();
  executor_.Execute(Start(in_flight));
  expect_not_sent(in_flight, 1, false, "an attempt is in flight");

  const RequestId answered = Add();
  requests_.Abandon(answered);
  expect_not_sent(answered, 0, true, "the request is answered");

  const RequestId exhausted = Add();
  requests_.Find(exhausted)->attempts = kMaxAttempts;
  expect_not_sent(exhausted, kMaxAttempts, false, "max_attempts is reached");
}

TEST_F(ActionExecutorTest, LimitOfThisProcessRejectsAFirstAttemptAndFailsALaterOne) {
  Backend backend;
  backends_.SetEndpoint(kBackend, backend.address(), 0);
  backends_.SetConnectionLimit(0);
  executor_.Execute(Start(Add()));
  RunUntilCompleted(1);
  EXPECT_EQ(last().outcome, AttemptOutcome::kNotSent);
  EXPECT_TRUE(last().request_completed);
  const RequestId second = Add();
  requests_.Find(second)->attempts = 1;
  executor_.Execute(Start(second));
  RunUntilCompleted(2);
  EXPECT_EQ(responder_->calls, (std::vector<std::string>{"unavailable 7", "bad gateway"}));
  EXPECT_EQ(observer_.completed.at(0).outcome, RequestOutcome::kRejected);
  EXPECT_EQ(observer_.completed.at(1).outcome, RequestOutcome::kFailed);
  EXPECT_EQ(requests_.size(), 0u);
}

TEST_F(ActionExecutorTest, ConsumedBodyRulesOutAnotherAttempt) {
  const RequestId id = Add();
  requests_.Find(id)->upload = std::make_shared<proxy::RequestBodyStream>();
  requests_.Find(id)->upload->consumed = true;
  executor_.Execute(Start(id));  // to a backend without an address, so that it cannot run
  RunUntilCompleted(1);
  EXPECT_TRUE(last().request_completed);
  EXPECT_EQ(responder_->calls, std::vector<std::string>{"unavailable 7"});
}

TEST_F(ActionExecutorTest, RejectAndFailAnswerAndRemoveTheRequest) {
  RejectRequest reject;
  reject.request = Add();
  reject.retry_after = Duration(250);
  reject.reason = RejectReason::kLoadShed;
  executor_.Execute(reject);
  FailRequest fail;
  fail.request = Add();
  executor_.Execute(fail);
  EXPECT_EQ(responder_->calls, (std::vector<std::string>{"unavailable 250", "bad gateway"}));
  EXPECT_EQ(requests_.size(), 0u);
  EXPECT_TRUE(sink_.completed.empty());
}

TEST_F(ActionExecutorTest, StartThatThrewIsReportedAsNotSent) {
  const RequestId id = Add();
  requests_.Find(id)->attempts = 1;
  requests_.Find(id)->attempt_in_flight = true;
  executor_.OnExecuteFailed(Start(id));
  ASSERT_EQ(sink_.completed.size(), 1u);
  EXPECT_EQ(last().outcome, AttemptOutcome::kNotSent);
  EXPECT_EQ(last().attempt, 0);
  EXPECT_FALSE(requests_.Find(id)->attempt_in_flight);
  executor_.OnExecuteFailed(RejectRequest{});
  executor_.OnExecuteFailed(Start(77));
  EXPECT_EQ(sink_.completed.size(), 1u);
}

}  // namespace
}  // namespace copperpoint::testing
