// SPDX-License-Identifier: Apache-2.0
//
// Connections to backends: when they are reused, and when they are closed.
#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "support/loopback.h"

namespace copperpoint::testing {
namespace {

TEST(ConnectionPool, SequentialRequestsShareAConnection) {
  Backend backend;
  ProxySetup setup(Members(MemberJson("s-1", backend.address())));
  setup.timeouts.reuse_delay = {};
  setup.Start();
  Client client(setup.proxy->address);
  for (int i = 0; i < 5; ++i) EXPECT_EQ(client.SendAndRead(LookRequest()).result_int(), 200u);
  EXPECT_EQ(backend.activity.Get().opened, 1);
}

TEST(ConnectionPool, DoesNotReuseConnectionClosedByBackend) {
  Backend backend([](Tcp::socket& s, const HttpRequest&) {
    SendRaw(s, OkResponse("once"));
    return false;  // closes without announcing it
  });
  ProxySetup setup(Members(MemberJson("s-1", backend.address())));
  setup.Start();
  Client client(setup.proxy->address);
  for (int i = 1; i <= 4; ++i) {
    EXPECT_EQ(client.SendAndRead(BookRequest()).body(), "once") << i;
    ASSERT_TRUE(backend.WaitForClosed(i));
  }
}

TEST(ConnectionPool, ClosesIdleConnectionsBeforeTheBackendDoes) {
  Backend backend;
  ProxySetup setup(Members(MemberJson("s-1", backend.address())));
  setup.config["settings"]["permissions"]["connIdleMs"] = 100;
  setup.Start();
  Client client(setup.proxy->address);
  EXPECT_EQ(client.SendAndRead(LookRequest()).result_int(), 200u);
  EXPECT_TRUE(backend.WaitForClosed(1));
}

TEST(ConnectionPool, RestartOrNewAddressClosesIdleConnections) {
  Backend backend, elsewhere("elsewhere");
  ProxySetup setup(Members(MemberJson("s-1", backend.address())));
  setup.Start();
  Client client(setup.proxy->address);
  EXPECT_EQ(client.SendAndRead(LookRequest()).result_int(), 200u);
  setup.discovery.Push(
      ListJson(42, false, Members(MemberJson("s-1", backend.address(), "in_service", 1e12))));
  EXPECT_TRUE(backend.WaitForClosed(1));
  EXPECT_EQ(client.SendAndRead(LookRequest()).result_int(), 200u);
  setup.discovery.Push(
      ListJson(43, false, Members(MemberJson("s-1", elsewhere.address(), "in_service", 1e12))));
  EXPECT_TRUE(backend.WaitForClosed(2));
  EXPECT_EQ(client.SendAndRead(LookRequest()).body(), "elsewhere");
}

TEST(ConnectionPool, DoesNotReuseConnectionWithExcessBytes) {
  Backend backend([](Tcp::socket& s, const HttpRequest& r) {
    const std::string response = OkResponse(std::string(r["Req-Id"]));
    SendRaw(s, response + response);
    return true;
  });
  ProxySetup setup(Members(MemberJson("s-1", backend.address())));
  setup.timeouts.reuse_delay = {};
  setup.Start();
  Client client(setup.proxy->address);
  for (const char* id : {"a1", "a2", "a3"})
    EXPECT_EQ(client.SendAndRead(WithRequestId(BookRequest(), id)).body(), id);
  EXPECT_EQ(backend.activity.Get().opened, 3);
}

TEST(ConnectionPool, DoesNotReuseConnectionBeforeItsRestTime) {
  Backend backend;
  ProxySetup setup(Members(MemberJson("s-1", backend.address())));
  setup.timeouts.reuse_delay = std::chrono::hours(1);
  setup.Start();
  Client client(setup.proxy->address);
  for (int i = 0; i < 3; ++i) EXPECT_EQ(client.SendAndRead(LookRequest()).result_int(), 200u);
  EXPECT_EQ(backend.activity.Get().opened, 3);
  EXPECT_EQ(setup.proxy->RunOnEventLoop([](proxy::Proxy& p) { return p.backend_connections(); }), 3u);
}

TEST(ConnectionPool, FailsLocallyWithoutAttemptAtConnectionLimit) {
  WaitableValue<bool> release;
  Backend backend([&](Tcp::socket& s, const HttpRequest&) {
    release.WaitFor([](bool r) { return r; });
    SendRaw(s, OkResponse("held"));
    return true;
  });
  asio::io_context io(1);
  proxy::BackendPool::Limits limits;
  limits.max_connections = 1;
  proxy::BackendPool backends(io, limits);
  backends.SetEndpoint(1, backend.address(), 0);
  const auto message = std::make_shared<const HttpRequest>(http::verb::get, "/look", 11);
  std::vector<proxy::AttemptResult> results;
  const auto on_completed = [&](proxy::AttemptResult r) {
    results.push_back(std::move(r));
    release.Update([](bool& go) { go = true; });
  };
  backends.SendRequest(1, message, {Duration(60000)}, on_completed);
  backends.SendRequest(1, message, {Duration(60000)}, on_completed);
  while (results.size() < 2) io.run_one();
  EXPECT_EQ(results[0].outcome, AttemptOutcome::kNotSent);  // it never ran, and the backend is not at fault
  EXPECT_TRUE(results[0].local_failure);
  EXPECT_EQ(results[1].outcome, AttemptOutcome::kSuccess);
}

TEST(ConnectionPool, AttemptTimeoutClosesIdleConnections) {
  WaitableValue<bool> release;
  Backend backend([&](Tcp::socket& s, const HttpRequest& r) {
    if (r["Req-Kind"] == "book") release.WaitFor([](bool go) { return go; });
    SendRaw(s, OkResponse("served"));
    return true;
  });
  ProxySetup setup(Members(MemberJson("s-1", backend.address())));
  setup.timeouts.reuse_delay = std::chrono::hours(1);  // so that each request opens a connection
  setup.Start();
  Client client(setup.proxy->address);
  EXPECT_EQ(client.SendAndRead(LookRequest()).result_int(), 200u);
  EXPECT_EQ(client.SendAndRead(PostRequest("book", "Req-Deadline-Ms: 100\r\n")).result_int(), 502u);
  EXPECT_EQ(setup.proxy->RunOnEventLoop([](proxy::Proxy& p) { return p.backend_connections(); }), 0u);
  release.Update([](bool& go) { go = true; });
}

TEST(ConnectionPool, ForgetsRemovedBackends) {
  Backend backend;
  ProxySetup setup(Members(MemberJson("s-0", backend.address())));
  setup.timeouts.removed_backend_retention = {};
  setup.Start();
  for (int i = 1; i <= 20; ++i) {
    setup.discovery.Push(
        ListJson(41 + i, false,
                 Members(nlohmann::json{{"id", "s-" + std::to_string(i - 1)}, {"phase", "terminated"}},
                         MemberJson("s-" + std::to_string(i), backend.address()))));
  }
  Client client(setup.proxy->address);
  // After the last list, only its backend is known: the removed ones at the same address are dropped.
  while (setup.proxy->RunOnEventLoop([](proxy::Proxy& p) { return p.last_revision(); }) < 61)
    std::this_thread::yield();
  EXPECT_EQ(client.SendAndRead(LookRequest()).result_int(), 200u);
  EXPECT_LE(setup.proxy->RunOnEventLoop([](proxy::Proxy& p) { return p.backends_known(); }), 2u);
}

}  // namespace
}  // namespace copperpoint::testing
