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
  ProxySetup setup(Members(MemberJson("s-1", backend.address())));
  setup.timeouts.lingering_close = std::chrono::minutes(10);
  setup.Start();
  Client client(setup.proxy->address);
  EXPECT_EQ(client.SendAndRead(LookRequest()).body(), "served");
  auto stopped = setup.proxy->Stop();
  EXPECT_TRUE(client.WaitForClose());  // the proxy has closed its sending side
  client.Send(WithRequestId(BookRequest(), "crossing"));
  client.Send(WithRequestId(BookRequest(), "another"));
  client.socket.shutdown(Tcp::socket::shutdown_send);
  EXPECT_EQ(ReadToEnd(client.socket).error, asio::error::eof);
  EXPECT_EQ(stopped.wait_for(kWaitTimeout), std::future_status::ready);
  EXPECT_EQ(ReadToEnd(client.socket).error, asio::error::eof) << "not a reset";
  EXPECT_EQ(backend.activity.Get().requests.size(), 1u);
}

TEST(Closing, ShutdownWaitsForClientsUpToTheLingeringTimeout) {
  Backend backend;
  ProxySetup setup(Members(MemberJson("s-1", backend.address())));
  setup.timeouts.lingering_close = std::chrono::minutes(10);
  setup.Start();
  auto client = std::make_unique<Client>(setup.proxy->address);
  EXPECT_EQ(client->SendAndRead(LookRequest()).body(), "served");
  auto stopped = setup.proxy->Stop();
  EXPECT_TRUE(client->WaitForClose());
  EXPECT_EQ(setup.proxy->RunOnEventLoop([](proxy::Proxy& p) { return p.client_connections(); }), 1u);
  EXPECT_NE(stopped.wait_for(milliseconds(0)), std::future_status::ready);
  client.reset();
  EXPECT_EQ(stopped.wait_for(kWaitTimeout), std::future_status::ready);

  setup.timeouts.lingering_close = milliseconds(100);
  setup.Start();
  Client stays(setup.proxy->address);
  EXPECT_EQ(stays.SendAndRead(LookRequest()).body(), "served");
  EXPECT_EQ(setup.proxy->Stop().wait_for(kWaitTimeout), std::future_status::ready);
}

TEST(Closing, DrainedOrIdleConnectionIsNotReset) {
  Backend backend;
  ProxySetup setup(Members(MemberJson("s-1", backend.address())));
  setup.timeouts.keep_alive = milliseconds(50);
  setup.timeouts.lingering_close = std::chrono::minutes(10);
  setup.Start();
  Client kept(setup.proxy->address);
  EXPECT_EQ(kept.SendAndRead(LookRequest()).body(), "served");
  EXPECT_TRUE(kept.WaitForClose());
  kept.Send(BookRequest());
  EXPECT_TRUE(setup.proxy->WaitUntil([](proxy::Proxy& p) { return p.open_requests() == 0; }));
  kept.socket.shutdown(Tcp::socket::shutdown_send);
  EXPECT_TRUE(setup.proxy->WaitUntil([](proxy::Proxy& p) { return p.client_connections() == 0; }));
  EXPECT_EQ(ReadToEnd(kept.socket).error, asio::error::eof);

  Client drained(setup.proxy->address);
  EXPECT_EQ(drained.SendAndRead(LookRequest()).body(), "served");
  setup.proxy->RunOnEventLoop([](proxy::Proxy& p) { return p.Drain(), 0; });
  EXPECT_TRUE(drained.WaitForClose());
  drained.Send(BookRequest());
  drained.socket.shutdown(Tcp::socket::shutdown_send);
  EXPECT_TRUE(setup.proxy->WaitUntil([](proxy::Proxy& p) { return p.client_connections() == 0; }));
  EXPECT_EQ(ReadToEnd(drained.socket).error, asio::error::eof);
  EXPECT_EQ(backend.activity.Get().requests.size(), 2u);
}

