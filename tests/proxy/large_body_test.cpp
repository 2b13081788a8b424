// SPDX-License-Identifier: Apache-2.0
//
// Bodies larger than a buffer: framing, memory limits, truncation and stalls.
#include <gtest/gtest.h>

#include <atomic>
#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "support/loopback.h"

namespace copperpoint::testing {
namespace {

TEST(LargeBodies, ForwardsBodiesOf64KiB) {
  Backend backend([](Tcp::socket& s, const HttpRequest& r) {
    SendRaw(s, OkResponse(r.body()));
    return true;
  });
  ProxySetup setup(Members(MemberJson("s-1", backend.address())));
  setup.Start();
  const std::string body(64 * 1024, 'y');
  Client client(setup.proxy->address);
  EXPECT_EQ(client.SendAndRead(PostRequest("book", "", body)).body(), body);
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
  const std::string body = Patterned(size), response = Patterned(5 * 1000 * 1000);
  WaitableValue<int> received_requests;
  Backend backend([&](Tcp::socket& s, const HttpRequest& r) {
    EXPECT_EQ(r.body(), body);
    int n = 0;
    received_requests.Update([&](int& a) { n = ++a; });
    SendRaw(s, n % 2 ? OkResponse(response)
                     : "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + InChunks(response, 70001));
    return true;
  });
  ProxySetup setup(Members(MemberJson("s-1", backend.address())));
  setup.timeouts.reuse_delay = std::chrono::milliseconds(0);
  setup.Start();
  Client client(setup.proxy->address);
  const std::string chunked =
      "POST /book HTTP/1.1\r\nReq-Id: 0c\r\nReq-Kind: book\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (int i = 0; i < 2; ++i) {
    EXPECT_EQ(client.SendAndRead(PostRequest("book", "", body)).body(), response);
    EXPECT_EQ(client.SendAndRead(chunked + InChunks(body, 1001)).body(), response);
  }
  EXPECT_EQ(backend.activity.Get().opened, 1);  // the connection is reused after a large response
}

TEST(LargeBodies, ForwardsBodiesOfAnyFraming) {
  ExpectLargeBodiesToPass(300 * 1000);       // buffered
  ExpectLargeBodiesToPass(3 * 1000 * 1000);  // streamed
}

TEST(LargeBodies, ForwardsManyAtOnce) {
  const std::string response = Patterned(4 * 1000 * 1000);
  Backend backend([&](Tcp::socket& s, const HttpRequest&) {
    SendRaw(s, OkResponse(response));
    return true;
  });
  ProxySetup setup(Members(MemberJson("s-1", backend.address())));
  setup.Start();
  std::vector<std::unique_ptr<Client>> clients;
  for (int i = 0; i < 20; ++i) {
    clients.push_back(std::make_unique<Client>(setup.proxy->address));
    clients.back()->Send(WithRequestId(LookRequest(), std::to_string(i)));
  }
  ASSERT_TRUE(backend.WaitForRequests(20));
  // All requests have reached the backend, and no client has read a byte yet.
  for (const auto& client : clients) EXPECT_EQ(client->Read().body(), response);
}

TEST(LargeBodies, TruncatedResponseEndsTheConnectionWithoutRetry) {
  for (const bool chunked : {false, true}) {
    const auto truncated = [&](Tcp::socket& s, const HttpRequest&) {
      const std::string part = Patterned(300 * 1000);
      SendRaw(s, chunked ? "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nfffff\r\n" + part
                         : "HTTP/1.1 200 OK\r\nContent-Length: 400000\r\n\r\n" + part);
      return false;
    };
    Backend one(truncated), two(truncated);
    ProxySetup setup(Members(MemberJson("s-1", one.address()), MemberJson("s-2", two.address())));
    setup.Start();
    Client client(setup.proxy->address);
    EXPECT_EQ(client.SendAndRead(LookRequest()).result_int(), 0u);
    EXPECT_EQ(one.activity.Get().requests.size() + two.activity.Get().requests.size(), 1u);
  }
}

TEST(LargeBodies, PartlySentBodyIsNotRetried) {
  // Closes after reading a part of the request, like a backend that rejects the body.
  WaitableValue<int> partial_requests;
  const auto truncated = [&](Tcp::socket& s) {
    std::string some(200 * 1000, ' ');
    error_code failed;
    asio::read(s, asio::buffer(some), failed);
    partial_requests.Update([](int& n) { ++n; });
  };
  Listener one(truncated), two(truncated);
  ProxySetup setup(Members(MemberJson("s-1", one.address), MemberJson("s-2", two.address)));
  setup.Start();
  Client client(setup.proxy->address);
  EXPECT_EQ(client.SendAndRead(PostRequest("book", "", Patterned(20 * 1000 * 1000))).result_int(), 503u);
  EXPECT_EQ(partial_requests.Get(), 1);
}

TEST(LargeBodies, StalledBodyIsRejectedWithoutExecution) {
  Backend backend;
  ProxySetup setup(Members(MemberJson("s-1", backend.address())));
  setup.timeouts.body_grace = std::chrono::milliseconds(100);
  setup.Start();
  Client client(setup.proxy->address);
  const std::string request = PostRequest("book", "", Patterned(3 * 1000 * 1000));
  EXPECT_EQ(client.SendAndRead(request.substr(0, 200 * 1000)).result_int(), 408u);
  EXPECT_TRUE(client.WaitForClose());
  EXPECT_TRUE(backend.WaitForClosed(1));
  EXPECT_EQ(backend.activity.Get().requests.size(), 0u);
  EXPECT_TRUE(setup.proxy->WaitUntilNoOpenRequests());
}

// Guards against a reset in place of the end of the connection: the rest of a rejected body is read before
// the close.
TEST(LargeBodies, RestOfARejectedBodyIsReadBeforeTheClose) {
  Backend backend;
  ProxySetup setup(Members(MemberJson("s-1", backend.address())));
  setup.timeouts.body_grace = std::chrono::milliseconds(100);
  setup.timeouts.lingering_close = std::chrono::minutes(1);
  setup.Start();
  Client client(setup.proxy->address);
  const std::string request = PostRequest("book", "", Patterned(3 * 1000 * 1000));
  client.Send(request.substr(0, 200 * 1000));
  EXPECT_EQ(client.Read().result_int(), 408u);
  error_code failed;
  asio::write(client.socket, asio::buffer(request.substr(200 * 1000)), failed);
  EXPECT_FALSE(failed) << failed.message();
  char byte;
  client.socket.read_some(asio::buffer(&byte, 1), failed);
  EXPECT_EQ(failed, asio::error::eof);
}

// A backend that reads pieces of a request, and pauses after each of them.
struct SlowReader {
  explicit SlowReader(std::chrono::milliseconds pause)
      : listener([this, pause](Tcp::socket& s) {
          std::string some(64 * 1024, ' ');
          error_code failed;
          while (!released && !failed) {
            asio::read(s, asio::buffer(some), failed);
            const auto until = std::chrono::steady_clock::now() + pause;
            while (!released && std::chrono::steady_clock::now() < until)
              std::this_thread::sleep_for(std::chrono::milliseconds(1));
          }
        }) {}
  ~SlowReader() { released = true; }
  std::atomic<bool> released = false;
  Listener listener;
};

constexpr std::size_t kMoreThanKernelBuffers = 30 * 1000 * 1000;

// Guards against a final response that comes seconds after its time: the client's time counted from the last
// byte that the backend had taken, and the backend could take any time up to a minute (here) for each piece.
TEST(LargeBodies, BackendThatReadsSlowlyDoesNotDelayTheFinalResponse) {
  struct Variant {
    int memory_mb;
    std::chrono::milliseconds pause;
  };
  const Variant stops{192, std::chrono::minutes(1)}, reads_on{192, std::chrono::milliseconds(10)};
  const Variant stops_with_little_memory{8, std::chrono::minutes(1)};  // the body is read ahead in part
  for (const auto& [memory_mb, pause] : {stops, reads_on, stops_with_little_memory}) {
    SlowReader backend(pause);
    ProxySetup setup(Members(MemberJson("s-1", backend.listener.address)));
    setup.config["limits"]["memory_mb"] = memory_mb;
    setup.timeouts.body_stall = std::chrono::minutes(1);
    setup.Start();
    Client client(setup.proxy->address);
    const auto started = std::chrono::steady_clock::now();
    // Written by a thread, as the proxy takes only a part of it while memory is short.
    std::thread sender([&] {
      client.Send(PostRequest("book", "Req-Deadline-Ms: 300\r\n", Patterned(kMoreThanKernelBuffers)));
    });
    EXPECT_EQ(client.Read().result_int(), 503u) << "no backend can have run it";
    const auto elapsed = std::chrono::steady_clock::now() - started;
    EXPECT_GE(elapsed, std::chrono::milliseconds(300)) << "the client's time must not be cut short";
    EXPECT_LT(elapsed, kWaitTimeout);
    client.socket.shutdown(Tcp::socket::shutdown_both);
    sender.join();
  }
}

// What remains allowed: the client's time counts from its last byte, however slowly it sends.
TEST(LargeBodies, ClientsTimeStartsAtItsLastByte) {
  Backend backend;
  ProxySetup setup(Members(MemberJson("s-1", backend.address())));
  setup.timeouts.body_grace = std::chrono::minutes(1);
  setup.Start();
  Client client(setup.proxy->address);
  const std::string request = PostRequest("book", "Req-Deadline-Ms: 500\r\n", Patterned(3 * 1000 * 1000));
  client.Send(request.substr(0, request.size() - 1));
  ASSERT_TRUE(setup.proxy->WaitUntil([](proxy::Proxy& p) { return p.backend_connections() == 1; }));
  std::this_thread::sleep_for(std::chrono::milliseconds(1500));
  client.Send(request.substr(request.size() - 1));
  EXPECT_EQ(client.Read().body(), "served");
}

TEST(LargeBodies, RejectsTooLargeContentLengthAtTheHeader) {
  ProxySetup setup(Members());
  setup.Start();
  for (const char* length : {"60000000", "18446744073709551615", "99999999999999999999999"}) {
    Client client(setup.proxy->address);
    const unsigned status =
        client
            .SendAndRead("POST /book HTTP/1.1\r\nReq-Id: 1\r\nContent-Length: " + std::string(length) +
                         "\r\n\r\n")
            .result_int();
    EXPECT_TRUE(status == 413 || status == 400) << length << ": " << status;
    EXPECT_TRUE(client.WaitForClose());
  }
}

TEST(LargeBodies, RejectsBodiesBeyondTheMemoryLimit) {
  Backend backend;
  ProxySetup setup(Members(MemberJson("s-1", backend.address())));
  setup.config["limits"]["memory_mb"] =
      8;  // a quarter is for bodies, each counted twice: 16 bodies of 64 KiB
  setup.Start();
  const std::string head =
      "POST /book HTTP/1.1\r\nReq-Id: 1\r\nExpect: 100-continue\r\nContent-Length: 65536\r\n\r\n";
  std::vector<std::unique_ptr<Client>> uploads;
  unsigned rejected = 0;
  for (int i = 0; i < 17; ++i) {
    uploads.push_back(std::make_unique<Client>(setup.proxy->address));
    // Only a client for whose body memory is reserved gets 100 Continue.
    uploads.back()->Send(WithRequestId(head, std::to_string(i) + "u"));
    rejected += uploads.back()->Read().result_int() == 503;
  }
  EXPECT_EQ(rejected, 1u);
  uploads.clear();
  unsigned status = 0;
  while ((status = Client(setup.proxy->address)
                       .SendAndRead(PostRequest("book", "", std::string(65536, 'b')))
                       .result_int()) == 503)
    std::this_thread::yield();
  EXPECT_EQ(status, 200u);
}

}  // namespace
}  // namespace copperpoint::testing
