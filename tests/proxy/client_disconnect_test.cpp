// SPDX-License-Identifier: Apache-2.0
//
// Clients that disconnect: no attempt may start for them, whatever they have sent and in whichever state
// their request is.
#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

#include "support/scripted.h"

namespace copperpoint::testing {
namespace {

// A proxy whose backend never accepts connections, with a connect timeout longer than any test.
struct UnreachableBackendSetup : ProxySetup {
  explicit UnreachableBackendSetup(const FullBacklogListener& listener)
      : ProxySetup(Members(MemberJson("s-1", listener.address()))) {
    config["settings"]["permissions"]["connectTimeoutMs"] = 600000.0;
    Start();
  }
  bool WaitUntilConnecting() {
    return proxy->WaitUntil([](proxy::Proxy& p) { return p.backend_connections() == 1; });
  }
  // Waits until the disconnect is detected and the attempt is cancelled.
  bool WaitUntilAllReleased() {
    return proxy->WaitUntil([](proxy::Proxy& p) {
      return p.client_connections() == 0 && p.open_requests() == 0 && p.backend_connections() == 0;
    });
  }
};

// Sends `request`, sends `more` once its attempt is connecting, disconnects, and expects everything released.
void ExpectAllReleased(const std::string& request, const std::string& more = "") {
  FullBacklogListener listener;
  UnreachableBackendSetup setup(listener);
  {
    Client client(setup.proxy->address);
    client.Send(request);
    ASSERT_TRUE(setup.WaitUntilConnecting());
    client.Send(more);
  }
  EXPECT_TRUE(setup.WaitUntilAllReleased());
}

TEST(ClientDisconnected, CancelsAttemptThatIsConnecting) { ExpectAllReleased(BookRequest()); }
TEST(ClientDisconnected, IsDetectedBehindAPipelinedRequest) {
  ExpectAllReleased(BookRequest() + WithRequestId(BookRequest(), "next"));
}
TEST(ClientDisconnected, IsDetectedBehindAFlood) {
  ExpectAllReleased(BookRequest(), std::string(2 * 1024 * 1024, 'x'));
}

TEST(ClientDisconnected, IsDetectedByAReset) {
  FullBacklogListener listener;
  UnreachableBackendSetup setup(listener);
  Client client(setup.proxy->address);
  client.Send(BookRequest() + WithRequestId(BookRequest(), "next"));
  ASSERT_TRUE(setup.WaitUntilConnecting());
  CloseWithReset(client.socket);
  EXPECT_TRUE(setup.WaitUntilAllReleased());
}

TEST(ClientDisconnected, ManyAtOnceAreAllReleased) {
  FullBacklogListener listener;
  UnreachableBackendSetup setup(listener);
  {
    std::vector<std::unique_ptr<Client>> clients;
    for (int i = 0; i < 100; ++i) {
      clients.push_back(std::make_unique<Client>(setup.proxy->address));
      clients.back()->Send(WithRequestId(BookRequest(), Numbered("r", i)));
    }
    ASSERT_TRUE(setup.proxy->WaitUntil([](proxy::Proxy& p) { return p.open_requests() == 100; }));
  }
  EXPECT_TRUE(setup.WaitUntilAllReleased());
}

TEST(ClientDisconnected, FloodBehindARequestGetsItsResponseAndTheEnd) {
  WaitableValue<bool> release;
  Backend backend([&](Tcp::socket& s, const HttpRequest&) {
    release.WaitFor([](bool r) { return r; });
    SendRaw(s, OkResponse("served"));
    return true;
  });
  ProxySetup setup(Members(MemberJson("s-1", backend.address())));
  setup.Start();
  Client client(setup.proxy->address);
  client.Send(BookRequest());
  ASSERT_TRUE(backend.WaitForRequests(1));
  client.Send(std::string(1024 * 1024, 'x'));
  release.Update([](bool& r) { r = true; });
  const HttpResponse response = client.Read();
  EXPECT_EQ(response.body(), "served");
  EXPECT_FALSE(response.keep_alive());
  EXPECT_EQ(ReadToEnd(client.socket).error, asio::error::eof);
}

TEST(ClientDisconnected, WrittenAttemptStillReports) {
  WaitableValue<bool> release;
  Backend backend([&](Tcp::socket& s, const HttpRequest&) {
    release.WaitFor([](bool r) { return r; });
    SendRaw(s, OkResponse("not received"));
    return true;
  });
  ProxySetup setup(Members(MemberJson("s-1", backend.address())));
  setup.timeouts.reuse_delay = {};
  setup.Start();
  {
    Client client(setup.proxy->address);
    client.Send(BookRequest());
    ASSERT_TRUE(backend.WaitForRequests(1));
  }
  release.Update([](bool& r) { r = true; });
  EXPECT_TRUE(setup.proxy->WaitUntilNoOpenRequests());
  // The attempt read its response completely, so that the connection is reused.
  Client next(setup.proxy->address);
  EXPECT_EQ(next.SendAndRead(BookRequest()).body(), "not received");
  EXPECT_EQ(backend.activity.Get().opened, 1);
}

}  // namespace
}  // namespace copperpoint::testing
