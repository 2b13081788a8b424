// SPDX-License-Identifier: Apache-2.0
//
// Clients that leave: nothing begins for them, whatever they had sent and wherever their request stood.
#include <gtest/gtest.h>

#include "support/scripted.h"

namespace copperpoint::testing {
namespace {

using std::chrono::milliseconds;

constexpr int kFewSockets = 64;  // of these (64 - 24) * 0.6 are for clients
constexpr std::size_t kFewClients = 24;

// One backend that never comes up, and dials that are waited for as long as a test may take.
struct HeldSite : Site {
  explicit HeldSite(const HeldDial& dial) : Site(Members(MemberJson("s-1", dial.address()))) {
    config["settings"]["permissions"]["connectTimeoutMs"] = 600000.0;
    Start();
  }
  bool Dialling() {
    return proxy->WaitUntil([](proxy::Proxy& p) { return p.backend_connections() == 1; });
  }
  // The client's end has been seen, and the attempt for it has ended with it.
  bool AllForgotten() {
    return proxy->WaitUntil([](proxy::Proxy& p) {
      return p.client_connections() == 0 && p.open_requests() == 0 && p.backend_connections() == 0;
    });
  }
};

// A client that asks, says more once its attempt is being dialled, and leaves.
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

TEST(ClientDisconnected, AnAttemptThatIsBeingDialledEndsWithIt) { ExpectForgotten(Book()); }
TEST(ClientDisconnected, IsSeenBehindANextRequest) { ExpectForgotten(Book() + WithId(Book(), "next")); }
TEST(ClientDisconnected, IsSeenBehindAFlood) { ExpectForgotten(Book(), std::string(2 * 1024 * 1024, 'x')); }

TEST(ClientDisconnected, ByAResetIsSeenToo) {
  HeldDial dial;
  HeldSite site(dial);
  Client client(site.proxy->address);
  client.Send(Book() + WithId(Book(), "next"));
  ASSERT_TRUE(site.Dialling());
  CloseByReset(client.socket);
  EXPECT_TRUE(site.AllForgotten());
}

TEST(ClientDisconnected, ManyAtOnceAreAllForgotten) {
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

TEST(ClientDisconnected, OneThatFloodsBehindItsRequestGetsItsAnswerAndTheEnd) {
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

// Many requests at once are answered in order, however they are cut.
TEST(Pipelined, ManyAtOnceAreAnsweredInOrderWhereverTheyAreCut) {
  Backend backend([](Tcp::socket& s, const HttpRequest& r) {
    SendRaw(s, OkAnswer(std::string(r["Req-Id"])));
    return true;
  });
  Site site(Members(MemberJson("s-1", backend.address())));
  site.Start();
  std::string all;
  for (int i = 0; i < 40; ++i) all += WithId(i % 2 ? Look() : Book(), Numbered("p", i));
  for (const std::size_t piece : {all.size(), std::size_t{7}, std::size_t{1000}}) {
    Client client(site.proxy->address);
    for (std::size_t at = 0; at < all.size(); at += piece) client.Send(all.substr(at, piece));
    for (int i = 0; i < 40; ++i) EXPECT_EQ(client.Read().body(), Numbered("p", i));
  }
}

// Each has its time from when it came, not from when the first of them did, nor from when the one before was
// answered.
TEST(Pipelined, EachHasItsTimeFromWhenItCame) {
  Watched<int> answered;
  Watched<int> may_answer;
  Backend backend([&](Tcp::socket& s, const HttpRequest&) {
    int n = 0;
    answered.Do([&](int& a) { n = ++a; });
    may_answer.WaitFor([&](int m) { return m >= n; });
    SendRaw(s, OkAnswer("served"));
    return true;
  });
  Site site(Members(MemberJson("s-1", backend.address())));
  site.Start();
  Client client(site.proxy->address);
  client.Send(WithId(Look(), "a") + WithId(Look("Req-Deadline-Ms: 30000\r\n"), "b"));
  ASSERT_TRUE(backend.WaitForRequests(1));
  StandStill(milliseconds(2000));
  client.Send(WithId(Look("Req-Deadline-Ms: 30000\r\n"), "c"));
  StandStill(milliseconds(100));
  may_answer.Do([](int& m) { m = 3; });
  for (int i = 0; i < 3; ++i) EXPECT_EQ(client.Read().body(), "served");
  const auto seen = backend.seen.Get().requests;
  ASSERT_EQ(seen.size(), 3u);
  const int b = std::stoi(std::string(seen[1]["Req-Deadline-Ms"]));
  const int c = std::stoi(std::string(seen[2]["Req-Deadline-Ms"]));
  EXPECT_LE(b, 28000);
  EXPECT_GE(c - b, 500) << "the third came 2 s after the second, and went out right behind it";
}

// What comes behind a request that is the connection's last is not looked at, nor does it cost the answer.
TEST(Pipelined, WhatComesBehindALastRequestIsNotServedAndTheAnswerArrivesWhole) {
  Backend backend(std::string(60 * 1024, 'a'));
  Site site(Members(MemberJson("s-1", backend.address())));
  site.Start();
  Client client(site.proxy->address);
  client.Send(Look("Connection: close\r\n") + WithId(Book(), "behind") + std::string(200 * 1024, 'x'));
  EXPECT_EQ(client.Read().body().size(), 60u * 1024);
  client.Send(WithId(Book(), "later"));
  client.socket.shutdown(Tcp::socket::shutdown_send);
  EXPECT_EQ(HearToTheEnd(client.socket).how, asio::error::eof);
  EXPECT_EQ(backend.seen.Get().requests.size(), 1u);
}

// Holds all places for clients with requests that wait at a backend.
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

TEST(AcceptQueue, WhoLeftWhileItWaitedThereIsNotSentOn) {
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

TEST(AcceptQueue, TheTimeSpentThereIsNotToldToTheBackend) {
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

TEST(AcceptQueue, ALargeBodyThatWaitedThereIsWhole) {
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

// Clients that rest, that never ask, or that never finish asking, hold all places; spare_ms is far away.
TEST(AcceptQueue, WhoWaitsThereGetsThePlaceOfWhoRests) {
  for (const std::string& first : {Look(), std::string(), std::string("GET /look HTTP/1.1\r\nReq-Id: ")}) {
    Backend backend;
    Site site(Members(MemberJson("s-1", backend.address())));
    site.config["limits"]["sockets"] = kFewSockets;
    site.timeouts.idle_reclaim = std::chrono::minutes(10);
    site.timeouts.pressed_idle_reclaim = milliseconds(1);
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
