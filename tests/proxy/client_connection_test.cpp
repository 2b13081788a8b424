// SPDX-License-Identifier: Apache-2.0
//
// Client connections: pipelined requests, slow and silent clients, and eviction at the connection limit.
#include <gtest/gtest.h>

#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "support/loopback.h"

namespace copperpoint::testing {
namespace {

TEST(ClientConnection, ServesPipelinedRequestsInOrder) {
  Backend backend([](Tcp::socket& s, const HttpRequest& r) {
    SendRaw(s, OkResponse(std::string(r["Req-Id"])));
    return true;
  });
  ProxySetup setup(Members(MemberJson("s-1", backend.address())));
  setup.Start();
  Client client(setup.proxy->address);
  client.Send(WithRequestId(BookRequest(), "b1") + WithRequestId(LookRequest(), "b2") +
              WithRequestId(BookRequest(), "b3"));
  for (const char* id : {"b1", "b2", "b3"}) EXPECT_EQ(client.Read().body(), id);
}

TEST(ClientConnection, SlowRequestEndsWith408AtItsDeadline) {
  Backend backend;
  ProxySetup setup(Members(MemberJson("s-1", backend.address())));
  setup.timeouts.request_head = std::chrono::milliseconds(500);
  setup.Start();
  Client silent(setup.proxy->address);
  EXPECT_TRUE(silent.WaitForClose());
  // Sends a byte every millisecond until the proxy responds: single bytes must not extend the deadline.
  Client slow(setup.proxy->address);
  slow.Send("GET /look HTTP/1.1\r\nX: ");
  error_code failed;
  slow.socket.non_blocking(true);
  char byte;
  do {
    asio::write(slow.socket, asio::buffer("x", 1), failed);
    std::this_thread::sleep_for(std::chrono::milliseconds(1));  // so that the header limit is not reached
    if (!failed) slow.socket.receive(asio::buffer(&byte, 1), Tcp::socket::message_peek, failed);
  } while (failed == asio::error::would_block);
  slow.socket.non_blocking(false);
  EXPECT_EQ(slow.Read().result_int(), 408u);
  // The deadline of a later request counts from its first byte.
  Client kept(setup.proxy->address);
  EXPECT_EQ(kept.SendAndRead(LookRequest()).result_int(), 200u);
  kept.Send("GET /look HTTP/1.1\r\n");
  EXPECT_EQ(kept.Read().result_int(), 408u);
}

TEST(ClientConnection, SilentConnectionsAreReplaced) {
  Backend backend;
  ProxySetup setup(Members(MemberJson("s-1", backend.address())));
  setup.config["limits"]["sockets"] = 64;
  setup.timeouts.request_head = std::chrono::hours(1);
  setup.timeouts.idle_reclaim_under_pressure = std::chrono::milliseconds(10);
  setup.Start();
  std::vector<std::unique_ptr<Client>> silent;
  for (int i = 0; i < 80; ++i) silent.push_back(std::make_unique<Client>(setup.proxy->address));
  Client client(setup.proxy->address);
  EXPECT_EQ(client.SendAndRead(LookRequest()).result_int(), 200u);
  EXPECT_TRUE(silent.front()->WaitForClose());
}

TEST(ClientConnection, ClientsBeyondTheLimitReplaceIdleOnes) {
  Backend backend;
  ProxySetup setup(Members(MemberJson("s-1", backend.address())));
  setup.config["limits"]["sockets"] = 64;
  setup.timeouts.idle_reclaim = std::chrono::milliseconds(10);
  setup.Start();
  std::vector<std::unique_ptr<Client>> clients;
  for (int i = 0; i < 60; ++i) {
    clients.push_back(std::make_unique<Client>(setup.proxy->address));
    EXPECT_EQ(clients.back()->SendAndRead(LookRequest()).result_int(), 200u) << i;
  }
  EXPECT_TRUE(clients.front()->WaitForClose());
}

}  // namespace
}  // namespace copperpoint::testing
