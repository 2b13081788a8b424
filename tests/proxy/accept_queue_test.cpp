// SPDX-License-Identifier: Apache-2.0
//
// Clients that wait to be accepted, as the proxy has as many as it may.
#include <gtest/gtest.h>

#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include "support/scripted.h"

namespace copperpoint::testing {
namespace {

using std::chrono::milliseconds;

constexpr int kFewSockets = 64;  // of these (64 - 24) * 0.6 are for clients
constexpr std::size_t kFewClients = 24;

// A proxy at its client limit, with requests that wait at a backend.
struct FullSite {
  FullSite()
      : backend([this](Tcp::socket& s, const HttpRequest& r) {
          if (r["Req-Kind"] == "book") release.WaitFor([](bool r) { return r; });
          SendRaw(s, OkAnswer("served"));
          return true;
        }),
        site(Members(MemberJson("s-1", backend.address()))) {
    site.config["limits"]["sockets"] = kFewSockets;
    site.Start();
  }
  bool Fill(std::size_t n = kFewClients) {
    for (std::size_t i = 0; i < n; ++i) {
      holders.push_back(std::make_unique<Client>(site.proxy->address));
      holders.back()->Send(WithId(Book(), Numbered("h", i)));
    }
    return site.proxy->WaitUntil([n](proxy::Proxy& p) { return p.open_requests() == n; });
  }
  void Release() {
    release.Do([](bool& r) { r = true; });
  }
  std::vector<HttpRequest> Looks() {
    std::vector<HttpRequest> looks;
    for (const HttpRequest& r : backend.seen.Get().requests) {
      if (r["Req-Kind"] == "look") looks.push_back(r);
    }
    return looks;
  }

  Watched<bool> release;
  Backend backend;
  Site site;
  std::vector<std::unique_ptr<Client>> holders;
};

TEST(AcceptQueue, DoesNotForwardRequestOfClientThatDisconnectedThere) {
  FullSite full;
  ASSERT_TRUE(full.Fill());
  {
    Client gone(full.site.proxy->address);
    gone.Send(WithId(Look(), "gone"));
  }
  Client after(full.site.proxy->address);  // behind it in the queue
  after.Send(WithId(Look(), "after"));
  full.Release();
  EXPECT_EQ(after.Read().body(), "served");
  const auto looks = full.Looks();
  ASSERT_EQ(looks.size(), 1u);
  EXPECT_EQ(looks[0]["Req-Id"], "after");
}

TEST(AcceptQueue, TimeSpentThereReducesTheDeadline) {
  FullSite full;
  ASSERT_TRUE(full.Fill());
  Client late(full.site.proxy->address);
  late.Send(Look("Req-Deadline-Ms: 30000\r\n"));
  StandStill(milliseconds(400));
  full.Release();
  EXPECT_EQ(late.Read().body(), "served");
  const auto looks = full.Looks();
  ASSERT_EQ(looks.size(), 1u);
  EXPECT_LE(std::stoi(std::string(looks[0]["Req-Deadline-Ms"])), 29600);
}

TEST(AcceptQueue, LargeBodyThatWaitedThereIsComplete) {
  FullSite full;
  ASSERT_TRUE(full.Fill());
  const std::string body(60 * 1024, 'z');
  Client late(full.site.proxy->address);
  late.Send(Post("change", "Idempotency-Key: 7e\r\n", body));
  full.Release();
  EXPECT_EQ(late.Read().body(), "served");
  for (const HttpRequest& r : full.backend.seen.Get().requests) {
    if (r["Req-Kind"] == "change") {
      EXPECT_EQ(r.body(), body);
    }
  }
}

// Idle clients, silent ones, or ones that never complete a request use up the limit.
TEST(AcceptQueue, WaitingClientReplacesIdleOne) {
  for (const std::string& first : {Look(), std::string(), std::string("GET /look HTTP/1.1\r\nReq-Id: ")}) {
    Backend backend;
    Site site(Members(MemberJson("s-1", backend.address())));
    site.config["limits"]["sockets"] = kFewSockets;
    site.timeouts.idle_reclaim = std::chrono::minutes(10);
    site.timeouts.idle_reclaim_under_pressure = milliseconds(1);
    site.Start();
    std::vector<std::unique_ptr<Client>> resting;
    for (std::size_t i = 0; i < 3 * kFewClients; ++i) {
      resting.push_back(std::make_unique<Client>(site.proxy->address));
      if (!first.empty()) resting.back()->Send(first);
      if (first == Look()) {
        EXPECT_EQ(resting.back()->Read().body(), "served") << i;
      }
    }
    Client last(site.proxy->address);
    EXPECT_EQ(last.Ask(WithId(Look(), "last")).body(), "served") << first;
  }
}

}  // namespace
}  // namespace copperpoint::testing
