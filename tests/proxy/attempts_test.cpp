// SPDX-License-Identifier: Apache-2.0
//
// One attempt at a time, its event loop stepped by hand: what is ready in one turn, and what comes between.
#include <gtest/gtest.h>

#include <boost/asio/local/connect_pair.hpp>
#include <boost/asio/local/stream_protocol.hpp>
#include <functional>
#include <optional>

#include "proxy/upstream/backend_pool.h"
#include "support/scripted.h"

namespace copperpoint::testing {
namespace {

using std::chrono::milliseconds;

class Attempts : public ::testing::Test {
 protected:
  Attempts() : acceptor_(peer_io_, kAnyPort) {
    limits_.connect_timeout = Duration(60000);
    limits_.timeouts.response_stall = limits_.timeouts.body_stall = std::chrono::minutes(1);
    limits_.timeouts.reuse_delay = milliseconds(0);
    backends_ = std::make_unique<proxy::BackendPool>(io_, limits_);
    backends_->SetEndpoint(kServer, acceptor_.local_endpoint(), 0);
  }

  static std::shared_ptr<const HttpRequest> Request(const std::string& body = "text") {
    HttpRequest request{http::verb::post, "/book", 11};
    request.set("Req-Id", "0b");
    request.set("Req-Deadline-Ms", "99999");
    request.body() = body;
    request.prepare_payload();
    return std::make_shared<const HttpRequest>(std::move(request));
  }

  void Send(milliseconds timeout, std::shared_ptr<const HttpRequest> request = Request()) {
    result_.reset();
    ticket_ = backends_->SendRequest(kServer, std::move(request), Duration(timeout),
                                     [this](proxy::AttemptResult result) { result_ = std::move(result); });
  }
  Tcp::socket Accepted() {
    Tcp::socket socket(peer_io_);
    acceptor_.accept(socket);
    return socket;
  }
  bool Ended() {
    return StepUntil(io_, [this] { return result_.has_value(); });
  }
  static bool Whole(const std::string& bytes, const HttpRequest& request) {
    const std::size_t head = bytes.find("\r\n\r\n");
    return head != std::string::npos && bytes.size() - head - 4 >= request.body().size();
  }
  bool NeverRan() const {
    return result_->outcome == AttemptOutcome::kConnectFailure ||
           result_->outcome == AttemptOutcome::kNotSent ||
           result_->outcome == AttemptOutcome::kBackendRejected;
  }

