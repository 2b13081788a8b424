// SPDX-License-Identifier: Apache-2.0
//
// Requests that are read while the process shuts down, at backends that hang. Guards against requests that
// keep a deadline after the time at which the platform kills the process, and so never get their final
// answer.
#include <gtest/gtest.h>

#include <chrono>
#include <future>
#include <memory>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include "proxy/lifecycle/shutdown_time.h"
#include "support/loopback.h"

namespace copperpoint::testing {
namespace {

using proxy::ShutdownResponseTime;
using std::chrono::milliseconds;

constexpr int kClassDeadlineMs = 1000;
// SIGKILL comes 1000 ms + 700 ms after SIGTERM; less 200 ms for the write.
constexpr int kResponseTimeMs = 1500;
const char kLongDeadline[] = "Req-Deadline-Ms: 60000\r\n";
constexpr int kLongDeadlineMs = 60000;

ClassSettings WithDeadline(double ms) {
  ClassSettings settings;
  settings.deadline = Duration(ms);
  return settings;
}

// SIGKILL: the longest deadline, of which 3 s count, plus 0.7 s. Less 0.15 s for a suspension of the process,
// and 50 ms.
TEST(ShutdownTime, EndsBeforeTheProcessIsKilled) {
  EXPECT_EQ(ShutdownResponseTime({WithDeadline(2500), WithDeadline(1200)}), Duration(3200 - 200));
  EXPECT_EQ(ShutdownResponseTime({WithDeadline(1200), WithDeadline(60000)}), Duration(3700 - 200));
  EXPECT_EQ(ShutdownResponseTime({WithDeadline(kClassDeadlineMs)}), Duration(kResponseTimeMs));
}

// A backend that hangs on requests whose Req-Id begins with "hang" until the test ends, and serves the
// others.
class HangingBackend {
 public:
  HangingBackend()
      : backend([this](Tcp::socket& socket, const HttpRequest& request) {
          const auto id = request["Req-Id"];
          if (std::string_view(id.data(), id.size()).starts_with("hang"))
            released_.WaitFor([](bool now) { return now; });
          SendRaw(socket, OkResponse("served"));
          return true;
        }) {}
  ~HangingBackend() { Release(); }
  void Release() {
    released_.Update([](bool& now) { now = true; });
  }
  // @return the time that the proxy told the backend for the request `id`, in milliseconds; -1: not received.
  int DeadlineOf(std::string_view id) {
    for (const HttpRequest& request : backend.activity.Get().requests) {
      if (request["Req-Id"] == id) return std::stoi(std::string(request["Req-Deadline-Ms"]));
    }
    return -1;
  }

 private:
  WaitableValue<bool> released_;

 public:
  Backend backend;
};

class ShutdownDeadline : public ::testing::Test {
 protected:
  ShutdownDeadline() {
    for (auto& settings : setup_.config["settings"]["classes"]) settings["deadlineMs"] = kClassDeadlineMs;
    setup_.Start();
  }
  // Sends the first bytes of a request, and returns when the proxy has accepted the connection.
  std::unique_ptr<Client> SendFirstBytesOf(const std::string& request) {
    auto client = std::make_unique<Client>(setup_.proxy->address);
    ++clients_;
    client->Send(request.substr(0, kFirstBytes));
    EXPECT_TRUE(
        setup_.proxy->WaitUntil([this](proxy::Proxy& p) { return p.client_connections() == clients_; }));
    return client;
  }
  static void SendRestOf(const std::string& request, Client& client) {
    client.Send(request.substr(kFirstBytes));
  }
  // Begins the shutdown, and returns when it has begun.
  std::future<void> Stop() {
    auto stopped = setup_.proxy->Stop();
    setup_.proxy->RunOnEventLoop([](proxy::Proxy&) { return 0; });
    return stopped;
  }

