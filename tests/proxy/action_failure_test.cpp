// SPDX-License-Identifier: Apache-2.0
//
// An exception that is thrown while one action is executed.
#include <gtest/gtest.h>

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <stdexcept>
#include <utility>

#include "support/scripted.h"

namespace copperpoint::testing {
namespace {

using std::chrono::milliseconds;

// Throws from every call.
class ThrowingResponder : public proxy::Responder {
 public:
  void SendResponse(HttpResponse, std::shared_ptr<proxy::BodySource>, std::optional<std::uint64_t>) override {
    Throw();
  }
  void SendUnavailable(Duration) override { Throw(); }
  void SendBadGateway() override { Throw(); }
  void SendClientError(http::status) override { Throw(); }

 private:
  static void Throw() { throw std::runtime_error("no memory"); }
};
// Counts rejections, and throws from every other call.
class CountingResponder : public ThrowingResponder {
 public:
  explicit CountingResponder(WaitableValue<int>& rejections) : rejections_(rejections) {}
  void SendUnavailable(Duration) override {
    rejections_.Update([](int& n) { ++n; });
  }

 private:
  WaitableValue<int>& rejections_;
};

// An exception from one request's responder must not leave the requests that are rejected in the same turn
// without a response.
TEST(Actions, ExceptionInOneDoesNotAffectTheOthers) {
  Backend backend;
  ProxySetup setup({});  // without endpoints, all requests are queued and rejected in one turn
  setup.Start();
  WaitableValue<int> rejections;
  setup.proxy->RunOnEventLoop([&](proxy::Proxy& p) {
    const auto deadline = proxy::Steady::now() + milliseconds(100);
    for (int i = 0; i < 6; ++i) {
      proxy::ClientRequest request;
      request.message.method(http::verb::get);
      request.message.target("/look");
      request.message.set("Req-Id", Numbered("t", i));
      request.deadline = deadline;
      if (i % 2 == 0) {
        p.OnRequest(std::move(request), std::make_shared<ThrowingResponder>());
      } else {
        p.OnRequest(std::move(request), std::make_shared<CountingResponder>(rejections));
      }
    }
    return 0;
  });
  EXPECT_TRUE(rejections.WaitFor([](int n) { return n == 3; }));
  EXPECT_TRUE(setup.proxy->WaitUntilNoOpenRequests());
}

}  // namespace
}  // namespace copperpoint::testing
