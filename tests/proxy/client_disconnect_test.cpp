// SPDX-License-Identifier: Apache-2.0
//
// Clients that disconnect: no attempt starts for them, whatever they had sent and wherever their request was.
#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

#include "support/scripted.h"

namespace copperpoint::testing {
namespace {

// A backend that never accepts connections, and a connect timeout longer than any test.
struct UnreachableBackendSetup : ProxySetup {
  explicit UnreachableBackendSetup(const FullBacklogListener& dial)
      : ProxySetup(Members(MemberJson("s-1", dial.address()))) {
    config["settings"]["permissions"]["connectTimeoutMs"] = 600000.0;
    Start();
  }
  bool Dialling() {
    return proxy->WaitUntil([](proxy::Proxy& p) { return p.backend_connections() == 1; });
  }
  // The disconnect has been seen, and the attempt has been cancelled.
  bool AllForgotten() {
    return proxy->WaitUntil([](proxy::Proxy& p) {
      return p.client_connections() == 0 && p.open_requests() == 0 && p.backend_connections() == 0;
    });
  }
};

// A client that sends a request, sends more once its attempt is connecting, and disconnects.
void ExpectForgotten(const std::string& asks, const std::string& more = "") {
  FullBacklogListener dial;
  UnreachableBackendSetup setup(dial);
  {
    Client client(setup.proxy->address);
    client.Send(asks);
    ASSERT_TRUE(setup.Dialling());
    client.Send(more);
  }
  EXPECT_TRUE(setup.AllForgotten());
}

TEST(ClientDisconnected, CancelsAttemptThatIsConnecting) { ExpectForgotten(BookRequest()); }
TEST(ClientDisconnected, IsDetectedBehindAPipelinedRequest) {
  ExpectForgotten(BookRequest() + WithRequestId(BookRequest(), "next"));
}
TEST(ClientDisconnected, IsDetectedBehindAFlood) {
  ExpectForgotten(BookRequest(), std::string(2 * 1024 * 1024, 'x'));
}

TEST(ClientDisconnected, IsDetectedByAReset) {
  FullBacklogListener dial;
  UnreachableBackendSetup setup(dial);
  Client client(setup.proxy->address);
  client.Send(BookRequest() + WithRequestId(BookRequest(), "next"));
  ASSERT_TRUE(setup.Dialling());
  CloseWithReset(client.socket);
  EXPECT_TRUE(setup.AllForgotten());
}

TEST(ClientDisconnected, ManyAtOnceAreAllReleased) {
  FullBacklogListener dial;
  UnreachableBackendSetup setup(dial);
  {
    std::vector<std::unique_ptr<Client>> clients;
    for (int i = 0; i < 100; ++i) {
      clients.push_back(std::make_unique<Client>(setup.proxy->address));
      clients.back()->Send(WithRequestId(BookRequest(), Numbered("r", i)));
    }
    ASSERT_TRUE(setup.proxy->WaitUntil([](proxy::Proxy& p) { return p.open_requests() == 100; }));
  }
  EXPECT_TRUE(setup.AllForgotten());
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
  const HttpResponse answer = client.Read();
  EXPECT_EQ(answer.body(), "served");
  EXPECT_FALSE(answer.keep_alive());
  EXPECT_EQ(ReadToEnd(client.socket).error, asio::error::eof);
}

TEST(ClientDisconnected, WrittenAttemptStillReports) {
  WaitableValue<bool> release;
  Backend backend([&](Tcp::socket& s, const HttpRequest&) {
    release.WaitFor([](bool r) { return r; });
    SendRaw(s, OkResponse("for nobody"));
    return true;
  });
  ProxySetup setup(Members(MemberJson("s-1", backend.address())));
  setup.timeouts.connection_rest = {};
  setup.Start();
  {
    Client client(setup.proxy->address);
    client.Send(BookRequest());
    ASSERT_TRUE(backend.WaitForRequests(1));
  }
  release.Update([](bool& r) { r = true; });
  EXPECT_TRUE(setup.proxy->WaitUntilNoOpenRequests());
  // The response was complete, so that the connection can be reused.
  Client next(setup.proxy->address);
  EXPECT_EQ(next.SendAndRead(BookRequest()).body(), "for nobody");
  EXPECT_EQ(backend.activity.Get().opened, 1);
}

}  // namespace
}  // namespace copperpoint::testing
