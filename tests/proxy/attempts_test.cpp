// SPDX-License-Identifier: Apache-2.0
//
// Single attempts on an event loop that the test runs one handler at a time: several events that are ready
// in one turn, and events that occur between two turns.
#include <gtest/gtest.h>

#include <boost/asio/local/connect_pair.hpp>
#include <boost/asio/local/stream_protocol.hpp>
#include <functional>
#include <optional>

#include "support/attempt_fixture.h"

namespace copperpoint::testing {
namespace {

using proxy::Steady;
using std::chrono::milliseconds;

class Attempts : public AttemptFixture {};

TEST_F(Attempts, SendsTheTimeLeftWhenTheRequestIsWritten) {
  Send(milliseconds(60000));
  SleepWithoutPolling(milliseconds(300));  // simulates a slow connect
  Tcp::socket peer = Accept();
  std::string bytes;
  ASSERT_TRUE(StepUntil(io_, [&] {
    bytes += ReadAvailable(peer).bytes;
    return IsComplete(bytes, *Request());
  }));
  const std::size_t at = bytes.find("Req-Deadline-Ms: ");
  ASSERT_NE(at, std::string::npos);
  EXPECT_LE(std::stoi(bytes.substr(at + 17)), 59700);
  EXPECT_EQ(bytes.find("Req-Deadline-Ms: ", at + 1), std::string::npos) << "the field is sent twice";
}

TEST_F(Attempts, ReportsNotExecutedOnlyIfWriteIsIncomplete) {
  // The connection is established and the timeout expires in the same turn of the event loop.
  Send(milliseconds(30));
  SleepWithoutPolling(milliseconds(60));
  Tcp::socket peer = Accept();
  ASSERT_TRUE(RunUntilCompleted());
  const ReceivedData received = ReadToEnd(peer);
  EXPECT_EQ(CannotHaveRun(), !IsComplete(received.bytes, *Request())) << received.bytes;
}

// The last bytes are written in the turn in which the timer fires; a complete write must not be reported as
// an attempt that never ran. The requests are slightly larger than what the kernel buffers.
TEST_F(Attempts, ReportsWriteThatCompletesAsTheTimerFires) {
  const std::size_t buffered_bytes = MeasureKernelBuffer();
  int complete_writes = 0;
  for (const std::size_t left : {1000, 50000, 100000, 200000, 400000}) {
    const auto request = Request(std::string(buffered_bytes + left, 'y'));
    Tcp::socket peer = SendUntilBlocked({.timeout = milliseconds(150)}, request);
    SleepWithoutPolling(milliseconds(200));
    std::string bytes = ReadAvailable(peer).bytes;  // makes room for the rest after the timeout has expired
    ASSERT_TRUE(RunUntilCompleted());
    bytes += ReadToEnd(peer).bytes;
    EXPECT_EQ(CannotHaveRun(), !IsComplete(bytes, *request))
        << bytes.size() << " of " << request->body().size();
    complete_writes += IsComplete(bytes, *request);
  }
  EXPECT_GT(complete_writes, 0) << "no write completed in the turn of the timer";
}

// Guards against a second execution: a retry was written although its connection, or the process, was held up
// until the backends had forgotten the idempotency key. The connection is established in time, and the event
// loop does not get to it before the time to be sent by.
TEST_F(Attempts, WritesNothingWhenHeldUpPastTheTimeToBeSentBy) {
  const auto send_by = SendWithin(milliseconds(30));
  Tcp::socket peer = Accept();
  SuspendUntil(send_by);
  ASSERT_TRUE(RunUntilCompleted());
  EXPECT_EQ(result_->outcome, AttemptOutcome::kNotSent) << "the backend is not at fault";
  EXPECT_FALSE(result_->local_failure);
  EXPECT_EQ(ReadToEnd(peer).bytes, "");
}

TEST_F(Attempts, WritesNothingToAnIdleConnectionAfterTheTimeToBeSentBy) {
  Send(milliseconds(60000));
  Tcp::socket peer = Accept();
  ASSERT_TRUE(StepUntil(io_, [&] { return !ReadAvailable(peer).bytes.empty(); }));
  SendRaw(peer, OkResponse("one"));
  ASSERT_TRUE(RunUntilCompleted());
  ASSERT_EQ(backends_->connection_count(), 1u);
  SendWithin(milliseconds(0));
  ASSERT_TRUE(RunUntilCompleted());
  EXPECT_EQ(result_->outcome, AttemptOutcome::kNotSent);
  EXPECT_EQ(ReadToEnd(peer).bytes, "");
}

// The last byte counts: room for the rest of a partly written request comes after the time to be sent by, in
// the turn in which the timer fires.
TEST_F(Attempts, LeavesARequestIncompleteThatIsPartlyWrittenAtTheTimeToBeSentBy) {
  const std::size_t buffered_bytes = MeasureKernelBuffer();
  int partly_written = 0;
  for (const std::size_t left : {1000, 50000, 100000, 200000, 400000}) {
    const auto request = Request(std::string(buffered_bytes + left, 'y'));
    const auto send_by = Steady::now() + milliseconds(500);
    Tcp::socket peer = SendUntilBlocked({.timeout = milliseconds(2000), .send_by = send_by}, request);
    SuspendUntil(send_by);
    std::string bytes = ReadAvailable(peer).bytes;  // makes room
    const bool complete = IsComplete(bytes, *request);
    ASSERT_TRUE(RunUntilCompleted());
    if (complete) continue;
    ++partly_written;
    EXPECT_EQ(result_->outcome, AttemptOutcome::kNotSent);
    bytes += ReadToEnd(peer).bytes;
    EXPECT_FALSE(IsComplete(bytes, *request)) << "completed after the time to be sent by";
  }
  EXPECT_GT(partly_written, 0) << "the kernel took every request at once";
}

// A connection that never comes up: the request is free for its final response at the time to be sent by,
// before the connect timeout of a minute.
TEST_F(Attempts, StopsConnectingAtTheTimeToBeSentBy) {
  const FullBacklogListener silent;
  backends_->SetEndpoint(kBackend, silent.address(), 0);
  const auto send_by = SendWithin(milliseconds(30));
  ASSERT_TRUE(RunUntilCompleted());
  EXPECT_GE(Steady::now(), send_by);
  EXPECT_EQ(result_->outcome, AttemptOutcome::kNotSent);
}

// What the limit still allows: a request that is written in time may be answered after the time to be sent
// by, on a new connection and on an idle one.
TEST_F(Attempts, AwaitsTheResponseBeyondTheTimeToBeSentBy) {
  std::optional<Tcp::socket> peer;
  for (const char* const answer : {"one", "two"}) {
    const auto send_by = SendWithin(milliseconds(1000));
    if (!peer) peer = Accept();
    std::string bytes;
    ASSERT_TRUE(StepUntil(io_, [&] {
      bytes += ReadAvailable(*peer).bytes;
      return IsComplete(bytes, *Request());
    }));
    SuspendUntil(send_by);
    RunUntilBlocked();  // handles the timer, if one is left
    ASSERT_FALSE(result_.has_value());
    SendRaw(*peer, OkResponse(answer));
    ASSERT_TRUE(RunUntilCompleted());
    EXPECT_EQ(result_->outcome, AttemptOutcome::kSuccess);
    EXPECT_EQ(result_->response.body(), answer);
  }
}

// The client of a large request has left by the time the connection is established: nothing may be written.
TEST_F(Attempts, WritesNothingOfALargeRequestWhoseSenderIsNotConfirmed) {
  struct SourceWithoutSender : proxy::BodySource {
    void Read(OnBodyChunk) override { ADD_FAILURE() << "nothing may be read"; }
    bool ConfirmSender() override { return false; }
  };
  const auto upload = std::make_shared<proxy::RequestBodyStream>(
      proxy::RequestBodyStream{std::make_shared<SourceWithoutSender>()});
  result_.reset();
  backends_->SendRequest(
      kBackend, Request(), {.timeout = milliseconds(60000)},
      [this](proxy::AttemptResult result) { result_ = std::move(result); }, upload);
  Tcp::socket peer = Accept();
  ASSERT_TRUE(RunUntilCompleted());
  EXPECT_EQ(result_->outcome, AttemptOutcome::kNotSent) << "the backend is not at fault";
  EXPECT_EQ(ReadToEnd(peer).bytes, "");
}

TEST_F(Attempts, WritesNothingWhenCancelledAsItsConnectionIsReady) {
  Send(milliseconds(60000));
  Tcp::socket peer = Accept();  // established, but not handled by the event loop yet
  backends_->CancelUnsent(attempt_handle_);
  EXPECT_FALSE(result_) << "completed within CancelUnsent";
  ASSERT_TRUE(RunUntilCompleted());
  EXPECT_EQ(result_->outcome, AttemptOutcome::kNotSent);
  EXPECT_FALSE(result_->local_failure);
  EXPECT_EQ(ReadToEnd(peer).bytes, "");
  EXPECT_EQ(backends_->connection_count(), 0u);
}

// The attempt is cancelled in the turn of the event loop in which its connection is established, just before
// the handler of the connection.
TEST_F(Attempts, WritesNothingWhenEndedInTheTurnOfItsConnection) {
  const std::function<void()> cancellations[] = {[this] { backends_->CancelUnsent(attempt_handle_); },
                                                 [this] { backends_->DrainBackend(kBackend); }};
  for (const auto& cancel : cancellations) {
    backends_->SetEndpoint(kBackend, acceptor_.local_endpoint(), 0);
    asio::local::stream_protocol::socket trigger(io_), trigger_peer(io_);
    asio::local::connect_pair(trigger, trigger_peer);
    trigger.async_wait(asio::socket_base::wait_read, [&](const error_code&) { cancel(); });
    asio::write(trigger_peer, asio::buffer("!", 1));
    Send(milliseconds(60000));
    Tcp::socket peer = Accept();
    ASSERT_TRUE(RunUntilCompleted());
    EXPECT_EQ(result_->outcome, AttemptOutcome::kNotSent);
    EXPECT_EQ(ReadToEnd(peer).bytes, "");
  }
}

TEST_F(Attempts, BackendThatDrainsWhileConnectingGetsNothing) {
  Send(milliseconds(60000));
  Tcp::socket peer = Accept();
  backends_->DrainBackend(kBackend);
  ASSERT_TRUE(RunUntilCompleted());
  EXPECT_EQ(result_->outcome, AttemptOutcome::kNotSent);
  EXPECT_FALSE(result_->local_failure);
  EXPECT_EQ(ReadToEnd(peer).bytes, "");
}

TEST_F(Attempts, BackendRemovedByASnapshotWhileConnectingGetsNothing) {
  Send(milliseconds(60000));
  Tcp::socket peer = Accept();
  backends_->DrainAllExcept({});
  ASSERT_TRUE(RunUntilCompleted());
  EXPECT_EQ(ReadToEnd(peer).bytes, "");
}

TEST_F(Attempts, BackendRestartedWhileConnectingGetsNothingOfTheOneBefore) {
  Send(milliseconds(60000));
  Tcp::socket peer = Accept();
  backends_->SetEndpoint(kBackend, acceptor_.local_endpoint(), 1234);
  ASSERT_TRUE(RunUntilCompleted());
  EXPECT_EQ(ReadToEnd(peer).bytes, "");
  Send(milliseconds(60000));  // the next attempt opens a new connection
  Tcp::socket next = Accept();
  ASSERT_TRUE(StepUntil(io_, [&] { return !ReadAvailable(next).bytes.empty(); }));
}

TEST_F(Attempts, PartlyWrittenRequestEndsWhenItsBackendDrains) {
  const auto request = Request(std::string(64 * 1024 * 1024, 'y'));
  Send(milliseconds(60000), request);
  Tcp::socket peer = Accept();
  std::string bytes;
  ASSERT_TRUE(StepUntil(io_, [&] {
    bytes += ReadAvailable(peer).bytes;
    return !bytes.empty();
  }));
  backends_->DrainBackend(kBackend);
  ASSERT_TRUE(RunUntilCompleted());
  EXPECT_EQ(result_->outcome, AttemptOutcome::kNotSent);
  bytes += ReadToEnd(peer).bytes;
  EXPECT_FALSE(IsComplete(bytes, *request));
}

TEST_F(Attempts, CompletelyWrittenRequestIsNotCancelled) {
  Send(milliseconds(60000));
  Tcp::socket peer = Accept();
  ASSERT_TRUE(StepUntil(io_, [&] { return !ReadAvailable(peer).bytes.empty(); }));
  backends_->CancelUnsent(attempt_handle_);
  backends_->DrainBackend(kBackend);
  SendRaw(peer, OkResponse("it ran"));
  ASSERT_TRUE(RunUntilCompleted());
  EXPECT_EQ(result_->outcome, AttemptOutcome::kSuccess);
  EXPECT_EQ(result_->response.body(), "it ran");
}

TEST_F(Attempts, HandleOfAnEarlierAttemptCancelsNothing) {
  Send(milliseconds(60000));
  const proxy::BackendPool::AttemptHandle first = attempt_handle_;
  Tcp::socket peer = Accept();
  ASSERT_TRUE(StepUntil(io_, [&] { return !ReadAvailable(peer).bytes.empty(); }));
  SendRaw(peer, OkResponse("one"));
  ASSERT_TRUE(RunUntilCompleted());
  Send(milliseconds(60000));  // on the same connection
  backends_->CancelUnsent(first);
  ASSERT_TRUE(StepUntil(io_, [&] { return !ReadAvailable(peer).bytes.empty(); }));
  SendRaw(peer, OkResponse("two"));
  ASSERT_TRUE(RunUntilCompleted());
  EXPECT_EQ(result_->response.body(), "two");
}

TEST_F(Attempts, WritesNothingToConnectionThatEndedWhileIdle) {
  Send(milliseconds(60000));
  Tcp::socket peer = Accept();
  ASSERT_TRUE(StepUntil(io_, [&] { return !ReadAvailable(peer).bytes.empty(); }));
  SendRaw(peer, OkResponse("one"));
  ASSERT_TRUE(RunUntilCompleted());
  peer.shutdown(Tcp::socket::shutdown_send);  // not handled by the event loop yet
  Send(milliseconds(60000));
  Tcp::socket next = Accept();
  ASSERT_TRUE(StepUntil(io_, [&] { return !ReadAvailable(next).bytes.empty(); }));
  EXPECT_EQ(ReadAvailable(peer).bytes, "");
}

TEST_F(Attempts, OnlyResetAfterTheLastByteMayHaveExecuted) {
  Send(milliseconds(60000));
  Tcp::socket peer = Accept();
  ASSERT_TRUE(StepUntil(io_, [&] { return !ReadAvailable(peer).bytes.empty(); }));
  CloseWithReset(peer);
  ASSERT_TRUE(RunUntilCompleted());
  EXPECT_EQ(result_->outcome, AttemptOutcome::kConnectionReset);

  const auto large = Request(std::string(64 * 1024 * 1024, 'y'));
  Send(milliseconds(60000), large);
  Tcp::socket half = Accept();
  ASSERT_TRUE(StepUntil(io_, [&] { return !ReadAvailable(half).bytes.empty(); }));
  CloseWithReset(half);
  ASSERT_TRUE(RunUntilCompleted());
  EXPECT_EQ(result_->outcome, AttemptOutcome::kConnectFailure);
}

// Only a response that is complete by its own framing is a success.
TEST_F(Attempts, ResponseTruncatedAtAnyByteIsAFailure) {
  const std::string forms[] = {
      OkResponse("body"),
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;a=b\r\nbo\r\n2\r\ndy\r\n0\r\nT: 1\r\n\r\n",
      "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody",
      "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nbody",
  };
  for (const std::string& form : forms) {
    for (const bool by_reset : {true, false}) {
      const bool delimited_by_close = form.find("Connection: close") != std::string::npos;
      const std::size_t head = form.find("\r\n\r\nbody");
      for (std::size_t cut = 0; cut < form.size(); ++cut) {
        // A response delimited by an orderly close is complete wherever its body ends.
        if (delimited_by_close && !by_reset && cut >= head + 4) continue;
        Send(milliseconds(60000));
        Tcp::socket peer = Accept();
        ASSERT_TRUE(StepUntil(io_, [&] { return !ReadAvailable(peer).bytes.empty(); }));
        SendRaw(peer, form.substr(0, cut));
        by_reset ? CloseWithReset(peer) : peer.close();
        ASSERT_TRUE(RunUntilCompleted());
        EXPECT_EQ(result_->outcome, AttemptOutcome::kConnectionReset) << "after " << form.substr(0, cut);
      }
    }
  }
}

TEST_F(Attempts, ResponseInSingleBytesIsComplete) {
  for (const std::string& form :
       {OkResponse("body"),
        std::string(
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;a=\"b\"\r\nbo\r\n2\r\ndy\r\n0\r\nT: "
            "1\r\n\r\n"),
        std::string("HTTP/1.1 103 Early\r\nA: b\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length:4\r\n\r\nbody")}) {
    Send(milliseconds(60000));
    Tcp::socket peer = Accept();
    ASSERT_TRUE(StepUntil(io_, [&] { return !ReadAvailable(peer).bytes.empty(); }));
    for (const char byte : form) {
      SendRaw(peer, std::string(1, byte));
      io_.restart();
      io_.poll();
    }
    ASSERT_TRUE(RunUntilCompleted());
    EXPECT_EQ(result_->outcome, AttemptOutcome::kSuccess);
    EXPECT_EQ(result_->response.body(), "body");
    peer.close();
    ASSERT_TRUE(StepUntil(io_, [&] { return backends_->connection_count() == 0; }));
  }
}

TEST_F(Attempts, SecondResponseOnIdleConnectionClosesIt) {
  Send(milliseconds(60000));
  Tcp::socket peer = Accept();
  ASSERT_TRUE(StepUntil(io_, [&] { return !ReadAvailable(peer).bytes.empty(); }));
  SendRaw(peer, OkResponse("one"));
  ASSERT_TRUE(RunUntilCompleted());
  SendRaw(peer, OkResponse("again"));  // not handled by the event loop yet
  Send(milliseconds(60000));
  Tcp::socket next = Accept();
  ASSERT_TRUE(StepUntil(io_, [&] { return !ReadAvailable(next).bytes.empty(); }));
  SendRaw(next, OkResponse("two"));
  ASSERT_TRUE(RunUntilCompleted());
  EXPECT_EQ(result_->response.body(), "two");
}

}  // namespace
}  // namespace copperpoint::testing
