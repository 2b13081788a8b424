// SPDX-License-Identifier: Apache-2.0
//
// An exception while one action is carried out.
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

// Responders that throw, and responders that count rejections.
class Throws : public proxy::Responder {
 public:
  void SendResponse(HttpResponse, std::shared_ptr<proxy::BodySource>, std::optional<std::uint64_t>) override {
    Fall();
  }
  void SendUnavailable(Duration) override { Fall(); }
  void SendBadGateway() override { Fall(); }
  void SendClientError(http::status) override { Fall(); }

 private:
  static void Fall() { throw std::runtime_error("no memory"); }
};
class Notes : public Throws {
 public:
  explicit Notes(WaitableValue<int>& refused) : refused_(refused) {}
  void SendUnavailable(Duration) override {
    refused_.Update([](int& n) { ++n; });
  }

 private:
  WaitableValue<int>& refused_;
};

TEST(Actions, ExceptionInOneDoesNotAffectTheOthers) {
  Backend backend;
  ProxySetup setup({});  // without a list: all are held, and refused in one turn
  setup.Start();
  WaitableValue<int> refused;
  setup.proxy->RunOnEventLoop([&](proxy::Proxy& p) {
    const auto due = proxy::Steady::now() + milliseconds(100);
    for (int i = 0; i < 6; ++i) {
      proxy::ClientRequest request;
      request.message.method(http::verb::get);
      request.message.target("/look");
      request.message.set("Req-Id", Numbered("t", i));
      request.deadline = due;
      if (i % 2 == 0) {
        p.OnRequest(std::move(request), std::make_shared<Throws>());
      } else {
        p.OnRequest(std::move(request), std::make_shared<Notes>(refused));
      }
    }
    return 0;
  });
  EXPECT_TRUE(refused.WaitFor([](int n) { return n == 3; }));
  EXPECT_TRUE(setup.proxy->WaitUntilNoOpenRequests());
}

}  // namespace
}  // namespace copperpoint::testing