  static constexpr std::size_t kFirstBytes = 30;
  HangingBackend hanging_;
  ProxySetup setup_{Members(MemberJson("s-1", hanging_.backend.address()))};
  std::size_t clients_ = 0;
};

TEST_F(ShutdownDeadline, RequestReadDuringShutdownIsAnsweredBeforeTheProcessIsKilled) {
  const std::string look = WithRequestId(LookRequest(kLongDeadline), "hang-look");
  const std::string book = WithRequestId(PostRequest("book", kLongDeadline), "hang-book");
  const auto looking = SendFirstBytesOf(look), booking = SendFirstBytesOf(book);
  auto stopped = Stop();
  SendRestOf(look, *looking);
  SendRestOf(book, *booking);
  EXPECT_EQ(looking->Read().result_int(), 503u) << "a retry is harmless";
  EXPECT_EQ(booking->Read().result_int(), 502u) << "it may have run";
  for (const char* const id : {"hang-look", "hang-book"}) {
    EXPECT_GT(hanging_.DeadlineOf(id), 0) << id << " was not forwarded";
    EXPECT_LE(hanging_.DeadlineOf(id), kResponseTimeMs) << id;
  }
  EXPECT_EQ(stopped.wait_for(kWaitTimeout), std::future_status::ready);
}

// What the limit still allows: a request that was read before the signal keeps its own deadline, and one that
// is read during the shutdown is served by a backend that answers.
TEST_F(ShutdownDeadline, OtherRequestsAreServed) {
  Client before(setup_.proxy->address);
  ++clients_;
  before.Send(WithRequestId(LookRequest(kLongDeadline), "hang-before"));
  ASSERT_TRUE(hanging_.backend.WaitForRequests(1));
  const std::string late = WithRequestId(LookRequest(), "late");
  const std::string hang = WithRequestId(LookRequest(kLongDeadline), "hang-late");
  const auto served = SendFirstBytesOf(late), unanswered = SendFirstBytesOf(hang);
  auto stopped = Stop();
  SendRestOf(hang, *unanswered);
  SendRestOf(late, *served);
  EXPECT_EQ(served->Read().body(), "served");
  EXPECT_EQ(unanswered->Read().result_int(), 503u);
  EXPECT_GT(hanging_.DeadlineOf("hang-before"), kLongDeadlineMs / 2);
  EXPECT_EQ(stopped.wait_for(milliseconds(0)), std::future_status::timeout) << "the first one is still open";
  hanging_.Release();
  EXPECT_EQ(before.Read().body(), "served");
  EXPECT_EQ(stopped.wait_for(kWaitTimeout), std::future_status::ready);
}

// The process is suspended until no response could be delivered, and the rest of a request arrives meanwhile.
TEST_F(ShutdownDeadline, RequestReadTooLateIsAnsweredOrClosedAtOnceAndNotForwarded) {
  const std::string look = WithRequestId(LookRequest(kLongDeadline), "hang-look");
  const auto client = SendFirstBytesOf(look);
  auto stopped = Stop();
  const auto response_time_end = std::chrono::steady_clock::now() + milliseconds(kResponseTimeMs);
  setup_.proxy->RunOnEventLoop([&](proxy::Proxy&) {
    SendRestOf(look, *client);
    std::this_thread::sleep_until(response_time_end);
    return 0;
  });
  const unsigned status = client->Read().result_int();
  EXPECT_TRUE(status == 503 || status == 0) << status;
  EXPECT_EQ(hanging_.DeadlineOf("hang-look"), -1);
  client->socket.close();
  EXPECT_EQ(stopped.wait_for(kWaitTimeout), std::future_status::ready);
}

// Streamed bodies: the request's time begins with its last byte, which arrives during the shutdown or never.
TEST_F(ShutdownDeadline, StreamedRequestIsAnsweredBeforeTheProcessIsKilled) {
  constexpr std::size_t kStreamedBytes = 3'000'000, kMissingBytes = 1000;
  const std::string request =
      WithRequestId(PostRequest("book", kLongDeadline, std::string(kStreamedBytes, 'y')), "hang-body");
  const std::string first_part = request.substr(0, request.size() - kMissingBytes);
  Client incomplete(setup_.proxy->address), complete(setup_.proxy->address);
  incomplete.Send(WithRequestId(first_part, "hang-part"));
  complete.Send(first_part);
  ASSERT_TRUE(setup_.proxy->WaitUntil([](proxy::Proxy& p) { return p.open_requests() == 2; }))
      << "both are being forwarded";
  auto stopped = Stop();
  complete.Send(request.substr(request.size() - kMissingBytes));
  EXPECT_EQ(complete.Read().result_int(), 502u) << "it may have run";
  EXPECT_EQ(incomplete.Read().result_int(), 503u) << "it cannot have run";
  EXPECT_EQ(hanging_.backend.activity.Get().requests.size(), 1u);
  complete.socket.close();
  incomplete.socket.close();
  EXPECT_EQ(stopped.wait_for(kWaitTimeout), std::future_status::ready);
}

}  // namespace
}  // namespace copperpoint::testing
