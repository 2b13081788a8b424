// SPDX-License-Identifier: Apache-2.0
//
// Requests that come behind one another on a connection.
#include <gtest/gtest.h>

#include <string>

#include "support/scripted.h"

namespace copperpoint::testing {
namespace {

using std::chrono::milliseconds;

// Many requests at once are answered in order, however they are cut.
TEST(Pipelined, RequestsInAnySegmentsAreServedInOrder) {
  Backend backend([](Tcp::socket& s, const HttpRequest& r) {
    SendRaw(s, OkResponse(std::string(r["Req-Id"])));
    return true;
  });
  ProxySetup setup(Members(MemberJson("s-1", backend.address())));
  setup.Start();
  std::string all;
  for (int i = 0; i < 40; ++i) all += WithRequestId(i % 2 ? LookRequest() : BookRequest(), Numbered("p", i));
  for (const std::size_t piece : {all.size(), std::size_t{7}, std::size_t{1000}}) {
    Client client(setup.proxy->address);
    for (std::size_t at = 0; at < all.size(); at += piece) client.Send(all.substr(at, piece));
    for (int i = 0; i < 40; ++i) EXPECT_EQ(client.Read().body(), Numbered("p", i));
  }
}

// Each has its time from when it came, not from when the first of them did, nor from when the one before was
// answered.
TEST(Pipelined, DeadlineStartsWhenEachRequestArrives) {
  WaitableValue<int> answered;
  WaitableValue<int> may_answer;
  Backend backend([&](Tcp::socket& s, const HttpRequest&) {
    int n = 0;
    answered.Update([&](int& a) { n = ++a; });
    may_answer.WaitFor([&](int m) { return m >= n; });
    SendRaw(s, OkResponse("served"));
    return true;
  });
  ProxySetup setup(Members(MemberJson("s-1", backend.address())));
  setup.Start();
  Client client(setup.proxy->address);
  client.Send(WithRequestId(LookRequest(), "a") +
              WithRequestId(LookRequest("Req-Deadline-Ms: 30000\r\n"), "b"));
  ASSERT_TRUE(backend.WaitForRequests(1));
  SleepWithoutPolling(milliseconds(2000));
  client.Send(WithRequestId(LookRequest("Req-Deadline-Ms: 30000\r\n"), "c"));
  SleepWithoutPolling(milliseconds(100));
  may_answer.Update([](int& m) { m = 3; });
  for (int i = 0; i < 3; ++i) EXPECT_EQ(client.Read().body(), "served");
  const auto seen = backend.activity.Get().requests;
  ASSERT_EQ(seen.size(), 3u);
  const int b = std::stoi(std::string(seen[1]["Req-Deadline-Ms"]));
  const int c = std::stoi(std::string(seen[2]["Req-Deadline-Ms"]));
  EXPECT_LE(b, 28000);
  EXPECT_GE(c - b, 500) << "the third came 2 s after the second, and went out right behind it";
}

// What comes behind a request that is the connection's last is not looked at, nor does it cost the answer.
TEST(Pipelined, IgnoresBytesBehindTheLastRequest) {
  Backend backend(std::string(60 * 1024, 'a'));
  ProxySetup setup(Members(MemberJson("s-1", backend.address())));
  setup.Start();
  Client client(setup.proxy->address);
  client.Send(LookRequest("Connection: close\r\n") + WithRequestId(BookRequest(), "behind") +
              std::string(200 * 1024, 'x'));
  EXPECT_EQ(client.Read().body().size(), 60u * 1024);
  client.Send(WithRequestId(BookRequest(), "later"));
  client.socket.shutdown(Tcp::socket::shutdown_send);
  EXPECT_EQ(ReadToEnd(client.socket).error, asio::error::eof);
  EXPECT_EQ(backend.activity.Get().requests.size(), 1u);
}

}  // namespace
}  // namespace copperpoint::testing
