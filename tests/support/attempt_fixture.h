// SPDX-License-Identifier: Apache-2.0
//
// Single attempts on an event loop that the test runs one handler at a time, and a backend that the test
// plays on a real socket.
#ifndef COPPERPOINT_TESTS_SUPPORT_ATTEMPT_FIXTURE_H_
#define COPPERPOINT_TESTS_SUPPORT_ATTEMPT_FIXTURE_H_

#include <gtest/gtest.h>

#include <chrono>
#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "proxy/upstream/backend_pool.h"
#include "support/scripted.h"

namespace copperpoint::testing {

using proxy::Steady;
using std::chrono::milliseconds;

class AttemptFixture : public ::testing::Test {
 protected:
  AttemptFixture() : acceptor_(peer_io_, kAnyPort) {
    limits_.connect_timeout = Duration(60000);
    limits_.timeouts.response_header_stall = limits_.timeouts.response_stall = std::chrono::minutes(1);
    limits_.timeouts.response_buffering = limits_.timeouts.body_stall = std::chrono::minutes(1);
    limits_.timeouts.reuse_delay = milliseconds(0);
    backends_ = std::make_unique<proxy::BackendPool>(io_, limits_);
    backends_->SetEndpoint(kBackend, acceptor_.local_endpoint(), 0);
  }

  static std::shared_ptr<const HttpRequest> Request(const std::string& body = "text") {
    HttpRequest request{http::verb::post, "/book", 11};
    request.set("Req-Id", "0b");
    request.set("Req-Deadline-Ms", "99999");
    request.body() = body;
    request.prepare_payload();
    return std::make_shared<const HttpRequest>(std::move(request));
  }

  void Send(const proxy::AttemptLimits& limits, std::shared_ptr<const HttpRequest> request = Request()) {
    result_.reset();
    attempt_handle_ =
        backends_->SendRequest(kBackend, std::move(request), limits,
                               [this](proxy::AttemptResult result) { result_ = std::move(result); });
  }
  void Send(milliseconds timeout, std::shared_ptr<const HttpRequest> request = Request()) {
    Send({.timeout = Duration(timeout)}, std::move(request));
  }
  // Starts an attempt that must be written within `time`. @return the latest time for its last byte.
  Steady::time_point SendWithin(milliseconds time, std::shared_ptr<const HttpRequest> request = Request()) {
    const auto send_by = Steady::now() + time;
    Send({.timeout = milliseconds(60000), .send_by = send_by}, std::move(request));
    return send_by;
  }
  // Leaves the event loop alone until `at`, as if the process were suspended.
  static void SuspendUntil(Steady::time_point at) {
    while (Steady::now() < at) std::this_thread::sleep_until(at);
  }
  // Runs the event loop until the peer does not take more bytes of the request.
  void RunUntilBlocked() {
    for (int idle_polls = 0; idle_polls < 20; ++idle_polls) {
      io_.restart();
      while (io_.poll() > 0) idle_polls = 0;
      SleepWithoutPolling(milliseconds(1));
    }
  }
  Tcp::socket Accept() {
    Tcp::socket socket(peer_io_);
    acceptor_.accept(socket);
    return socket;
  }
  // Sends the request to a peer that does not read, until the kernel takes no more of it.
  Tcp::socket SendUntilBlocked(const proxy::AttemptLimits& limits,
                               const std::shared_ptr<const HttpRequest>& request) {
    Send(limits, request);
    Tcp::socket peer = Accept();
    RunUntilBlocked();
    return peer;
  }
  // @return how much of a request the kernel buffers while the peer does not read, in bytes.
  std::size_t MeasureKernelBuffer() {
    Tcp::socket peer =
        SendUntilBlocked({.timeout = milliseconds(60000)}, Request(std::string(64 * 1024 * 1024, 'y')));
    const std::size_t buffered_bytes = ReadAvailable(peer).bytes.size();
    backends_->CancelUnsent(attempt_handle_);
    EXPECT_TRUE(RunUntilCompleted());
    return buffered_bytes;
  }
  bool RunUntilCompleted() {
    return StepUntil(io_, [this] { return result_.has_value(); });
  }
  static bool IsComplete(const std::string& bytes, const HttpRequest& request) {
    const std::size_t head = bytes.find("\r\n\r\n");
    return head != std::string::npos && bytes.size() - head - 4 >= request.body().size();
  }
  bool CannotHaveRun() const {
    return result_->outcome == AttemptOutcome::kConnectFailure ||
           result_->outcome == AttemptOutcome::kNotSent ||
           result_->outcome == AttemptOutcome::kBackendRejected;
  }

  static constexpr BackendId kBackend = 7;
  asio::io_context io_{1}, peer_io_;
  Tcp::acceptor acceptor_;
  proxy::BackendPool::Limits limits_;
  std::unique_ptr<proxy::BackendPool> backends_;
  proxy::BackendPool::AttemptHandle attempt_handle_;
  std::optional<proxy::AttemptResult> result_;
};

}  // namespace copperpoint::testing

#endif  // COPPERPOINT_TESTS_SUPPORT_ATTEMPT_FIXTURE_H_
