// SPDX-License-Identifier: Apache-2.0
//
// The bytes of the admin interface's responses, with a stub in place of the proxy.
#include "proxy/admin/admin_server.h"

#include <gtest/gtest.h>

#include "support/loopback.h"

namespace copperpoint::testing {
namespace {

using proxy::AdminHandler;

class StubHandler : public AdminHandler {
 public:
  bool Ready() const override { return ready; }
  std::string StateName() const override { return ready ? "ready" : "drained"; }
  AdminResult Disable(const std::string& backend) override { return last_backend = backend, result; }
  AdminResult Enable(const std::string& backend) override { return last_backend = backend, result; }
  AdminResult Drain() override { return result; }
  AdminResult Undrain() override { return result; }
  std::optional<std::string> FleetStatus() const override { return fleet; }
  bool IsFleetCall(std::string_view path) const override { return path.starts_with("/rollout"); }
  std::optional<FleetCallResult> FleetCall(const FleetCallRequest& request) override {
    if (request.target == "/rollout/none") return std::nullopt;
    const bool post = request.method == FleetCallRequest::Method::kPost;
    return FleetCallResult{request.target != "/rollout/fails", (post ? "post " : "get ") + request.body};
  }

  bool ready = true;
  AdminResult result = AdminResult::kDone;
  std::optional<std::string> fleet;
  std::string last_backend;
};

class AdminServerTest : public ::testing::Test {
 protected:
  // Returns everything that the server sends for one call until it closes its side.
  std::string Call(const std::string& method, const std::string& target, const std::string& body = "") {
    const std::string length = body.empty() ? "" : "Content-Length: " + std::to_string(body.size()) + "\r\n";
    return Send(method + " " + target + " HTTP/1.1\r\nHost: x\r\n" + length + "\r\n" + body);
  }
  // Returns everything that the server sends after it has received `bytes`.
  std::string Send(const std::string& bytes) {
    asio::io_context io;
    proxy::AdminServer server(io, kAnyPort, handler, timeouts);
    std::string answer;
    std::thread client([&, address = server.address()] {
      asio::io_context client_io;
      Tcp::socket socket(client_io);
      socket.connect(address);
      error_code ended;
      asio::write(socket, asio::buffer(bytes), ended);
      asio::read(socket, asio::dynamic_buffer(answer), ended);
      asio::post(io, [&io] { io.stop(); });
    });
    io.run();
    client.join();
    return answer;
  }
  static std::string Answer(const std::string& status, const std::string& text) {
    return "HTTP/1.1 " + status + "\r\nContent-Type: text/plain\r\nConnection: close\r\nContent-Length: " +
           std::to_string(text.size() + 1) + "\r\n\r\n" + text + "\n";
  }

  StubHandler handler;
  proxy::AdminConnection::Timeouts timeouts;
};

TEST_F(AdminServerTest, AnswersReadinessWithTheStateName) {
  EXPECT_EQ(Call("GET", "/ready"), Answer("200 OK", "ready"));
  handler.ready = false;
  EXPECT_EQ(Call("GET", "/ready"), Answer("503 Service Unavailable", "drained"));
}

TEST_F(AdminServerTest, MapsEachResultToItsResponse) {
  EXPECT_EQ(Call("POST", "/drain"), Answer("200 OK", "draining"));
  EXPECT_EQ(Call("POST", "/undrain"), Answer("200 OK", "serving again"));
  EXPECT_EQ(Call("POST", "/backends/disable?member=s%2D1"), Answer("200 OK", "disabled"));
  EXPECT_EQ(handler.last_backend, "s-1");
  EXPECT_EQ(Call("POST", "/backends/enable?x=1&member=s-2"), Answer("200 OK", "enabled"));
  EXPECT_EQ(handler.last_backend, "s-2");
  handler.result = AdminHandler::AdminResult::kUnknownBackend;
  EXPECT_EQ(Call("POST", "/backends/enable?member=s-1"),
            Answer("404 Not Found", "no backend of this id is listed"));
  handler.result = AdminHandler::AdminResult::kNotStored;
  EXPECT_EQ(Call("POST", "/backends/disable?member=s-1"),
            Answer("503 Service Unavailable", "the change could not be stored in $TMPDIR; nothing changed"));
  handler.result = AdminHandler::AdminResult::kStopping;
  EXPECT_EQ(Call("POST", "/drain"), Answer("409 Conflict", "this process is stopping"));
}

TEST_F(AdminServerTest, RejectsInvalidCallsWithTheReason) {
  EXPECT_EQ(Call("POST", "/nothing"), Answer("404 Not Found", "no such call"));
  EXPECT_EQ(Call("POST", "/ready"), Answer("405 Method Not Allowed", "use GET"));
  EXPECT_EQ(Call("GET", "/drain"), Answer("405 Method Not Allowed", "use POST"));
  EXPECT_EQ(Call("POST", "/backends/disable"), Answer("400 Bad Request", "member is missing"));
  EXPECT_EQ(Call("POST", "/backends/disable?member=%2"), Answer("400 Bad Request", "member is malformed"));
  EXPECT_EQ(Call("POST", "/backends/disable?member=a&member=b"),
            Answer("400 Bad Request", "member is given more than once"));
}

TEST_F(AdminServerTest, AnswersFleetCallsFromTheHandler) {
  EXPECT_EQ(Call("GET", "/fleet"), Answer("404 Not Found", "this proxy is in no fleet"));
  handler.fleet = "{}";
  EXPECT_EQ(Call("GET", "/fleet"), Answer("200 OK", "{}"));
  EXPECT_EQ(Call("GET", "/rollout"), Answer("200 OK", "get "));
  EXPECT_EQ(Call("POST", "/rollout/start", "plan"), Answer("200 OK", "post plan"));
  EXPECT_EQ(Call("POST", "/rollout/fails"), Answer("409 Conflict", "post "));
  EXPECT_EQ(Call("GET", "/rollout/none"), Answer("404 Not Found", "no such call"));
  EXPECT_EQ(Call("DELETE", "/rollout"), Answer("405 Method Not Allowed", "use GET or POST"));
}

TEST_F(AdminServerTest, RejectsMalformedOversizedAndSlowCalls) {
  EXPECT_EQ(Send("what\r\n\r\n"), Answer("400 Bad Request", "malformed"));
  EXPECT_EQ(Call("GET", "/ready?" + std::string(5000, 'x')),
            Answer("431 Request Header Fields Too Large", "head too large"));
  EXPECT_EQ(Send("POST /rollout/start HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n8400\r\n" +
                 std::string(0x8400, 'x') + "\r\n0\r\n\r\n"),
            Answer("413 Payload Too Large", "the body is too large, or broken"));
  timeouts.request = std::chrono::milliseconds(20);
  EXPECT_EQ(Send("GET /ready HTTP/1.1\r\n"), Answer("408 Request Timeout", "too slow"));
  EXPECT_EQ(Send("POST /rollout/start HTTP/1.1\r\nContent-Length: 2\r\n\r\nx"),
            Answer("408 Request Timeout", "too slow"));
}

}  // namespace
}  // namespace copperpoint::testing
