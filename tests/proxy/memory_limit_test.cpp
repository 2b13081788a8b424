// SPDX-License-Identifier: Apache-2.0
//
// Clients that make the proxy keep as many of their bytes as they can: what it keeps for all of them together
// stays within the configured part of the memory, and other clients are served meanwhile.
#include <gtest/gtest.h>
#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

#include "proxy/http/header_line_counter.h"
#include "proxy/memory_budget.h"
#include "support/loopback.h"

#if defined(__SANITIZE_ADDRESS__)
extern "C" std::size_t __sanitizer_get_current_allocated_bytes();
#endif

namespace copperpoint::testing {
namespace {

using proxy::MemoryBudget;
using proxy::MemoryReservation;

constexpr std::size_t kMiB = std::size_t{1024} * 1024;
constexpr int kTurnsToSettle = 300;

// @return the bytes that this process has allocated and not freed.
std::size_t AllocatedBytes() {
#if defined(__SANITIZE_ADDRESS__)
  return __sanitizer_get_current_allocated_bytes();
#else
  const auto info = mallinfo2();
  return info.uordblks + info.hblkhd;
#endif
}

// Connections of many clients on one event loop, none of which is run.
class Clients {
 public:
  Clients(ProxySetup& setup, std::size_t count) {
    for (std::size_t i = 0; i < count; ++i) {
      sockets.emplace_back(io_);
      sockets.back().connect(setup.proxy->address);
    }
    EXPECT_TRUE(setup.proxy->WaitUntil([count](proxy::Proxy& p) { return p.client_connections() == count; }));
  }

 private:
  asio::io_context io_;

 public:
  std::vector<Tcp::socket> sockets;
};

// Reads a response. @return its status; 0 if the connection ended first.
unsigned ReadStatus(Tcp::socket& socket) {
  boost::beast::flat_buffer buffer;
  HttpResponse response;
  error_code failed;
  http::read(socket, buffer, response, failed);
  return failed ? 0 : response.result_int();
}

// Lets the proxy handle all that its connections have received.
void Settle(ProxySetup& setup) {
  for (int i = 0; i < kTurnsToSettle; ++i)
    setup.proxy->RunOnEventLoop([](proxy::Proxy& p) { return p.open_requests(); });
}

void LimitMemory(ProxySetup& setup, std::size_t buffer_bytes, std::size_t body_bytes) {
  constexpr std::size_t kMemoryMb = 8;
  setup.config["limits"]["memory_mb"] = kMemoryMb;
  setup.shares.buffer_memory = static_cast<double>(buffer_bytes) / (kMemoryMb * kMiB);
  setup.shares.body_memory = static_cast<double>(body_bytes) / (kMemoryMb * kMiB);
}

class MemoryLimit : public ::testing::Test {
 protected:
  static constexpr std::size_t kBufferBytes = kMiB, kBodyBytes = kMiB;
  // Each connection has the granted size for its input and for its header, and the state of an open request.
  static constexpr std::size_t kBytesPerConnection =
      2 * MemoryReservation::kGrantedBytes + std::size_t{4} * 1024;

  MemoryLimit() : setup_(Members(MemberJson("s-1", backend_.address()))) {
    LimitMemory(setup_, kBufferBytes, kBodyBytes);
  }
  ~MemoryLimit() override {
    released_.Update([](bool& r) { r = true; });
  }

  // Lets the backend answer requests of the class `look`; others are answered at once.
  void Release() {
    released_.Update([](bool& r) { r = true; });
  }
  bool IsServed(const std::string& request) {
    Client client(setup_.proxy->address);
    return client.SendAndRead(request).result_int() == 200;
  }

