// SPDX-License-Identifier: Apache-2.0
//
// Calls of operators at the admin interface of a running proxy, and their effect on its clients.
#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "proxy/admin/admin_server.h"
#include "support/loopback.h"

namespace copperpoint::testing {
namespace {

std::string Call(const std::string& method, const std::string& target) {
  return method + " " + target + " HTTP/1.1\r\nHost: x\r\n\r\n";
}
unsigned Ask(const Tcp::endpoint& address, const std::string& method, const std::string& target) {
  return Client(address).SendAndRead(Call(method, target)).result_int();
}

class OperatedSite {
 public:
  explicit OperatedSite(std::vector<nlohmann::json> members) {
    auto json = ConfigJson(discovery.address(), std::move(members));
    json["operator"] = "127.0.0.1:0";
    proxy::Config config = ParseConfigJson(json);
    config.state_directory = folder.path;
    proxy = std::make_unique<RunningProxy>(std::move(config));
    calls = proxy->RunOnEventLoop([](proxy::Proxy& p) { return p.admin_address(); });
  }
  unsigned Call(const std::string& method, const std::string& target) { return Ask(calls, method, target); }

  TemporaryFolder folder;
  FakeDiscovery discovery;
  std::unique_ptr<RunningProxy> proxy;
  Tcp::endpoint calls;
};

TEST(AdminCalls, InvalidCallsAreRejected) {
  Backend backend;
  OperatedSite setup(Members(MemberJson("s-1", backend.address())));
  EXPECT_EQ(setup.Call("GET", "/ready"), 200u);
  EXPECT_EQ(setup.Call("POST", "/ready"), 405u);
  EXPECT_EQ(setup.Call("GET", "/drain"), 405u);
  EXPECT_EQ(setup.Call("POST", "/nothing"), 404u);
  EXPECT_EQ(setup.Call("POST", "/backends/disable"), 400u);
  EXPECT_EQ(setup.Call("POST", "/backends/disable?member="), 400u);
  EXPECT_EQ(setup.Call("POST", "/backends/disable?member=s-1&member=s-1"), 400u);
  EXPECT_EQ(setup.Call("POST", "/backends/disable?member=s%2"), 400u);
  EXPECT_EQ(setup.Call("POST", "/backends/disable?member=s-2"), 404u);
  EXPECT_EQ(setup.Call("POST", "/backends/enable?member=s-2"), 404u);
  EXPECT_EQ(setup.Call("GET", "/ready?" + std::string(9000, 'x')), 431u);
  Client garbage(setup.calls);
  EXPECT_EQ(garbage.SendAndRead("what\r\n\r\n").result_int(), 400u);
  // The interface serves one call per connection and announces the close.
  Client twice(setup.calls);
  EXPECT_EQ(twice.SendAndRead(Call("GET", "/ready"))[http::field::connection], "close");
  EXPECT_TRUE(twice.WaitForClose());
}

TEST(AdminCalls, UnfinishedCallsDoNotBlockOthers) {
  Backend backend;
  OperatedSite setup(Members(MemberJson("s-1", backend.address())));
  std::vector<std::unique_ptr<Client>> silent;
  for (std::size_t i = 0; i < 3 * proxy::AdminServer::kMaxConnections; ++i) {
    silent.push_back(std::make_unique<Client>(setup.calls));
    silent.back()->Send("GET /ready HTTP/1.1\r\n");
  }
  EXPECT_EQ(setup.Call("GET", "/ready"), 200u);
  EXPECT_TRUE(silent.front()->WaitForClose());
  EXPECT_EQ(silent.back()->SendAndRead("\r\n").result_int(), 200u);
}

TEST(AdminCalls, DisabledBackendGetsNoRequestsUntilEnabled) {
  Backend one("one"), two("two");
  OperatedSite setup(Members(MemberJson("s-1", one.address()), MemberJson("s-2", two.address())));
  EXPECT_EQ(setup.Call("POST", "/backends/disable?member=s%2D1"), 200u);
  EXPECT_EQ(setup.Call("POST", "/backends/disable?member=s-1"), 200u);
  ASSERT_TRUE(setup.discovery.WaitForWatches(1));
  // A list in which discovery names the disabled backend as ready must not enable it.
  setup.discovery.Push(ListJson(
      50, true,
      Members(MemberJson("s-1", one.address(), "in_service", 1e12), MemberJson("s-2", two.address()))));
  while (setup.proxy->RunOnEventLoop([](proxy::Proxy& p) { return p.last_revision(); }) < 50)
    std::this_thread::yield();
  Client client(setup.proxy->address);
  for (int i = 0; i < 20; ++i) EXPECT_EQ(client.SendAndRead(LookRequest()).body(), "two");
  EXPECT_EQ(setup.Call("POST", "/backends/disable?member=s-2"), 200u);
  EXPECT_EQ(setup.Call("POST", "/backends/enable?member=s-1"), 200u);
  EXPECT_EQ(client.SendAndRead(LookRequest()).body(), "one");
}

TEST(AdminCalls, DrainedProxyClosesConnectionsUntilUndrained) {
  WaitableValue<bool> answer;
  Backend backend([&](Tcp::socket& s, const HttpRequest&) {
    answer.WaitFor([](bool now) { return now; });
    SendRaw(s, OkResponse("served"));
    return true;
  });
  OperatedSite setup(Members(MemberJson("s-1", backend.address())));
  Client idle(setup.proxy->address), busy(setup.proxy->address), silent(setup.proxy->address);
  EXPECT_EQ(idle.SendAndRead(Call("GET", "/ready")).result_int(), 200u);
  busy.Send(LookRequest());
  ASSERT_TRUE(backend.WaitForRequests(1));
  EXPECT_EQ(setup.Call("POST", "/drain"), 200u);
  EXPECT_EQ(setup.Call("GET", "/ready"), 503u);
  EXPECT_EQ(Ask(setup.proxy->address, "GET", "/ready"), 503u);
  EXPECT_TRUE(idle.WaitForClose());
  EXPECT_TRUE(silent.WaitForClose());
  // Requests in flight complete, and so do requests that arrive while draining.
  Client late(setup.proxy->address);
  late.Send(WithRequestId(LookRequest(), "0c"));
  answer.Update([](bool& now) { now = true; });
  const auto last = busy.Read();
  EXPECT_EQ(last.body(), "served");
  EXPECT_EQ(last[http::field::connection], "close");
  EXPECT_TRUE(busy.WaitForClose());
  EXPECT_EQ(late.Read().body(), "served");
  EXPECT_EQ(setup.Call("POST", "/undrain"), 200u);
  EXPECT_EQ(setup.Call("GET", "/ready"), 200u);
  Client back(setup.proxy->address);
  EXPECT_EQ(back.SendAndRead(LookRequest()).body(), "served");
  EXPECT_EQ(back.SendAndRead(LookRequest()).body(), "served");
}

}  // namespace
}  // namespace copperpoint::testing
