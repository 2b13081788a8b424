// SPDX-License-Identifier: Apache-2.0
//
// Requests that are sent on one connection before the earlier ones have their responses.
#include <gtest/gtest.h>

#include <string>

#include "support/scripted.h"

namespace copperpoint::testing {
namespace {

using std::chrono::milliseconds;

// Responses must come in the order of the requests, however the requests are split into segments.
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

// The deadline of each request counts from its own arrival, not from the arrival of the first request nor
// from the response to the previous one.
TEST(Pipelined, DeadlineStartsWhenEachRequestArrives) {
  WaitableValue<int> received_requests;
  WaitableValue<int> allowed_responses;
  Backend backend([&](Tcp::socket& s, const HttpRequest&) {
    int n = 0;
    received_requests.Update([&](int& a) { n = ++a; });
    allowed_responses.WaitFor([&](int m) { return m >= n; });
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
  allowed_responses.Update([](int& m) { m = 3; });
  for (int i = 0; i < 3; ++i) EXPECT_EQ(client.Read().body(), "served");
  const auto requests = backend.activity.Get().requests;
  ASSERT_EQ(requests.size(), 3u);
  const int b = std::stoi(std::string(requests[1]["Req-Deadline-Ms"]));
  const int c = std::stoi(std::string(requests[2]["Req-Deadline-Ms"]));
  EXPECT_LE(b, 28000);
  EXPECT_GE(c - b, 500)
      << "the third request arrived 2 s after the second and was forwarded directly after it";
}

// Bytes after the last request of a connection must neither be handled nor destroy its response by a reset.
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
