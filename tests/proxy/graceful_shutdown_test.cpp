// SPDX-License-Identifier: Apache-2.0
//
// Connections that the proxy closes while a client sends on them, and shutdown with requests in flight.
#include <gtest/gtest.h>

#include <chrono>
#include <future>
#include <memory>
#include <string>
#include <vector>

#include "support/scripted.h"

namespace copperpoint::testing {
namespace {

using std::chrono::milliseconds;

// A request that arrives while the proxy closes its idle connection is not forwarded, and the connection is
// not reset: its client reads the end of the stream, and so knows that it may send the request again.
TEST(Closing, RequestThatCrossesTheCloseReadsTheEndNotAReset) {
  Backend backend;
  Site site(Members(MemberJson("s-1", backend.address())));
  site.timeouts.lingering_close = std::chrono::minutes(10);
  site.Start();
  Client client(site.proxy->address);
  EXPECT_EQ(client.Ask(Look()).body(), "served");
  auto stopped = site.proxy->Stop();
  EXPECT_TRUE(client.Ended());  // the proxy has closed its sending side
  client.Send(WithId(Book(), "crossing"));
  client.Send(WithId(Book(), "another"));
  client.socket.shutdown(Tcp::socket::shutdown_send);
  EXPECT_EQ(HearToTheEnd(client.socket).how, asio::error::eof);
  EXPECT_EQ(stopped.wait_for(kGiveUp), std::future_status::ready);
  EXPECT_EQ(HearToTheEnd(client.socket).how, asio::error::eof) << "not a reset";
  EXPECT_EQ(backend.seen.Get().requests.size(), 1u);
}

TEST(Closing, ShutdownWaitsForClientsUpToTheLingeringTimeout) {
  Backend backend;
  Site site(Members(MemberJson("s-1", backend.address())));
  site.timeouts.lingering_close = std::chrono::minutes(10);
  site.Start();
  auto client = std::make_unique<Client>(site.proxy->address);
  EXPECT_EQ(client->Ask(Look()).body(), "served");
  auto stopped = site.proxy->Stop();
  EXPECT_TRUE(client->Ended());
  EXPECT_EQ(site.proxy->Ask([](proxy::Proxy& p) { return p.client_connections(); }), 1u);
  EXPECT_NE(stopped.wait_for(milliseconds(0)), std::future_status::ready);
  client.reset();
  EXPECT_EQ(stopped.wait_for(kGiveUp), std::future_status::ready);

  site.timeouts.lingering_close = milliseconds(100);
  site.Start();
  Client stays(site.proxy->address);
  EXPECT_EQ(stays.Ask(Look()).body(), "served");
  EXPECT_EQ(site.proxy->Stop().wait_for(kGiveUp), std::future_status::ready);
}

TEST(Closing, DrainedOrIdleConnectionIsNotReset) {
  Backend backend;
  Site site(Members(MemberJson("s-1", backend.address())));
  site.timeouts.keep_alive = milliseconds(50);
  site.timeouts.lingering_close = std::chrono::minutes(10);
  site.Start();
  Client kept(site.proxy->address);
  EXPECT_EQ(kept.Ask(Look()).body(), "served");
  EXPECT_TRUE(kept.Ended());
  kept.Send(Book());
  EXPECT_TRUE(site.proxy->WaitUntil([](proxy::Proxy& p) { return p.open_requests() == 0; }));
  kept.socket.shutdown(Tcp::socket::shutdown_send);
  EXPECT_TRUE(site.proxy->WaitUntil([](proxy::Proxy& p) { return p.client_connections() == 0; }));
  EXPECT_EQ(HearToTheEnd(kept.socket).how, asio::error::eof);

  Client drained(site.proxy->address);
  EXPECT_EQ(drained.Ask(Look()).body(), "served");
  site.proxy->Ask([](proxy::Proxy& p) { return p.Drain(), 0; });
  EXPECT_TRUE(drained.Ended());
  drained.Send(Book());
  drained.socket.shutdown(Tcp::socket::shutdown_send);
  EXPECT_TRUE(site.proxy->WaitUntil([](proxy::Proxy& p) { return p.client_connections() == 0; }));
  EXPECT_EQ(HearToTheEnd(drained.socket).how, asio::error::eof);
  EXPECT_EQ(backend.seen.Get().requests.size(), 2u);
}

// The kernel has accepted these connections, so shutdown has to serve them, also at the connection limit.
TEST(Closing, ServesClientsInTheAcceptQueueAtShutdown) {
  Watched<bool> release;
  Backend backend([&](Tcp::socket& s, const HttpRequest& r) {
    if (r["Req-Kind"] == "book") release.WaitFor([](bool r) { return r; });
    SendRaw(s, OkAnswer("served"));
    return true;
  });
  Site site(Members(MemberJson("s-1", backend.address())));
  site.config["limits"]["sockets"] = 64;  // 24 clients
  site.Start();
  std::vector<std::unique_ptr<Client>> holders, waiting;
  for (int i = 0; i < 24; ++i) {
    holders.push_back(std::make_unique<Client>(site.proxy->address));
    holders.back()->Send(WithId(Book(), Numbered("h", i)));
  }
  ASSERT_TRUE(site.proxy->WaitUntil([](proxy::Proxy& p) { return p.open_requests() == 24; }));
  for (int i = 0; i < 12; ++i) {
    waiting.push_back(std::make_unique<Client>(site.proxy->address));
    waiting.back()->Send(WithId(Look(), Numbered("w", i)));
  }
  auto stopped = site.proxy->Stop();
  // The listener stays open after the grace period, as its accept queue has not been seen empty.
  EXPECT_EQ(stopped.wait_for(milliseconds(900)), std::future_status::timeout);
  release.Do([](bool& r) { r = true; });
  for (const auto& client : waiting) EXPECT_EQ(client->Read().body(), "served");
  for (const auto& client : holders) EXPECT_EQ(client->Read().body(), "served");
  waiting.clear(), holders.clear();
  EXPECT_EQ(stopped.wait_for(kGiveUp), std::future_status::ready);
}

TEST(Closing, ServesPartlyReadRequestAtShutdownIfTheRestArrives) {
  Backend backend;
  Site site(Members(MemberJson("s-1", backend.address())));
  site.Start();
  const std::string request = Book();
  Client first(site.proxy->address), second(site.proxy->address);
  first.Send(request.substr(0, 30));
  second.Send(request.substr(0, 30));
  ASSERT_TRUE(site.proxy->WaitUntil([](proxy::Proxy& p) { return p.client_connections() == 2; }));
  auto stopped = site.proxy->Stop();
  EXPECT_EQ(stopped.wait_for(milliseconds(800)), std::future_status::timeout);
  first.Send(request.substr(30));
  EXPECT_EQ(first.Read().body(), "served");
  EXPECT_TRUE(second.Ended());
  second.Send(request.substr(30));
  second.socket.shutdown(Tcp::socket::shutdown_send);
  EXPECT_EQ(HearToTheEnd(second.socket).how, asio::error::eof);
  EXPECT_EQ(stopped.wait_for(kGiveUp), std::future_status::ready);
  EXPECT_EQ(backend.seen.Get().requests.size(), 1u);
}

TEST(Closing, ServesRequestsInFlightAndNewOnesAtShutdown) {
  Watched<bool> release;
  Backend backend([&](Tcp::socket& s, const HttpRequest& r) {
    if (r["Req-Kind"] == "book") release.WaitFor([](bool r) { return r; });
    SendRaw(s, OkAnswer("served"));
    return true;
  });
  Site site(Members(MemberJson("s-1", backend.address())));
  site.Start();
  Client holding(site.proxy->address), kept(site.proxy->address), idle(site.proxy->address);
  EXPECT_EQ(kept.Ask(Look()).result_int(), 200u);
  holding.Send(Book());
  ASSERT_TRUE(backend.WaitForRequests(2));
  auto stopped = site.proxy->Stop();
  // The proxy reports that it is not ready, but serves requests on new and on kept connections.
  Client asks(site.proxy->address);
  EXPECT_EQ(asks.Ask("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n").result_int(), 503u);
  Client late(site.proxy->address);
  HttpResponse answer = late.Ask(Look());
  EXPECT_EQ(answer.result_int(), 200u);
  EXPECT_FALSE(answer.keep_alive());
  answer = kept.Ask(Look());
  EXPECT_EQ(answer.result_int(), 200u);
  EXPECT_TRUE(kept.Ended());
  EXPECT_TRUE(idle.Ended());
  EXPECT_NE(stopped.wait_for(std::chrono::seconds(0)), std::future_status::ready);
  release.Do([](bool& r) { r = true; });
  EXPECT_EQ(holding.Read().result_int(), 200u);
  EXPECT_EQ(stopped.wait_for(kGiveUp), std::future_status::ready);
}

}  // namespace
}  // namespace copperpoint::testing