  WaitableValue<bool> released_;
  Backend backend_{[this](Tcp::socket& s, const HttpRequest& r) {
    if (r["Req-Kind"] == "look") released_.WaitFor([](bool released) { return released; });
    SendRaw(s, OkResponse("served"));
    return true;
  }};
  ProxySetup setup_;
};

// Guards against the process being killed for memory when bad clients send many requests at once: 32 KiB were
// kept of each of them.
TEST_F(MemoryLimit, IsKeptWithManyRequestsSentAheadByEachClient) {
  constexpr std::size_t kClients = 150;
  setup_.Start();
  Clients clients(setup_, kClients);
  std::string ahead;
  while (ahead.size() < std::size_t{48} * 1024)
    ahead += WithRequestId(LookRequest(), Numbered("x", ahead.size()));
  const std::size_t before = AllocatedBytes();
  for (std::size_t i = 0; i < kClients; ++i)
    SendRaw(clients.sockets[i], WithRequestId(LookRequest(), Numbered("r", i)) + ahead);
  ASSERT_TRUE(setup_.proxy->WaitUntil([](proxy::Proxy& p) { return p.open_requests() == kClients; }));
  Settle(setup_);
  EXPECT_LT(AllocatedBytes(), before + kBufferBytes + kClients * kBytesPerConnection);

  Release();
  for (auto& socket : clients.sockets)
    EXPECT_EQ(ReadStatus(socket), 200u) << "the first request of each is served";
  EXPECT_TRUE(IsServed(PostRequest("book")));
}

// What remains allowed: a client that sends requests ahead is served in order, also while others use up the
// memory.
TEST_F(MemoryLimit, ServesAFewRequestsSentAheadWhileMemoryIsShort) {
  constexpr std::size_t kClients = 150;
  setup_.Start();
  Clients clients(setup_, kClients);
  const std::string unfinished = "POST /book HTTP/1.1\r\nX-Long: " + std::string(15000, 'x');
  for (auto& socket : clients.sockets) SendRaw(socket, unfinished);
  Settle(setup_);
  Client usual(setup_.proxy->address);
  std::string all;
  for (int i = 0; i < 10; ++i) all += WithRequestId(PostRequest("book"), Numbered("b", i));
  usual.Send(all);
  for (int i = 0; i < 10; ++i) EXPECT_EQ(usual.Read().body(), "served") << i;
}

// Guards against the same with headers that are not complete.
TEST_F(MemoryLimit, IsKeptWithUnfinishedHeaders) {
  constexpr std::size_t kClients = 300;
  setup_.Start();
  Clients clients(setup_, kClients);
  const std::string unfinished = "POST /book HTTP/1.1\r\nX-Long: " + std::string(15000, 'x');
  const std::size_t before = AllocatedBytes();
  for (auto& socket : clients.sockets) SendRaw(socket, unfinished);
  Settle(setup_);
  EXPECT_LT(AllocatedBytes(), before + kBufferBytes + kClients * MemoryReservation::kGrantedBytes);
  EXPECT_TRUE(IsServed(PostRequest("book")));
}

// Guards against the same with headers of thousands of fields, each of which takes many times its length.
TEST_F(MemoryLimit, IsKeptWithHeadersOfManyShortFields) {
  constexpr std::size_t kClients = 100;
  setup_.Start();
  Clients clients(setup_, kClients);
  std::string fields;
  while (fields.size() < 15000) fields += "a:b\r\n";
  const std::size_t before = AllocatedBytes();
  for (std::size_t i = 0; i < kClients; ++i)
    SendRaw(clients.sockets[i], WithRequestId(LookRequest(fields), Numbered("r", i)));
  unsigned too_many_fields = 0;
  for (auto& socket : clients.sockets) {
    const unsigned status = ReadStatus(socket);
    too_many_fields += status == 431;
    EXPECT_TRUE(status == 431 || status == 503) << status << "; 503: no memory for the header";
  }
  EXPECT_GT(too_many_fields, 0u);
  EXPECT_LT(AllocatedBytes(), before + kBufferBytes);

  std::string some_fields;
  for (int i = 0; i < 100; ++i) some_fields += Numbered("X-", i) + ": value\r\n";
  EXPECT_TRUE(IsServed(PostRequest("book", some_fields)));
}

// Guards against the same with clients that stop within a large body: one read's buffer was held for each.
TEST_F(MemoryLimit, IsKeptWithUnfinishedBodies) {
  constexpr std::size_t kClients = 200;
  setup_.Start();
  Clients clients(setup_, kClients);
  const std::size_t before = AllocatedBytes();
  for (std::size_t i = 0; i < kClients; ++i) {
    SendRaw(clients.sockets[i], "POST /book HTTP/1.1\r\nReq-Kind: book\r\nReq-Id: " + Numbered("r", i) +
                                    "\r\nContent-Length: 4000\r\n\r\n" + std::string(2000, 'x'));
  }
  Settle(setup_);
  EXPECT_LT(AllocatedBytes(), before + kBodyBytes + kClients * MemoryReservation::kGrantedBytes);
  EXPECT_TRUE(IsServed(PostRequest("change", "Idempotency-Key: 7e\r\n")));
}

// Guards against the same with clients that read long responses slowly: a quarter of a MB was held for each.
// They still get their responses.
TEST(MemoryLimitOfResponses, IsKeptWithSlowReaders) {
  constexpr std::size_t kClients = 20, kBufferBytes = kMiB / 4, kResponseBytes = 16 * kMiB;
  constexpr std::size_t kChunkBytes = 64 * std::size_t{1024};
  WaitableValue<std::size_t> written;
  const std::string chunk = "10000\r\n" + std::string(kChunkBytes, 'a') + "\r\n";
  Backend backend([&](Tcp::socket& s, const HttpRequest&) {
    SendRaw(s, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    for (std::size_t bytes = 0; bytes < kResponseBytes; bytes += kChunkBytes) {
      SendRaw(s, chunk);
      written.Update([](std::size_t& n) { ++n; });
    }
    SendRaw(s, "0\r\n\r\n");
    return true;
  });
  ProxySetup setup(Members(MemberJson("s-1", backend.address())));
  LimitMemory(setup, kBufferBytes, kMiB);
  setup.timeouts.response_write = std::chrono::minutes(1);
  setup.Start();
  Clients clients(setup, kClients);
  const std::size_t before = AllocatedBytes();
  for (std::size_t i = 0; i < kClients; ++i)
    SendRaw(clients.sockets[i], WithRequestId(LookRequest(), Numbered("r", i)));
  ASSERT_TRUE(backend.WaitForRequests(kClients));
  // The responses stop when the buffers of the kernel are full: the proxy holds most then.
  std::size_t seen = 0, most = 0;
  do {
    seen = written.Get();
    Settle(setup);
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    most = std::max(most, AllocatedBytes());
  } while (written.Get() != seen);
  // A backend thread of the test, a connection of the proxy and a chunk of the smaller size for each client.
  constexpr std::size_t kBytesPerClient = std::size_t{24} * 1024;
  EXPECT_LT(most, before + kBufferBytes + kClients * kBytesPerClient);

  for (auto& socket : clients.sockets) {
    boost::beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    parser.body_limit(boost::none);
    error_code failed;
    http::read(socket, buffer, parser, failed);
    EXPECT_FALSE(failed) << failed.message();
    EXPECT_EQ(parser.get().body().size(), kResponseBytes);
  }
}

TEST(HeaderLineCounter, CountsUpToTheEmptyLineHoweverTheHeaderIsSplit) {
  const std::string header = "GET / HTTP/1.1\r\na:b\r\nc:d\r\n\r\n";
  const std::string received = header + "GET /next HTTP/1.1\r\ne:f\r\n";
  proxy::HeaderLineCounter at_once, in_pieces;
  EXPECT_EQ(at_once.Count(received), 4u);
  for (std::size_t size = 1; size < received.size(); ++size) in_pieces.Count(received.substr(0, size));
  EXPECT_EQ(in_pieces.Count(received), 4u);
  EXPECT_EQ(proxy::HeaderLineCounter().Count("GET / HTTP/1.1\r\na:"), 1u);
}

TEST(MemoryReservation, GrantsSmallSizesBeyondTheLimitAndOthersWithinIt) {
  constexpr std::size_t kGranted = MemoryReservation::kGrantedBytes;
  const auto budget = std::make_shared<MemoryBudget>(3 * kGranted);
  MemoryReservation one(budget), two(budget);
  EXPECT_TRUE(one.Resize(2 * kGranted));
  EXPECT_FALSE(two.Resize(kGranted + 1 + kGranted)) << "beyond the limit";
  EXPECT_EQ(two.bytes(), 0u);
  EXPECT_TRUE(two.Resize(kGranted));
  EXPECT_FALSE(one.Resize(2 * kGranted + 1));
  EXPECT_EQ(one.bytes(), 2 * kGranted) << "unchanged";
  {
    MemoryReservation three(budget);
    EXPECT_TRUE(three.Resize(kGranted)) << "granted beyond the limit";
    EXPECT_EQ(budget->reserved_bytes(), 4 * kGranted);
  }
  EXPECT_TRUE(one.Resize(kGranted + 1)) << "smaller";
  EXPECT_EQ(budget->reserved_bytes(), 2 * kGranted + 1);
}

TEST(MemoryReservation, CountsWhatIsInUseAlready) {
  const auto budget = std::make_shared<MemoryBudget>(100);
  MemoryReservation reservation(budget);
  reservation.Charge(1000);
  EXPECT_EQ(budget->reserved_bytes(), 1000u);
  EXPECT_FALSE(budget->Reserve(1));
  reservation.Clear();
  EXPECT_TRUE(budget->Reserve(100));
}

}  // namespace
}  // namespace copperpoint::testing
