// SPDX-License-Identifier: Apache-2.0
//
// Requests and responses are forwarded unchanged; truncated, ambiguous and stalled responses fail.
#include <gtest/gtest.h>

#include <string>

#include "support/loopback.h"

namespace copperpoint::testing {
namespace {

TEST(Forwarding, ForwardsRequestAndReturnsResponseUnchanged) {
  Backend backend("a body");
  ProxySetup setup(Members(MemberJson("s-1", backend.address())));
  setup.Start();
  Client client(setup.proxy->address);
  const HttpResponse response =
      client.SendAndRead(PostRequest("change", "Idempotency-Key: 7e\r\nReq-Deadline-Ms: 30000\r\n"));
  EXPECT_EQ(response.result_int(), 200u);
  EXPECT_EQ(response.body(), "a body");
  const auto requests = backend.activity.Get().requests;
  ASSERT_EQ(requests.size(), 1u);
  EXPECT_EQ(requests[0].method(), http::verb::post);
  EXPECT_EQ(requests[0].target(), "/change");
  EXPECT_EQ(requests[0]["Req-Id"], "0b");
  EXPECT_EQ(requests[0]["Idempotency-Key"], "7e");
  EXPECT_EQ(requests[0].body(), "text");
  const int left = std::stoi(std::string(requests[0]["Req-Deadline-Ms"]));
  EXPECT_GT(left, 0);
  EXPECT_LE(left, 30000);

  EXPECT_EQ(client.SendAndRead(LookRequest()).body(), "a body");
  EXPECT_EQ(backend.activity.Get().requests[1].target(), "/look/it?page=2");
}

TEST(Forwarding, TruncatedResponseFailsNonIdempotentRequest) {
  const auto cut = [](Tcp::socket& s, const HttpRequest&) {
    SendRaw(s, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf");
    return false;
  };
  Backend one(cut), two(cut);
  ProxySetup setup(Members(MemberJson("s-1", one.address()), MemberJson("s-2", two.address())));
  setup.Start();
  Client client(setup.proxy->address);
  EXPECT_EQ(client.SendAndRead(BookRequest()).result_int(), 502u);
  EXPECT_EQ(one.activity.Get().requests.size() + two.activity.Get().requests.size(), 1u);
}

TEST(Forwarding, ResponseDelimitedByUnannouncedCloseFails) {
  Backend backend([](Tcp::socket& s, const HttpRequest&) {
    SendRaw(s, "HTTP/1.1 200 OK\r\n\r\nperhaps not all");
    return false;
  });
  ProxySetup setup(Members(MemberJson("s-1", backend.address())));
  setup.Start();
  Client client(setup.proxy->address);
  EXPECT_EQ(client.SendAndRead(BookRequest()).result_int(), 502u);
}

TEST(Forwarding, ResponseDelimitedByAnnouncedCloseIsReturned) {
  for (const std::size_t size : {std::size_t{10}, std::size_t{300 * 1000}}) {
    const std::string response(size, 'z');
    Backend backend([&](Tcp::socket& s, const HttpRequest&) {
      SendRaw(s, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + response);
      return false;
    });
    ProxySetup setup(Members(MemberJson("s-1", backend.address())));
    setup.Start();
    Client client(setup.proxy->address);
    EXPECT_EQ(client.SendAndRead(BookRequest()).body(), response);
    EXPECT_EQ(client.SendAndRead(BookRequest()).body(), response);
  }
}

TEST(Forwarding, HugeContentLengthFails) {
  Backend backend([](Tcp::socket& s, const HttpRequest&) {
    SendRaw(s, "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nand so on");
    return true;
  });
  ProxySetup setup(Members(MemberJson("s-1", backend.address())));
  setup.Start();
  Client client(setup.proxy->address);
  EXPECT_EQ(client.SendAndRead(BookRequest()).result_int(), 502u);
}

TEST(Forwarding, GarbageFromBackendFailsThatRequestOnly) {
  WaitableValue<int> received_requests;
  Backend backend([&](Tcp::socket& s, const HttpRequest&) {
    received_requests.Update([](int& n) { ++n; });
    SendRaw(s, received_requests.Get() == 1 ? "\x01\x02 no HTTP at all\r\n\r\n" : OkResponse("well"));
    return received_requests.Get() > 1;
  });
  ProxySetup setup(Members(MemberJson("s-1", backend.address())));
  setup.Start();
  Client client(setup.proxy->address);
  EXPECT_EQ(client.SendAndRead(BookRequest()).result_int(), 502u);
  EXPECT_EQ(client.SendAndRead(BookRequest()).body(), "well");
}

TEST(Forwarding, SkipsInterimResponses) {
  Backend backend([](Tcp::socket& s, const HttpRequest&) {
    SendRaw(s, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" +
                   OkResponse("final"));
    return true;
  });
  ProxySetup setup(Members(MemberJson("s-1", backend.address())));
  setup.Start();
  Client client(setup.proxy->address);
  EXPECT_EQ(client.SendAndRead(BookRequest()).body(), "final");
}

TEST(Forwarding, TooManyInterimResponsesFail) {
  Backend backend([](Tcp::socket& s, const HttpRequest&) {
    for (int i = 0; i < 50; ++i) SendRaw(s, "HTTP/1.1 103 Early Hints\r\n\r\n");
    SendRaw(s, OkResponse("too late"));
    return true;
  });
  ProxySetup setup(Members(MemberJson("s-1", backend.address())));
  setup.Start();
  Client client(setup.proxy->address);
  EXPECT_EQ(client.SendAndRead(BookRequest()).result_int(), 502u);
}

TEST(Forwarding, AmbiguousResponseFailsAndClosesItsConnection) {
  for (const char* head :
       {"Content-Length: 4\r\nContent-Length: 4\r\n", "Content-Length: 4, 4\r\n", "Content-Length: +4\r\n",
        "Transfer-Encoding: gzip\r\nContent-Length: 4\r\n", "Transfer-Encoding: gzip, chunked\r\n",
        "Connection: keep-alive\r\n", "Content-Length: 3000000000\r\n"}) {
    // The backend keeps its side open, so that only the proxy can end the connection.
    Backend backend([head](Tcp::socket& s, const HttpRequest&) {
      SendRaw(s, std::string("HTTP/1.1 200 OK\r\n") + head + "\r\nbody");
      return true;
    });
    ProxySetup setup(Members(MemberJson("s-1", backend.address())));
    setup.Start();
    Client client(setup.proxy->address);
    EXPECT_EQ(client.SendAndRead(BookRequest()).result_int(), 502u) << head;
    EXPECT_TRUE(backend.WaitForClosed(1)) << head;
    EXPECT_EQ(backend.activity.Get().requests.size(), 1u) << head;
  }
}

TEST(Forwarding, StalledResponseFails) {
  Backend backend([](Tcp::socket& s, const HttpRequest& r) {
    SendRaw(s, r["Req-Kind"] == "book" ? "HTTP/1.1 200 OK\r\nContent-" : OkResponse("well"));
    return true;
  });
  ProxySetup setup(Members(MemberJson("s-1", backend.address())));
  setup.timeouts.response_header_stall = std::chrono::milliseconds(20);
  setup.Start();
  Client client(setup.proxy->address);
  // The deadline is one minute, longer than the test waits: only the stall timeout can end the request.
  EXPECT_EQ(client.SendAndRead(BookRequest()).result_int(), 502u);
  EXPECT_TRUE(backend.WaitForClosed(1));
  EXPECT_EQ(client.SendAndRead(LookRequest()).body(), "well");
}

}  // namespace
}  // namespace copperpoint::testing
