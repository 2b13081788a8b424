// SPDX-License-Identifier: Apache-2.0
//
// A request that may have run must not be sent to another backend unless it is idempotent.
#include <gtest/gtest.h>

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "support/scripted.h"

namespace copperpoint::testing {
namespace {

TEST(RetrySafety, NonIdempotentRequestIsRetriedOnlyWhenDeclined) {
  WaitableValue<int> declined;
  const auto decline_first = [&](Tcp::socket& s, const HttpRequest&) {
    int n = 0;
    declined.Update([&](int& d) { n = ++d; });
    SendRaw(s, n == 1 ? kDeclinedResponse : OkResponse("second"));
    return true;
  };
  Backend one(decline_first), two(decline_first);
  ProxySetup setup(Members(MemberJson("s-1", one.address()), MemberJson("s-2", two.address())));
  setup.Start();
  Client client(setup.proxy->address);
  EXPECT_EQ(client.SendAndRead(BookRequest()).body(), "second");
  EXPECT_EQ(declined.Get(), 2);
}

TEST(RetrySafety, Undeclined503MayHaveExecuted) {
  const auto busy = [](Tcp::socket& s, const HttpRequest&) {
    SendRaw(s, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
    return true;
  };
  Backend one(busy), two(busy);
  ProxySetup setup(Members(MemberJson("s-1", one.address()), MemberJson("s-2", two.address())));
  setup.Start();
  Client client(setup.proxy->address);
  EXPECT_EQ(client.SendAndRead(BookRequest()).result_int(), 502u);  // failed, not rejected
  EXPECT_EQ(one.activity.Get().requests.size() + two.activity.Get().requests.size(), 1u);
}

TEST(RetrySafety, RefusedConnectionIsRetriedElsewhere) {
  Tcp::endpoint refusing_address;
  {
    Backend stopped;
    refusing_address = stopped.address();
  }
  Backend backend;
  ProxySetup setup(Members(MemberJson("s-1", refusing_address), MemberJson("s-2", backend.address())));
  setup.Start();
  Client client(setup.proxy->address);
  for (int i = 0; i < 6; ++i) EXPECT_EQ(client.SendAndRead(BookRequest()).result_int(), 200u) << i;
}

TEST(RetrySafety, ResetAfterTheRequestIsRetriedOnlyIfIdempotent) {
  WaitableValue<int> received_requests;
  const auto drop = [&](Tcp::socket&, const HttpRequest&) {
    received_requests.Update([](int& n) { ++n; });
    return false;
  };
  Backend one(drop), two(drop);
  ProxySetup setup(Members(MemberJson("s-1", one.address()), MemberJson("s-2", two.address())));
  setup.Start();
  Client client(setup.proxy->address);
  EXPECT_EQ(client.SendAndRead(BookRequest()).result_int(), 502u);
  EXPECT_EQ(received_requests.Get(), 1);
  // An idempotent request is retried, up to maxAttempts.
  client.SendAndRead(LookRequest());
  EXPECT_GT(received_requests.Get(), 2);
  EXPECT_LE(received_requests.Get(), 5);
}

const char kServerError[] = "HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n";

// Guards against a booking that runs twice: the retry of a request with an idempotency key was decided within
// the deduplication window, and written after it because its connection came up late.
TEST(RetrySafety, KeyedRequestIsNotSentAgainWhenTheConnectionComesUpAfterTheWindow) {
  constexpr std::chrono::milliseconds kWindow{800};
  FullBacklogListener late;
  WaitableValue<bool> late_is_listed;
  Backend failing([&](Tcp::socket& s, const HttpRequest&) {
    late_is_listed.WaitFor([](bool listed) { return listed; });
    SendRaw(s, kServerError);
    return true;
  });
  ProxySetup setup(Members(MemberJson("s-1", failing.address())));
  for (auto& settings : setup.config["settings"]["classes"]) settings["windowMs"] = kWindow.count();
  setup.Start();
  ASSERT_TRUE(setup.discovery.WaitForWatches(1));
  Client client(setup.proxy->address);
  client.Send(ChangeRequest());
  ASSERT_TRUE(failing.WaitForRequests(1));
  const auto window_end = std::chrono::steady_clock::now() + kWindow;
  setup.discovery.Push(ListJson(42, false, Members(MemberJson("s-2", late.address()))));
  ASSERT_TRUE(setup.proxy->WaitUntil([](proxy::Proxy& p) { return p.backends_known() == 2; }));
  late_is_listed.Update([](bool& listed) { listed = true; });
  std::this_thread::sleep_until(window_end);
  std::optional<Tcp::socket> connection = late.AcceptUnless([&] { return client.socket.available() > 0; });
  if (connection) SendRaw(*connection, OkResponse("ran again"));
  EXPECT_EQ(client.Read().result_int(), 502u) << "the request may have run, and may not be sent again";
  if (connection) {
    EXPECT_EQ(ReadAvailable(*connection).bytes, "") << "sent again after the window";
  }
}

// What the window still allows.
TEST(RetrySafety, KeyedRequestIsSentAgainWithinTheWindow) {
  WaitableValue<int> received_requests;
  const auto fail_first = [&](Tcp::socket& s, const HttpRequest&) {
    int n = 0;
    received_requests.Update([&](int& received) { n = ++received; });
    SendRaw(s, n == 1 ? kServerError : OkResponse("second"));
    return true;
  };
  Backend one(fail_first), two(fail_first);
  ProxySetup setup(Members(MemberJson("s-1", one.address()), MemberJson("s-2", two.address())));
  setup.Start();
  Client client(setup.proxy->address);
  EXPECT_EQ(client.SendAndRead(ChangeRequest()).body(), "second");
  EXPECT_EQ(received_requests.Get(), 2);
}

TEST(RetrySafety, TimeoutClosesTheConnectionAndDropsALateResponse) {
  WaitableValue<bool> release, released;
  Backend backend([&](Tcp::socket& s, const HttpRequest& r) {
    const bool late = r["Req-Id"] == "late";
    if (late) release.WaitFor([](bool now) { return now; });
    SendRaw(s, OkResponse(late ? "late" : "in time"));
    if (late) released.Update([](bool& done) { done = true; });
    return true;
  });
  ProxySetup setup(Members(MemberJson("s-1", backend.address())));
  setup.Start();
  Client client(setup.proxy->address);
  const std::string timed = PostRequest("book", "Req-Deadline-Ms: 1000\r\n");
  EXPECT_EQ(client.SendAndRead(WithRequestId(timed, "late")).result_int(), 502u);
  EXPECT_EQ(setup.proxy->RunOnEventLoop([](proxy::Proxy& p) { return p.backend_connections(); }), 0u);
  // The backend may read the request only now, since the proxy responds at the deadline in any case.
  ASSERT_TRUE(backend.WaitForRequests(1));
  release.Update([](bool& now) { now = true; });
  ASSERT_TRUE(released.WaitFor([](bool done) { return done; }));
  EXPECT_EQ(client.SendAndRead(BookRequest()).body(), "in time");
}

TEST(RetrySafety, BadRequestIsNotRetriedAndNotCountedAgainstItsBackend) {
  WaitableValue<int> received_requests;
  const auto respond = [&](Tcp::socket& s, const HttpRequest& r) {
    if (r["Req-Id"] == "odd") {
      received_requests.Update([](int& n) { ++n; });
      SendRaw(s, "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n");
    } else {
      SendRaw(s, OkResponse("well"));
    }
    return true;
  };
  Backend one(respond), two(respond);
  ProxySetup setup(Members(MemberJson("s-1", one.address()), MemberJson("s-2", two.address())));
  setup.Start();
  for (int i = 1; i <= 5; ++i) {
    Client bad(setup.proxy->address);
    EXPECT_EQ(bad.SendAndRead(WithRequestId(LookRequest(), "odd")).result_int(), 400u);
    EXPECT_TRUE(bad.WaitForClose());
    EXPECT_EQ(received_requests.Get(), i);
  }
}

TEST(RetrySafety, SilentAttemptsDoNotBlockOthers) {
  WaitableValue<bool> close_silent;
  WaitableValue<int> silent;
  Backend backend([&](Tcp::socket& s, const HttpRequest& r) {
    if (r["Req-Id"].ends_with("silent")) {
      silent.Update([](int& n) { ++n; });
      close_silent.WaitFor([](bool o) { return o; });
      return false;
    }
    SendRaw(s, OkResponse("served"));
    return true;
  });
  ProxySetup setup(Members(MemberJson("s-1", backend.address())));
  setup.Start();
  Client client(setup.proxy->address);
  for (int i = 0; i < 20; ++i) EXPECT_EQ(client.SendAndRead(BookRequest()).result_int(), 200u);
  // All of these are sent although they exceed the limit for one backend by far, and later requests are too.
  constexpr int kSilent = 40;
  std::vector<std::unique_ptr<Client>> waiting;
  for (int i = 0; i < kSilent; ++i) {
    waiting.push_back(std::make_unique<Client>(setup.proxy->address));
    waiting.back()->Send(WithRequestId(BookRequest(), std::to_string(i) + "silent"));
  }
  EXPECT_TRUE(silent.WaitFor([](int n) { return n == kSilent; }));
  EXPECT_EQ(client.SendAndRead(LookRequest()).result_int(), 200u);
  close_silent.Update([](bool& o) { o = true; });
}

}  // namespace
}  // namespace copperpoint::testing
