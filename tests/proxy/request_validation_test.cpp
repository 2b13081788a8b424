// SPDX-License-Identifier: Apache-2.0
//
// Rejection of requests that are malformed, ambiguous or inconsistent.
#include <gtest/gtest.h>

#include <set>
#include <string>
#include <utility>

#include "support/loopback.h"

namespace copperpoint::testing {
namespace {

TEST(RequestValidation, RejectsAmbiguousFraming) {
  Backend backend;
  ProxySetup setup(Members(MemberJson("s-1", backend.address())));
  setup.Start();
  const std::string post = "POST /book HTTP/1.1\r\nHost: x\r\nReq-Id: 1\r\nReq-Kind: book\r\n";
  const std::string hidden = "0\r\n\r\nGET /look HTTP/1.1\r\nHost: x\r\nReq-Id: 2\r\n\r\n";
  const std::string length = "Content-Length: " + std::to_string(hidden.size()) + "\r\n";
  for (const std::string& bytes :
       {post + "Transfer-Encoding: xchunked\r\n" + length + "\r\n" + hidden,
        post + length + "Transfer-Encoding: gzip\r\n\r\n" + hidden,
        post + length + "Transfer-Encoding: chunked\r\n\r\n" + hidden,
        post + "Transfer-Encoding: chunked\r\n" + length + "\r\n" + hidden,
        post + "Transfer-Encoding: gzip, chunked\r\n\r\n" + hidden,
        post + "Transfer-Encoding: gzip\r\n\r\n" + hidden,
        "POST /book HTTP/1.0\r\nReq-Id: 1\r\nReq-Kind: book\r\nTransfer-Encoding: chunked\r\n\r\n" + hidden,
        post + "Content-Length: 4\r\nContent-Length: 4\r\n\r\ntext",
        post + "Content-Length: 4, 4\r\n\r\ntext", post + "Content-Length: -4\r\n\r\ntext",
        LookRequest("Content-Length: 4\r\n") + "text",
        LookRequest("Transfer-Encoding: chunked\r\n") + "4\r\ntext\r\n0\r\n\r\n"}) {
    Client client(setup.proxy->address);
    EXPECT_EQ(client.SendAndRead(bytes).result_int(), 400u) << bytes;
    EXPECT_TRUE(client.WaitForClose()) << bytes;
  }
  EXPECT_EQ(backend.activity.Get().requests.size(), 0u);
  Client client(setup.proxy->address);
  EXPECT_EQ(
      client.SendAndRead(post + "Transfer-Encoding: chunked\r\n\r\n4\r\ntext\r\n0\r\n\r\n").result_int(),
      200u);
  EXPECT_EQ(backend.activity.Get().requests.at(0).body(), "text");
}

TEST(RequestValidation, RejectsInconsistentHeaders) {
  Backend backend;
  ProxySetup setup(Members(MemberJson("s-1", backend.address())));
  setup.Start();
  const std::string bare = "GET /look HTTP/1.1\r\nHost: x\r\n";
  for (const std::string& bytes :
       {LookRequest("Req-Id: 0c\r\n"), LookRequest("Req-Kind: look\r\n"),
        LookRequest("Req-Deadline-Ms: 5\r\nReq-Deadline-Ms: 9\r\n"),
        PostRequest("change", "Idempotency-Key: 1\r\nIdempotency-Key: 2\r\n"),
        PostRequest("book", "Idempotency-Key: 1\r\n"), bare + "Req-Id: 1\r\nReq-Kind: book\r\n\r\n",
        LookRequest("Req-Deadline-Ms: 1e3\r\n"), LookRequest("Req-Deadline-Ms: 1.5\r\n"),
        LookRequest("Req-Deadline-Ms: 0x10\r\n"), LookRequest("Connection: Req-Id\r\n"),
        bare + "Req-Id: " + std::string(5000, 'i') + "\r\n\r\n"}) {
    Client client(setup.proxy->address);
    EXPECT_EQ(client.SendAndRead(bytes).result_int(), 400u) << bytes;
    EXPECT_TRUE(client.WaitForClose()) << bytes;
  }
  EXPECT_EQ(backend.activity.Get().requests.size(), 0u);
}

TEST(RequestValidation, RejectsIdOfOpenRequest) {
  WaitableValue<bool> release;
  Backend backend([&](Tcp::socket& s, const HttpRequest&) {
    release.WaitFor([](bool go) { return go; });
    SendRaw(s, OkResponse("served"));
    return true;
  });
  ProxySetup setup(Members(MemberJson("s-1", backend.address())));
  setup.Start();
  Client first(setup.proxy->address), second(setup.proxy->address);
  first.Send(BookRequest());
  ASSERT_TRUE(backend.WaitForRequests(1));
  EXPECT_EQ(second.SendAndRead(BookRequest()).result_int(), 409u);
  EXPECT_TRUE(second.WaitForClose());
  release.Update([](bool& go) { go = true; });
  EXPECT_EQ(first.Read().result_int(), 200u);
  EXPECT_EQ(backend.activity.Get().requests.size(), 1u);
  EXPECT_EQ(first.SendAndRead(BookRequest()).result_int(), 200u);  // the id is free again
}

TEST(RequestValidation, RejectsMalformedRequestsWith4xx) {
  Backend backend;
  ProxySetup setup(Members(MemberJson("s-1", backend.address())));
  setup.Start();
  const std::pair<std::string, unsigned> cases[] = {
      {"no HTTP at all\r\n\r\n", 400},
      {"GET /look HTTP/1.1\r\nbad header\r\n\r\n", 400},
      {"GET /unheard HTTP/1.1\r\nReq-Id: 1\r\nReq-Kind: unheard\r\n\r\n", 404},
      {"GET /look HTTP/1.1\r\nReq-Kind: look\r\n\r\n", 400},
      {"POST /look HTTP/1.1\r\nReq-Id: 1\r\nContent-Length: 0\r\n\r\n", 405},
      {LookRequest("Req-Deadline-Ms: soon\r\n"), 400},
      {LookRequest("Req-Deadline-Ms: -5\r\n"), 400},
      {LookRequest("Req-Deadline-Ms: nan\r\n"), 400},
      {LookRequest("Req-Cost: 1e999\r\n"), 400},
      {PostRequest("change"), 400},
      {LookRequest("X: " + std::string(20000, 'h') + "\r\n"), 431},
      {"POST /book HTTP/1.1\r\nReq-Id: 1\r\nContent-Length: 62914560\r\n\r\n", 413},
      {"POST /book HTTP/1.1\r\nReq-Id: 1\r\nContent-Length: minus\r\n\r\n", 400},
  };
  for (const auto& [bytes, status] : cases) {
    Client client(setup.proxy->address);
    EXPECT_EQ(client.SendAndRead(bytes).result_int(), status) << bytes.substr(0, 60);
  }
  EXPECT_EQ(backend.activity.Get().requests.size(), 0u);
  Client client(setup.proxy->address);
  EXPECT_EQ(client
                .SendAndRead(LookRequest(
                    "Req-Deadline-Ms: 30000\r\nReq-Cost: 1200\r\nReq-Extra: a=1\r\nCookie: obj=7f; b=\"\r\n"
                    "Unheard-Of: yes\r\n"))
                .result_int(),
            200u);
}

TEST(ParseClientRequest, ReadsTheFieldsOfADecision) {
  Backend backend;
  auto json = ConfigJson(backend.address(), {});
  json["settings"]["tenants"] = {{{"name", "acme"}, {"quotaPerS", 5.0}},
                                 {{"name", "bolt"}, {"quotaPerS", 5.0}}};
  const auto config = ParseConfigJson(json);
  HttpRequest message{http::verb::get, "/look", 11};
  message.set("Req-Id", "1");
  message.set("Req-Owner", "bolt");
  message.set("Req-Cost", "2500");
  message.set("Req-Retry", "1");
  message.set("Req-Deadline-Ms", "480");
  message.set("Cookie", "a=b; obj=7f3a9c21e0b4d655");
  message.set("Connection", "close, X-Hop");
  message.set("X-Hop", "1");
  message.set("X-End", "1");
  const auto at = proxy::Steady::now();
  proxy::ClientRequest request;
  EXPECT_FALSE(proxy::ParseClientRequest(message, at, config, &request));
  EXPECT_EQ(request.request_class, 0);
  EXPECT_EQ(request.tenant, 1);
  EXPECT_TRUE(request.has_work_estimate);
  EXPECT_DOUBLE_EQ(request.estimated_work_ms, 2.5);
  EXPECT_TRUE(request.client_retry);
  EXPECT_EQ(request.deadline - at, std::chrono::milliseconds(480));
  EXPECT_NE(request.affinity_key, 0u);
  EXPECT_EQ(request.message.count("X-Hop"), 0u);
  EXPECT_EQ(request.message.count("Connection"), 0u);
  EXPECT_EQ(request.message["X-End"], "1");

  proxy::ClientRequest other;
  message.set("Cookie", "obj=7f3a9c21e0b4d655");
  EXPECT_FALSE(proxy::ParseClientRequest(message, at, config, &other));
  EXPECT_EQ(other.affinity_key, request.affinity_key);
  message.erase("Cookie");
  EXPECT_FALSE(proxy::ParseClientRequest(message, at, config, &other));
  EXPECT_EQ(other.affinity_key, 0u);
  message.set("Req-Owner", "unknown");
  EXPECT_TRUE(proxy::ParseClientRequest(message, at, config, &other));
}

}  // namespace
}  // namespace copperpoint::testing
