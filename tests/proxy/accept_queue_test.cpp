// SPDX-License-Identifier: Apache-2.0
//
// Connections that wait in the kernel's accept queue because the proxy has reached its client limit.
#include <gtest/gtest.h>

#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include "support/scripted.h"

namespace copperpoint::testing {
namespace {

using std::chrono::milliseconds;

constexpr int kMaxSockets = 64;  // (64 - 24 reserved) * 0.6 of these are for clients
constexpr std::size_t kMaxClients = 24;

// A proxy that Fill brings to its client limit, with requests that wait at the backend until Release.
struct FullProxySetup {
  FullProxySetup()
      : backend([this](Tcp::socket& s, const HttpRequest& r) {
          if (r["Req-Kind"] == "book") release.WaitFor([](bool r) { return r; });
          SendRaw(s, OkResponse("served"));
          return true;
        }),
        setup(Members(MemberJson("s-1", backend.address()))) {
    setup.config["limits"]["sockets"] = kMaxSockets;
    setup.Start();
  }
  bool Fill(std::size_t n = kMaxClients) {
    for (std::size_t i = 0; i < n; ++i) {
      holders.push_back(std::make_unique<Client>(setup.proxy->address));
      holders.back()->Send(WithRequestId(BookRequest(), Numbered("h", i)));
    }
    return setup.proxy->WaitUntil([n](proxy::Proxy& p) { return p.open_requests() == n; });
  }
  void Release() {
    release.Update([](bool& r) { r = true; });
  }
  std::vector<HttpRequest> ReceivedLookRequests() {
    std::vector<HttpRequest> requests;
    for (const HttpRequest& r : backend.activity.Get().requests) {
      if (r["Req-Kind"] == "look") requests.push_back(r);
    }
    return requests;
  }

  WaitableValue<bool> release;
  Backend backend;
  ProxySetup setup;
  std::vector<std::unique_ptr<Client>> holders;
};

// A client that disconnects while its connection is in the accept queue must not cause an attempt.
TEST(AcceptQueue, DoesNotForwardRequestOfClientThatDisconnectedThere) {
  FullProxySetup full;
  ASSERT_TRUE(full.Fill());
  {
    Client disconnected(full.setup.proxy->address);
    disconnected.Send(WithRequestId(LookRequest(), "disconnected"));
  }
  Client after(full.setup.proxy->address);  // queued after the disconnected client
  after.Send(WithRequestId(LookRequest(), "after"));
  full.Release();
  EXPECT_EQ(after.Read().body(), "served");
  const auto requests = full.ReceivedLookRequests();
  ASSERT_EQ(requests.size(), 1u);
  EXPECT_EQ(requests[0]["Req-Id"], "after");
}

// The deadline counts from when the connection may have entered the queue, not from when it is accepted.
TEST(AcceptQueue, TimeSpentThereReducesTheDeadline) {
  FullProxySetup full;
  ASSERT_TRUE(full.Fill());
  Client queued(full.setup.proxy->address);
  queued.Send(LookRequest("Req-Deadline-Ms: 30000\r\n"));
  SleepWithoutPolling(milliseconds(400));
  full.Release();
  EXPECT_EQ(queued.Read().body(), "served");
  const auto requests = full.ReceivedLookRequests();
  ASSERT_EQ(requests.size(), 1u);
  EXPECT_LE(std::stoi(std::string(requests[0]["Req-Deadline-Ms"])), 29600);
}

// The body exceeds the read-ahead limit: a read of what waited in the queue must not drop a part of it.
TEST(AcceptQueue, LargeBodyThatWaitedThereIsComplete) {
  FullProxySetup full;
  ASSERT_TRUE(full.Fill());
  const std::string body(60 * 1024, 'z');
  Client queued(full.setup.proxy->address);
  queued.Send(PostRequest("change", "Idempotency-Key: 7e\r\n", body));
  full.Release();
  EXPECT_EQ(queued.Read().body(), "served");
  for (const HttpRequest& r : full.backend.activity.Get().requests) {
    if (r["Req-Kind"] == "change") {
      EXPECT_EQ(r.body(), body);
    }
  }
}

// Clients that are idle, that have sent nothing, or that never complete a request must not use up the limit.
TEST(AcceptQueue, WaitingClientReplacesIdleOne) {
  for (const std::string& first :
       {LookRequest(), std::string(), std::string("GET /look HTTP/1.1\r\nReq-Id: ")}) {
    Backend backend;
    ProxySetup setup(Members(MemberJson("s-1", backend.address())));
    setup.config["limits"]["sockets"] = kMaxSockets;
    setup.timeouts.idle_reclaim = std::chrono::minutes(10);
    setup.timeouts.idle_reclaim_under_pressure = milliseconds(1);
    setup.Start();
    std::vector<std::unique_ptr<Client>> clients;
    for (std::size_t i = 0; i < 3 * kMaxClients; ++i) {
      clients.push_back(std::make_unique<Client>(setup.proxy->address));
      if (!first.empty()) clients.back()->Send(first);
      if (first == LookRequest()) {
        EXPECT_EQ(clients.back()->Read().body(), "served") << i;
      }
    }
    Client last(setup.proxy->address);
    EXPECT_EQ(last.SendAndRead(WithRequestId(LookRequest(), "last")).body(), "served") << first;
  }
}

}  // namespace
}  // namespace copperpoint::testing
