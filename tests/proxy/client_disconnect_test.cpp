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
struct HeldSite : Site {
  explicit HeldSite(const HeldDial& dial) : Site(Members(MemberJson("s-1", dial.address()))) {
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
  HeldDial dial;
  HeldSite site(dial);
  {
    Client client(site.proxy->address);
    client.Send(asks);
    ASSERT_TRUE(site.Dialling());
    client.Send(more);
  }
  EXPECT_TRUE(site.AllForgotten());
}

TEST(ClientDisconnected, CancelsAttemptThatIsConnecting) { ExpectForgotten(Book()); }
TEST(ClientDisconnected, IsDetectedBehindAPipelinedRequest) {
  ExpectForgotten(Book() + WithId(Book(), "next"));
}
TEST(ClientDisconnected, IsDetectedBehindAFlood) {
  ExpectForgotten(Book(), std::string(2 * 1024 * 1024, 'x'));
}

TEST(ClientDisconnected, IsDetectedByAReset) {
  HeldDial dial;
  HeldSite site(dial);
  Client client(site.proxy->address);
  client.Send(Book() + WithId(Book(), "next"));
  ASSERT_TRUE(site.Dialling());
  CloseByReset(client.socket);
  EXPECT_TRUE(site.AllForgotten());
}

TEST(ClientDisconnected, ManyAtOnceAreAllReleased) {
  HeldDial dial;
  HeldSite site(dial);
  {
    std::vector<std::unique_ptr<Client>> clients;
    for (int i = 0; i < 100; ++i) {
      clients.push_back(std::make_unique<Client>(site.proxy->address));
      clients.back()->Send(WithId(Book(), Numbered("r", i)));
    }
    ASSERT_TRUE(site.proxy->WaitUntil([](proxy::Proxy& p) { return p.open_requests() == 100; }));
  }
  EXPECT_TRUE(site.AllForgotten());
}

TEST(ClientDisconnected, FloodBehindARequestGetsItsResponseAndTheEnd) {
  Watched<bool> release;
  Backend backend([&](Tcp::socket& s, const HttpRequest&) {
    release.WaitFor([](bool r) { return r; });
    SendRaw(s, OkAnswer("served"));
    return true;
  });
  Site site(Members(MemberJson("s-1", backend.address())));
  site.Start();
  Client client(site.proxy->address);
  client.Send(Book());
  ASSERT_TRUE(backend.WaitForRequests(1));
  client.Send(std::string(1024 * 1024, 'x'));
  release.Do([](bool& r) { r = true; });
  const HttpResponse answer = client.Read();
  EXPECT_EQ(answer.body(), "served");
  EXPECT_FALSE(answer.keep_alive());
  EXPECT_EQ(HearToTheEnd(client.socket).how, asio::error::eof);
}

TEST(ClientDisconnected, WrittenAttemptStillReports) {
  Watched<bool> release;
  Backend backend([&](Tcp::socket& s, const HttpRequest&) {
    release.WaitFor([](bool r) { return r; });
    SendRaw(s, OkAnswer("for nobody"));
    return true;
  });
  Site site(Members(MemberJson("s-1", backend.address())));
  site.timeouts.reuse_delay = {};
  site.Start();
  {
    Client client(site.proxy->address);
    client.Send(Book());
    ASSERT_TRUE(backend.WaitForRequests(1));
  }
  release.Do([](bool& r) { r = true; });
  EXPECT_TRUE(site.proxy->WaitUntilNothingIsHeld());
  // The response was complete, so that the connection can be reused.
  Client next(site.proxy->address);
  EXPECT_EQ(next.Ask(Book()).body(), "for nobody");
  EXPECT_EQ(backend.seen.Get().opened, 1);
}

}  // namespace
}  // namespace copperpoint::testing