  static constexpr BackendId kServer = 7;
  asio::io_context io_{1}, peer_io_;
  Tcp::acceptor acceptor_;
  proxy::BackendPool::Limits limits_;
  std::unique_ptr<proxy::BackendPool> backends_;
  proxy::BackendPool::AttemptHandle ticket_;
  std::optional<proxy::AttemptResult> result_;
};

TEST_F(Attempts, SendsTheTimeLeftWhenTheRequestIsWritten) {
  Send(milliseconds(60000));
  StandStill(milliseconds(300));  // a slow connect
  Tcp::socket peer = Accepted();
  std::string bytes;
  ASSERT_TRUE(StepUntil(io_, [&] {
    bytes += HearSoFar(peer).bytes;
    return Whole(bytes, *Request());
  }));
  const std::size_t at = bytes.find("Req-Deadline-Ms: ");
  ASSERT_NE(at, std::string::npos);
  EXPECT_LE(std::stoi(bytes.substr(at + 17)), 59700);
  EXPECT_EQ(bytes.find("Req-Deadline-Ms: ", at + 1), std::string::npos) << "told once";
}

TEST_F(Attempts, NotExecutedMeansNotWrittenCompletely) {
  // The connection is ready and the timeout expires in one turn of the loop.
  Send(milliseconds(30));
  StandStill(milliseconds(60));
  Tcp::socket peer = Accepted();
  ASSERT_TRUE(Ended());
  const Heard heard = HearToTheEnd(peer);
  EXPECT_EQ(NeverRan(), !Whole(heard.bytes, *Request())) << heard.bytes;
}

// The last bytes go out in the turn in which the timer fires. How much the system takes of a request that
// nobody reads is measured first, so that a little is left.
TEST_F(Attempts, ReportsWriteThatCompletesAsTheTimerFires) {
  const auto unread = [this](const std::shared_ptr<const HttpRequest>& request, milliseconds timeout) {
    Send(timeout, request);
    Tcp::socket peer = Accepted();
    for (int quiet = 0; quiet < 20; ++quiet) {  // until the loop has nothing to do
      io_.restart();
      while (io_.poll() > 0) quiet = 0;
      StandStill(milliseconds(1));
    }
    return peer;
  };
  std::size_t taken = 0;
  {
    Tcp::socket peer = unread(Request(std::string(64 * 1024 * 1024, 'y')), milliseconds(60000));
    taken = HearSoFar(peer).bytes.size();
    backends_->CancelUnsent(ticket_);
    ASSERT_TRUE(Ended());
  }
  int whole = 0;
  for (const std::size_t left : {1000, 50000, 100000, 200000, 400000}) {
    const auto request = Request(std::string(taken + left, 'y'));
    Tcp::socket peer = unread(request, milliseconds(150));
    StandStill(milliseconds(200));
    std::string bytes = HearSoFar(peer).bytes;  // there is room for the rest now, and the time is up
    ASSERT_TRUE(Ended());
    bytes += HearToTheEnd(peer).bytes;
    EXPECT_EQ(NeverRan(), !Whole(bytes, *request)) << bytes.size() << " of " << request->body().size();
    whole += Whole(bytes, *request);
  }
  EXPECT_GT(whole, 0) << "the crossing was met";
}

TEST_F(Attempts, WritesNothingWhenCancelledAsItsConnectionIsReady) {
  Send(milliseconds(60000));
  Tcp::socket peer = Accepted();  // it is ready, and the event loop has not seen it yet
  backends_->CancelUnsent(ticket_);
  EXPECT_FALSE(result_) << "not from within the call";
  ASSERT_TRUE(Ended());
  EXPECT_EQ(result_->outcome, AttemptOutcome::kNotSent);
  EXPECT_FALSE(result_->local_failure);
  EXPECT_EQ(HearToTheEnd(peer).bytes, "");
  EXPECT_EQ(backends_->connection_count(), 0u);
}

// Both are ready in one turn of the loop: first the end of the attempt, then its connection.
TEST_F(Attempts, WritesNothingWhenEndedInTheTurnOfItsConnection) {
  const std::function<void()> ends[] = {[this] { backends_->CancelUnsent(ticket_); },
                                        [this] { backends_->DrainBackend(kServer); }};
  for (const auto& end : ends) {
    backends_->SetEndpoint(kServer, acceptor_.local_endpoint(), 0);
    asio::local::stream_protocol::socket trigger(io_), pulls(io_);
    asio::local::connect_pair(trigger, pulls);
    trigger.async_wait(asio::socket_base::wait_read, [&](const error_code&) { end(); });
    asio::write(pulls, asio::buffer("!", 1));
    Send(milliseconds(60000));
    Tcp::socket peer = Accepted();
    ASSERT_TRUE(Ended());
    EXPECT_EQ(result_->outcome, AttemptOutcome::kNotSent);
    EXPECT_EQ(HearToTheEnd(peer).bytes, "");
  }
}

TEST_F(Attempts, BackendThatDrainsWhileConnectingGetsNothing) {
  Send(milliseconds(60000));
  Tcp::socket peer = Accepted();
  backends_->DrainBackend(kServer);
  ASSERT_TRUE(Ended());
  EXPECT_EQ(result_->outcome, AttemptOutcome::kNotSent);
  EXPECT_FALSE(result_->local_failure);
  EXPECT_EQ(HearToTheEnd(peer).bytes, "");
}

TEST_F(Attempts, BackendRemovedByASnapshotWhileConnectingGetsNothing) {
  Send(milliseconds(60000));
  Tcp::socket peer = Accepted();
  backends_->DrainAllExcept({});
  ASSERT_TRUE(Ended());
  EXPECT_EQ(HearToTheEnd(peer).bytes, "");
}

TEST_F(Attempts, BackendRestartedWhileConnectingGetsNothingOfTheOneBefore) {
  Send(milliseconds(60000));
  Tcp::socket peer = Accepted();
  backends_->SetEndpoint(kServer, acceptor_.local_endpoint(), 1234);
  ASSERT_TRUE(Ended());
  EXPECT_EQ(HearToTheEnd(peer).bytes, "");
  Send(milliseconds(60000));  // and is dialled anew for the next
  Tcp::socket next = Accepted();
  ASSERT_TRUE(StepUntil(io_, [&] { return !HearSoFar(next).bytes.empty(); }));
}

TEST_F(Attempts, PartlyWrittenRequestEndsWhenItsBackendDrains) {
  const auto request = Request(std::string(64 * 1024 * 1024, 'y'));
  Send(milliseconds(60000), request);
  Tcp::socket peer = Accepted();
  std::string bytes;
  ASSERT_TRUE(StepUntil(io_, [&] {
    bytes += HearSoFar(peer).bytes;
    return !bytes.empty();
  }));
  backends_->DrainBackend(kServer);
  ASSERT_TRUE(Ended());
  EXPECT_EQ(result_->outcome, AttemptOutcome::kNotSent);
  bytes += HearToTheEnd(peer).bytes;
  EXPECT_FALSE(Whole(bytes, *request));
}

TEST_F(Attempts, CompletelyWrittenRequestIsNotCancelled) {
  Send(milliseconds(60000));
  Tcp::socket peer = Accepted();
  ASSERT_TRUE(StepUntil(io_, [&] { return !HearSoFar(peer).bytes.empty(); }));
  backends_->CancelUnsent(ticket_);
  backends_->DrainBackend(kServer);
  SendRaw(peer, OkAnswer("it ran"));
  ASSERT_TRUE(Ended());
  EXPECT_EQ(result_->outcome, AttemptOutcome::kSuccess);
  EXPECT_EQ(result_->response.body(), "it ran");
}

TEST_F(Attempts, TicketOfAnEarlierUseCancelsNothing) {
  Send(milliseconds(60000));
  const proxy::BackendPool::AttemptHandle first = ticket_;
  Tcp::socket peer = Accepted();
  ASSERT_TRUE(StepUntil(io_, [&] { return !HearSoFar(peer).bytes.empty(); }));
  SendRaw(peer, OkAnswer("one"));
  ASSERT_TRUE(Ended());
  Send(milliseconds(60000));  // on the same connection
  backends_->CancelUnsent(first);
  ASSERT_TRUE(StepUntil(io_, [&] { return !HearSoFar(peer).bytes.empty(); }));
  SendRaw(peer, OkAnswer("two"));
  ASSERT_TRUE(Ended());
  EXPECT_EQ(result_->response.body(), "two");
}

TEST_F(Attempts, WritesNothingToConnectionThatEndedWhileIdle) {
  Send(milliseconds(60000));
  Tcp::socket peer = Accepted();
  ASSERT_TRUE(StepUntil(io_, [&] { return !HearSoFar(peer).bytes.empty(); }));
  SendRaw(peer, OkAnswer("one"));
  ASSERT_TRUE(Ended());
  peer.shutdown(Tcp::socket::shutdown_send);  // the event loop has not seen it yet
  Send(milliseconds(60000));
  Tcp::socket next = Accepted();
  ASSERT_TRUE(StepUntil(io_, [&] { return !HearSoFar(next).bytes.empty(); }));
  EXPECT_EQ(HearSoFar(peer).bytes, "");
}

TEST_F(Attempts, OnlyResetAfterTheLastByteMayHaveExecuted) {
  Send(milliseconds(60000));
  Tcp::socket peer = Accepted();
  ASSERT_TRUE(StepUntil(io_, [&] { return !HearSoFar(peer).bytes.empty(); }));
  CloseByReset(peer);
  ASSERT_TRUE(Ended());
  EXPECT_EQ(result_->outcome, AttemptOutcome::kConnectionReset);

  const auto large = Request(std::string(64 * 1024 * 1024, 'y'));
  Send(milliseconds(60000), large);
  Tcp::socket half = Accepted();
  ASSERT_TRUE(StepUntil(io_, [&] { return !HearSoFar(half).bytes.empty(); }));
  CloseByReset(half);
  ASSERT_TRUE(Ended());
  EXPECT_EQ(result_->outcome, AttemptOutcome::kConnectFailure);
}

// Only what is complete by its own framing is returned.
TEST_F(Attempts, ResponseTruncatedAtAnyByteIsAFailure) {
  const std::string forms[] = {
      OkAnswer("body"),
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;a=b\r\nbo\r\n2\r\ndy\r\n0\r\nT: 1\r\n\r\n",
      "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody",
      "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nbody",
  };
  for (const std::string& form : forms) {
    for (const bool by_reset : {true, false}) {
      const bool to_the_end = form.find("Connection: close") != std::string::npos;
      const std::size_t head = form.find("\r\n\r\nbody");
      for (std::size_t cut = 0; cut < form.size(); ++cut) {
        // With a plain end, an answer that is delimited by that is whole wherever its body ends.
        if (to_the_end && !by_reset && cut >= head + 4) continue;
        Send(milliseconds(60000));
        Tcp::socket peer = Accepted();
        ASSERT_TRUE(StepUntil(io_, [&] { return !HearSoFar(peer).bytes.empty(); }));
        SendRaw(peer, form.substr(0, cut));
        by_reset ? CloseByReset(peer) : peer.close();
        ASSERT_TRUE(Ended());
        EXPECT_EQ(result_->outcome, AttemptOutcome::kConnectionReset) << "after " << form.substr(0, cut);
      }
    }
  }
}

TEST_F(Attempts, ResponseInSingleBytesIsComplete) {
  for (const std::string& form :
       {OkAnswer("body"),
        std::string(
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;a=\"b\"\r\nbo\r\n2\r\ndy\r\n0\r\nT: "
            "1\r\n\r\n"),
        std::string("HTTP/1.1 103 Early\r\nA: b\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length:4\r\n\r\nbody")}) {
    Send(milliseconds(60000));
    Tcp::socket peer = Accepted();
    ASSERT_TRUE(StepUntil(io_, [&] { return !HearSoFar(peer).bytes.empty(); }));
    for (const char byte : form) {
      SendRaw(peer, std::string(1, byte));
      io_.restart();
      io_.poll();
    }
    ASSERT_TRUE(Ended());
    EXPECT_EQ(result_->outcome, AttemptOutcome::kSuccess);
    EXPECT_EQ(result_->response.body(), "body");
    peer.close();
    ASSERT_TRUE(StepUntil(io_, [&] { return backends_->connection_count() == 0; }));
  }
}

TEST_F(Attempts, SecondResponseOnIdleConnectionClosesIt) {
  Send(milliseconds(60000));
  Tcp::socket peer = Accepted();
  ASSERT_TRUE(StepUntil(io_, [&] { return !HearSoFar(peer).bytes.empty(); }));
  SendRaw(peer, OkAnswer("one"));
  ASSERT_TRUE(Ended());
  SendRaw(peer, OkAnswer("again"));  // the event loop has not seen it yet
  Send(milliseconds(60000));
  Tcp::socket next = Accepted();
  ASSERT_TRUE(StepUntil(io_, [&] { return !HearSoFar(next).bytes.empty(); }));
  SendRaw(next, OkAnswer("two"));
  ASSERT_TRUE(Ended());
  EXPECT_EQ(result_->response.body(), "two");
}

}  // namespace
}  // namespace copperpoint::testing
