// SPDX-License-Identifier: Apache-2.0
//
// Bodies larger than a buffer: framing, memory, and what breaks off.
#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

#include "support/loopback.h"

namespace copperpoint::testing {
namespace {

TEST(LargeBodies, ForwardsBodiesOf64KiB) {
  Backend backend([](Tcp::socket& s, const HttpRequest& r) {
    SendRaw(s, OkAnswer(r.body()));
    return true;
  });
  Site site(Members(MemberJson("s-1", backend.address())));
  site.Start();
  const std::string body(64 * 1024, 'y');
  Client client(site.proxy->address);
  EXPECT_EQ(client.Ask(Post("book", "", body)).body(), body);
}

std::string Patterned(std::size_t size) {
  std::string text(size, ' ');
  for (std::size_t i = 0; i < size; ++i) text[i] = static_cast<char>('a' + i * 7 % 26);
  return text;
}
std::string InChunks(const std::string& body, std::size_t each) {
  std::string text;
  for (std::size_t from = 0; from < body.size(); from += each) {
    char size[24];
    const std::string piece = body.substr(from, each);
    std::snprintf(size, sizeof size, "%zX;note=1\r\n", piece.size());
    text.append(size).append(piece).append("\r\n");
  }
  return text + "0\r\nTrailing: yes\r\n\r\n";
}

void ExpectLargeBodiesToPass(std::size_t size) {
  const std::string body = Patterned(size), answer = Patterned(5 * 1000 * 1000);
  Watched<int> asked;
  Backend backend([&](Tcp::socket& s, const HttpRequest& r) {
    EXPECT_EQ(r.body(), body);
    int n = 0;
    asked.Do([&](int& a) { n = ++a; });
    SendRaw(s, n % 2 ? OkAnswer(answer)
                     : "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + InChunks(answer, 70001));
    return true;
  });
  Site site(Members(MemberJson("s-1", backend.address())));
  site.timeouts.reuse_delay = std::chrono::milliseconds(0);
  site.Start();
  Client client(site.proxy->address);
  const std::string chunked =
      "POST /book HTTP/1.1\r\nReq-Id: 0c\r\nReq-Kind: book\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (int i = 0; i < 2; ++i) {
    EXPECT_EQ(client.Ask(Post("book", "", body)).body(), answer);
    EXPECT_EQ(client.Ask(chunked + InChunks(body, 1001)).body(), answer);
  }
  EXPECT_EQ(backend.seen.Get().opened, 1);  // the connection is of use after a large answer
}

TEST(LargeBodies, ForwardsBodiesOfAnyFraming) {
  ExpectLargeBodiesToPass(300 * 1000);       // buffered
  ExpectLargeBodiesToPass(3 * 1000 * 1000);  // forwarded piece by piece
}

TEST(LargeBodies, ForwardsManyAtOnce) {
  const std::string answer = Patterned(4 * 1000 * 1000);
  Backend backend([&](Tcp::socket& s, const HttpRequest&) {
    SendRaw(s, OkAnswer(answer));
    return true;
  });
  Site site(Members(MemberJson("s-1", backend.address())));
  site.Start();
  std::vector<std::unique_ptr<Client>> clients;
  for (int i = 0; i < 20; ++i) {
    clients.push_back(std::make_unique<Client>(site.proxy->address));
    clients.back()->Send(WithId(Look(), std::to_string(i)));
  }
  ASSERT_TRUE(backend.WaitForRequests(20));
  // No client has read a byte yet.
  for (const auto& client : clients) EXPECT_EQ(client->Read().body(), answer);
}

TEST(LargeBodies, TruncatedResponseEndsTheConnectionWithoutRetry) {
  for (const bool chunked : {false, true}) {
    const auto cut = [&](Tcp::socket& s, const HttpRequest&) {
      const std::string part = Patterned(300 * 1000);
      SendRaw(s, chunked ? "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nfffff\r\n" + part
                         : "HTTP/1.1 200 OK\r\nContent-Length: 400000\r\n\r\n" + part);
      return false;
    };
    Backend one(cut), two(cut);
    Site site(Members(MemberJson("s-1", one.address()), MemberJson("s-2", two.address())));
    site.Start();
    Client client(site.proxy->address);
    EXPECT_EQ(client.Ask(Look()).result_int(), 0u);
    EXPECT_EQ(one.seen.Get().requests.size() + two.seen.Get().requests.size(), 1u);
  }
}

TEST(LargeBodies, PartlySentBodyIsNotRetried) {
  // Closes once it has read the head, as a backend does that rejects the body.
  Watched<int> begun;
  const auto cut = [&](Tcp::socket& s) {
    std::string some(200 * 1000, ' ');
    error_code failed;
    asio::read(s, asio::buffer(some), failed);
    begun.Do([](int& n) { ++n; });
  };
  Listener one(cut), two(cut);
  Site site(Members(MemberJson("s-1", one.address), MemberJson("s-2", two.address)));
  site.Start();
  Client client(site.proxy->address);
  EXPECT_EQ(client.Ask(Post("book", "", Patterned(20 * 1000 * 1000))).result_int(), 503u);
  EXPECT_EQ(begun.Get(), 1);
}

TEST(LargeBodies, StalledBodyIsRejectedWithoutExecution) {
  Backend backend;
  Site site(Members(MemberJson("s-1", backend.address())));
  site.timeouts.body_grace = std::chrono::milliseconds(100);
  site.Start();
  Client client(site.proxy->address);
  const std::string request = Post("book", "", Patterned(3 * 1000 * 1000));
  EXPECT_EQ(client.Ask(request.substr(0, 200 * 1000)).result_int(), 408u);
  EXPECT_TRUE(client.Ended());
  EXPECT_TRUE(backend.WaitForClosed(1));
  EXPECT_EQ(backend.seen.Get().requests.size(), 0u);
  EXPECT_TRUE(site.proxy->WaitUntilNothingIsHeld());
}

TEST(LargeBodies, RejectsTooLargeContentLengthAtTheHeader) {
  Site site(Members());
  site.Start();
  for (const char* length : {"60000000", "18446744073709551615", "99999999999999999999999"}) {
    Client client(site.proxy->address);
    const unsigned status =
        client.Ask("POST /book HTTP/1.1\r\nReq-Id: 1\r\nContent-Length: " + std::string(length) + "\r\n\r\n")
            .result_int();
    EXPECT_TRUE(status == 413 || status == 400) << length << ": " << status;
    EXPECT_TRUE(client.Ended());
  }
}

TEST(LargeBodies, RejectsBodiesBeyondTheMemoryLimit) {
  Backend backend;
  Site site(Members(MemberJson("s-1", backend.address())));
  site.config["limits"]["memory_mb"] = 8;  // a quarter for bodies, each counted twice: sixteen of the largest
  site.Start();
  const std::string head =
      "POST /book HTTP/1.1\r\nReq-Id: 1\r\nExpect: 100-continue\r\nContent-Length: 65536\r\n\r\n";
  std::vector<std::unique_ptr<Client>> uploads;
  unsigned turned_away = 0;
  for (int i = 0; i < 17; ++i) {
    uploads.push_back(std::make_unique<Client>(site.proxy->address));
    // Only a client whose body is admitted gets 100 Continue.
    uploads.back()->Send(WithId(head, std::to_string(i) + "u"));
    turned_away += uploads.back()->Read().result_int() == 503;
  }
  EXPECT_EQ(turned_away, 1u);
  uploads.clear();
  unsigned status = 0;
  while ((status = Client(site.proxy->address).Ask(Post("book", "", std::string(65536, 'b'))).result_int()) ==
         503)
    std::this_thread::yield();
  EXPECT_EQ(status, 200u);
}

}  // namespace
}  // namespace copperpoint::testing