// The kernel has accepted these connections, so shutdown has to serve them, also at the connection limit.
TEST(Closing, ServesClientsInTheAcceptQueueAtShutdown) {
  WaitableValue<bool> release;
  Backend backend([&](Tcp::socket& s, const HttpRequest& r) {
    if (r["Req-Kind"] == "book") release.WaitFor([](bool r) { return r; });
    SendRaw(s, OkResponse("served"));
    return true;
  });
  ProxySetup setup(Members(MemberJson("s-1", backend.address())));
  setup.config["limits"]["sockets"] = 64;  // 24 clients
  setup.Start();
  std::vector<std::unique_ptr<Client>> holders, waiting;
  for (int i = 0; i < 24; ++i) {
    holders.push_back(std::make_unique<Client>(setup.proxy->address));
    holders.back()->Send(WithRequestId(BookRequest(), Numbered("h", i)));
  }
  ASSERT_TRUE(setup.proxy->WaitUntil([](proxy::Proxy& p) { return p.open_requests() == 24; }));
  for (int i = 0; i < 12; ++i) {
    waiting.push_back(std::make_unique<Client>(setup.proxy->address));
    waiting.back()->Send(WithRequestId(LookRequest(), Numbered("w", i)));
  }
  auto stopped = setup.proxy->Stop();
  // The listener stays open after the grace period, as its accept queue has not been seen empty.
  EXPECT_EQ(stopped.wait_for(milliseconds(900)), std::future_status::timeout);
  release.Update([](bool& r) { r = true; });
  for (const auto& client : waiting) EXPECT_EQ(client->Read().body(), "served");
  for (const auto& client : holders) EXPECT_EQ(client->Read().body(), "served");
  waiting.clear(), holders.clear();
  EXPECT_EQ(stopped.wait_for(kWaitTimeout), std::future_status::ready);
}

TEST(Closing, ServesPartlyReadRequestAtShutdownIfTheRestArrives) {
  Backend backend;
  ProxySetup setup(Members(MemberJson("s-1", backend.address())));
  setup.Start();
  const std::string request = BookRequest();
  Client first(setup.proxy->address), second(setup.proxy->address);
  first.Send(request.substr(0, 30));
  second.Send(request.substr(0, 30));
  ASSERT_TRUE(setup.proxy->WaitUntil([](proxy::Proxy& p) { return p.client_connections() == 2; }));
  auto stopped = setup.proxy->Stop();
  EXPECT_EQ(stopped.wait_for(milliseconds(800)), std::future_status::timeout);
  first.Send(request.substr(30));
  EXPECT_EQ(first.Read().body(), "served");
  EXPECT_TRUE(second.WaitForClose());
  second.Send(request.substr(30));
  second.socket.shutdown(Tcp::socket::shutdown_send);
  EXPECT_EQ(ReadToEnd(second.socket).error, asio::error::eof);
  EXPECT_EQ(stopped.wait_for(kWaitTimeout), std::future_status::ready);
  EXPECT_EQ(backend.activity.Get().requests.size(), 1u);
}

TEST(Closing, ServesRequestsInFlightAndNewOnesAtShutdown) {
  WaitableValue<bool> release;
  Backend backend([&](Tcp::socket& s, const HttpRequest& r) {
    if (r["Req-Kind"] == "book") release.WaitFor([](bool r) { return r; });
    SendRaw(s, OkResponse("served"));
    return true;
  });
  ProxySetup setup(Members(MemberJson("s-1", backend.address())));
  setup.Start();
  Client holding(setup.proxy->address), kept(setup.proxy->address), idle(setup.proxy->address);
  EXPECT_EQ(kept.SendAndRead(LookRequest()).result_int(), 200u);
  holding.Send(BookRequest());
  ASSERT_TRUE(backend.WaitForRequests(2));
  auto stopped = setup.proxy->Stop();
  // The proxy reports that it is not ready, but serves requests on new and on kept connections.
  Client asks(setup.proxy->address);
  EXPECT_EQ(asks.SendAndRead("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n").result_int(), 503u);
  Client late(setup.proxy->address);
  HttpResponse answer = late.SendAndRead(LookRequest());
  EXPECT_EQ(answer.result_int(), 200u);
  EXPECT_FALSE(answer.keep_alive());
  answer = kept.SendAndRead(LookRequest());
  EXPECT_EQ(answer.result_int(), 200u);
  EXPECT_TRUE(kept.WaitForClose());
  EXPECT_TRUE(idle.WaitForClose());
  EXPECT_NE(stopped.wait_for(std::chrono::seconds(0)), std::future_status::ready);
  release.Update([](bool& r) { r = true; });
  EXPECT_EQ(holding.Read().result_int(), 200u);
  EXPECT_EQ(stopped.wait_for(kWaitTimeout), std::future_status::ready);
}

}  // namespace
}  // namespace copperpoint::testing
