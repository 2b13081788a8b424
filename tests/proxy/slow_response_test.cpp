// SPDX-License-Identifier: Apache-2.0
//
// Backends that pause within a response, or send it slowly. A large response must not be cut off, and its
// first bytes must not be held back; a small one that doesn't end must have its final response in time.
#include <gtest/gtest.h>

#include <chrono>
#include <cstddef>
#include <string>

#include "support/attempt_fixture.h"
#include "support/loopback.h"

namespace copperpoint::testing {
namespace {

constexpr milliseconds kShort{20}, kLong{60000};
constexpr std::size_t kChunkBytes = std::size_t{8} * 1024;
constexpr char kChunkedHead[] = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
constexpr char kCloseHead[] = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n";

std::string Chunk(char fill) { return "2000\r\n" + std::string(kChunkBytes, fill) + "\r\n"; }
std::string Chunks(int count) {
  std::string bytes;
  for (int i = 0; i < count; ++i) bytes += Chunk('a');
  return bytes;
}

// A response in two parts. The backend writes the second one when the client has the first bytes of the
// response, so that only a proxy that passes them on can serve it.
struct HeldResponse {
  std::string name, first, second;
  std::size_t body_bytes = 0;
};

HeldResponse Chunked(const std::string& name, const std::string& before, int chunks_before_pause) {
  constexpr int kChunkCount = 32;
  return {name, before + kChunkedHead + Chunks(chunks_before_pause),
          Chunks(kChunkCount - chunks_before_pause) + "0\r\n\r\n", kChunkCount * kChunkBytes};
}

HeldResponse DelimitedByClose(const std::string& name, std::size_t bytes_before_pause) {
  constexpr std::size_t kBytes = 300 * 1000;
  return {name, kCloseHead + std::string(bytes_before_pause, 'a'),
          std::string(kBytes - bytes_before_pause, 'a'), kBytes};
}

const HeldResponse kHeldResponses[] = {
    Chunked("chunked, 16 KiB before the pause", "", 2),
    Chunked("chunked, nothing before the pause", "", 0),
    Chunked("chunked, behind a 1xx response", "HTTP/1.1 102 Processing\r\n\r\n", 1),
    DelimitedByClose("delimited by the close, 16 KiB before the pause", 16384),
    DelimitedByClose("delimited by the close, nothing before the pause", 0),
};

// @return the status and the length of the body that a client of `setup` gets of `response`.
void ExpectServed(const HeldResponse& response, const proxy::Timeouts& timeouts, const std::string& request) {
  WaitableValue<bool> client_has_first_bytes;
  Backend backend([&](Tcp::socket& s, const HttpRequest&) {
    SendRaw(s, response.first);
    client_has_first_bytes.WaitFor([](bool has) { return has; });
    SendRaw(s, response.second);
    return false;
  });
  ProxySetup setup(Members(MemberJson("s-1", backend.address())));
  setup.timeouts = timeouts;
  setup.Start();
  Client client(setup.proxy->address);
  client.Send(request);
  client.socket.wait(Tcp::socket::wait_read);
  client_has_first_bytes.Update([](bool& has) { has = true; });
  const HttpResponse received = client.Read();
  EXPECT_EQ(received.result_int(), 200u) << response.name;
  EXPECT_EQ(received.body(), std::string(response.body_bytes, 'a')) << response.name;
}

proxy::Timeouts LongTimeouts() { return ProxySetup(Members()).timeouts; }

// Guards against a large response that its backend was still writing being cut off after a pause of 0.1 s.
TEST(SlowResponse, ResponseOfUnknownLengthIsStreamedWhenItPauses) {
  auto timeouts = LongTimeouts();
  timeouts.response_stall = kShort;
  for (const auto& response : kHeldResponses) ExpectServed(response, timeouts, BookRequest());
}

// Guards against the first 64 KiB of a response that comes slowly, but without a pause, being held back.
TEST(SlowResponse, ResponseOfUnknownLengthIsStreamedAfterTheBufferingTime) {
  auto timeouts = LongTimeouts();
  timeouts.response_buffering = kShort;
  for (const auto& response : kHeldResponses) ExpectServed(response, timeouts, BookRequest());
}

// Guards against a slow large response being cut off at its client's deadline, whose first bytes came in
// time.
TEST(SlowResponse, ResponseOfUnknownLengthIsStreamedAtTheDeadline) {
  for (const auto& response : kHeldResponses)
    ExpectServed(response, LongTimeouts(), PostRequest("book", "Req-Deadline-Ms: 300\r\n"));
}

class SlowResponseAttempts : public AttemptFixture {
 protected:
  void UseTimeouts(const proxy::Timeouts& timeouts) {
    limits_.timeouts = timeouts;
    limits_.timeouts.reuse_delay = milliseconds(0);
    backends_ = std::make_unique<proxy::BackendPool>(io_, limits_);
    backends_->SetEndpoint(kBackend, acceptor_.local_endpoint(), 0);
  }
  // Sends the request. @return the backend's connection, with the request read from it.
  Tcp::socket SendAndReceive() {
    Send(kLong);
    Tcp::socket peer = Accept();
    std::string bytes;
    EXPECT_TRUE(StepUntil(io_, [&] {
      bytes += ReadAvailable(peer).bytes;
      return IsComplete(bytes, *Request());
    }));
    return peer;
  }
  // Lets the proxy read what was sent, and then the time limit `kShort` pass and its timer run.
  void PauseBeyondShortLimit() {
    RunUntilBlocked();
    SuspendUntil(Steady::now() + 2 * kShort);
    RunUntilBlocked();
  }
};

// Guards against a response being lost that follows its 1xx response by more than 0.1 s: between the two the
// request is still being processed, and only the attempt's timeout is a limit.
TEST_F(SlowResponseAttempts, AwaitsTheFinalResponseBehindA1xxForAsLongAsTheAttempt) {
  auto timeouts = LongTimeouts();
  timeouts.response_stall = timeouts.response_header_stall = kShort;
  UseTimeouts(timeouts);
  Tcp::socket peer = SendAndReceive();
  for (int i = 0; i < 2; ++i) {
    SendRaw(peer, "HTTP/1.1 102 Processing\r\n\r\n");
    PauseBeyondShortLimit();
    ASSERT_FALSE(result_);
  }
  SendRaw(peer, OkResponse("final"));
  ASSERT_TRUE(RunUntilCompleted());
  EXPECT_EQ(result_->outcome, AttemptOutcome::kSuccess);
  EXPECT_EQ(result_->response.body(), "final");
}

// Guards against a large response being cut off whose header comes in pieces.
TEST_F(SlowResponseAttempts, HeaderMayPauseForLongerThanABufferedBody) {
  auto timeouts = LongTimeouts();
  timeouts.response_stall = kShort;
  UseTimeouts(timeouts);
  Tcp::socket peer = SendAndReceive();
  for (const char* const piece : {"H", "TTP/1.1 200 OK\r\nContent-", "Length: 300000\r\n\r"}) {
    SendRaw(peer, piece);
    PauseBeyondShortLimit();
    ASSERT_FALSE(result_) << "after " << piece;
  }
  SendRaw(peer, "\n");
  ASSERT_TRUE(RunUntilCompleted());
  EXPECT_EQ(result_->outcome, AttemptOutcome::kSuccess);
  EXPECT_NE(result_->body_stream, nullptr);
}

// What remains a failure, so that the request is free for a retry: a header that stops, a body of known
// length that may be buffered, and an error.
TEST_F(SlowResponseAttempts, FailsASmallResponseThatStops) {
  auto timeouts = LongTimeouts();
  timeouts.response_stall = timeouts.response_header_stall = kShort;
  UseTimeouts(timeouts);
  for (const char* const part :
       {"HTTP/1.1 200 OK\r\nContent-", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf",
        "HTTP/1.1 500 No\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n"}) {
    Tcp::socket peer = SendAndReceive();
    SendRaw(peer, part);
    ASSERT_TRUE(RunUntilCompleted()) << part;
    EXPECT_EQ(result_->outcome, AttemptOutcome::kConnectionReset) << part;
    EXPECT_TRUE(ReadToEnd(peer).ended) << part;
  }
}

// What buffering still allows: a response of unknown length that is cut off before any limit is retried, and
// the client gets a complete one.
TEST(SlowResponse, BufferedResponseOfUnknownLengthThatIsTruncatedIsRetried) {
  WaitableValue<int> received_requests;
  const auto truncate_first = [&](Tcp::socket& s, const HttpRequest&) {
    int n = 0;
    received_requests.Update([&](int& count) { n = ++count; });
    SendRaw(s, n == 1 ? kChunkedHead + Chunks(2) : OkResponse("complete"));
    return n > 1;
  };
  Backend one(truncate_first), two(truncate_first);
  ProxySetup setup(Members(MemberJson("s-1", one.address()), MemberJson("s-2", two.address())));
  setup.Start();
  Client client(setup.proxy->address);
  EXPECT_EQ(client.SendAndRead(LookRequest()).body(), "complete");
  EXPECT_EQ(received_requests.Get(), 2);
}

// Guards against a response that may be a small one, and never ends, leaving its client without a final
// response after the deadline, for as long as a large body may stall (a minute here).
TEST(SlowResponse, StreamedResponseThatMayBeSmallEndsSoonAfterTheDeadline) {
  Backend backend([](Tcp::socket& s, const HttpRequest&) {
    SendRaw(s, kChunkedHead + Chunks(1));
    return true;
  });
  ProxySetup setup(Members(MemberJson("s-1", backend.address())));
  setup.timeouts.response_stall = setup.timeouts.response_header_stall = kShort;
  setup.timeouts.body_stall = setup.timeouts.response_write = kLong;
  setup.Start();
  Client client(setup.proxy->address);
  const auto sent_at = Steady::now();
  client.Send(PostRequest("book", "Req-Deadline-Ms: 300\r\n"));
  EXPECT_EQ(client.Read().result_int(), 0u) << "the client can tell that the response is not complete";
  EXPECT_GE(Steady::now() - sent_at, milliseconds(300)) << "it may still arrive before the deadline";
  EXPECT_LT(Steady::now() - sent_at, kWaitTimeout);
  EXPECT_TRUE(backend.WaitForClosed(1));
}

// The same limit is none for a response that is known to be large.
TEST(SlowResponse, LargeStreamedResponseMayPauseBeyondTheDeadline) {
  constexpr milliseconds kPause{1200};  // longer than the deadline, and the time for late responses behind it
  const std::string body(300 * 1000, 'a');
  Backend backend([&](Tcp::socket& s, const HttpRequest&) {
    SendRaw(s, "HTTP/1.1 200 OK\r\nContent-Length: 300000\r\n\r\n" + body.substr(0, 100));
    std::this_thread::sleep_for(kPause);
    SendRaw(s, body.substr(100));
    return true;
  });
  ProxySetup setup(Members(MemberJson("s-1", backend.address())));
  setup.timeouts.response_stall = setup.timeouts.response_header_stall = kShort;
  setup.Start();
  Client client(setup.proxy->address);
  EXPECT_EQ(client.SendAndRead(PostRequest("book", "Req-Deadline-Ms: 300\r\n")).body(), body);
}

}  // namespace
}  // namespace copperpoint::testing
