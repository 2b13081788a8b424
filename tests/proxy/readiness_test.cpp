// SPDX-License-Identifier: Apache-2.0
//
// Without an endpoint list a proxy is not ready, and rejects requests with a Retry-After.
#include <gtest/gtest.h>

#include <string>

#include "support/loopback.h"

namespace copperpoint::testing {
namespace {

TEST(Readiness, RejectsRequestsWithoutEndpointList) {
  ProxySetup setup(Members());
  setup.config["settings"]["classes"][2]["goalTimeMs"] = 50;
  setup.Start();
  Client client(setup.proxy->address);
  EXPECT_EQ(client.SendAndRead("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n").result_int(), 503u);
  EXPECT_EQ(client.SendAndRead(BookRequest()).result_int(), 503u);
}

TEST(Readiness, RejectionHasRetryAfter) {
  ProxySetup setup(Members());
  setup.config["settings"]["classes"][2]["goalTimeMs"] = 50;
  // The header does not depend on `retryAfter`, which is about simulated clients only.
  setup.config["settings"]["permissions"]["retryAfter"] = false;
  setup.config["settings"]["permissions"]["maxRetryAfterMs"] = 1500;
  setup.Start();
  Client client(setup.proxy->address);
  const HttpResponse answer = client.SendAndRead(BookRequest());
  EXPECT_EQ(answer.result_int(), 503u);
  const double retry_after_s = std::stod(std::string(answer[http::field::retry_after]));
  EXPECT_GE(retry_after_s, 1.35);
  EXPECT_LE(retry_after_s, 1.5);
}

TEST(Readiness, IsReadyWithEndpointList) {
  Backend backend;
  ProxySetup setup(Members());
  setup.Start();
  setup.discovery.Push(ListJson(42, true, Members(MemberJson("s-1", backend.address()))));
  Client client(setup.proxy->address);
  unsigned status = 503;
  while (status == 503) status = client.SendAndRead("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n").result_int();
  EXPECT_EQ(status, 200u);
}

}  // namespace
}  // namespace copperpoint::testing
