// SPDX-License-Identifier: Apache-2.0
//
// An HTTP backend on a loopback port that records the requests it receives and responds as the test
// specifies.
#ifndef COPPERPOINT_TESTS_SUPPORT_BACKEND_H_
#define COPPERPOINT_TESTS_SUPPORT_BACKEND_H_

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "support/sockets.h"

namespace copperpoint::testing {

inline std::string OkResponse(const std::string& body) {
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}
inline const char kDeclinedResponse[] = "HTTP/1.1 503 Busy\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n";

// Accepts connections and serves each on a thread of its own.
class Backend {
 public:
  // Writes the response to a request. @return false to close the connection.
  using Handler = std::function<bool(Tcp::socket&, const HttpRequest&)>;
  struct Activity {
    int opened = 0, closed = 0;  // connections
    std::vector<HttpRequest> requests;
  };

  explicit Backend(Handler handler)
      : handler_(std::move(handler)), listener_([this](Tcp::socket& s) { Serve(s); }) {}
  // Responds to each request with 200 and `name` as the body, so that a test can tell which backend
  // responded.
  explicit Backend(const std::string& name = "served")
      : Backend([name](Tcp::socket& s, const HttpRequest&) {
          SendRaw(s, OkResponse(name));
          return true;
        }) {}

  Tcp::endpoint address() const { return listener_.address; }
  void Stop() { listener_.Stop(); }
  bool WaitForRequests(std::size_t n) {
    return activity.WaitFor([n](const Activity& s) { return s.requests.size() >= n; });
  }
  bool WaitForClosed(int n) {
    return activity.WaitFor([n](const Activity& s) { return s.closed >= n; });
  }

  WaitableValue<Activity> activity;

 private:
  void Serve(Tcp::socket& socket) {
    activity.Update([](Activity& s) { ++s.opened; });
    boost::beast::flat_buffer buffer;
    for (;;) {
      http::request_parser<http::string_body> parser;
      parser.body_limit(boost::none);
      error_code failed;
      http::read(socket, buffer, parser, failed);
      if (failed) break;
      const HttpRequest request = parser.release();
      activity.Update([&](Activity& s) { s.requests.push_back(request); });
      if (!handler_(socket, request)) break;
    }
    ::shutdown(socket.native_handle(), SHUT_RDWR);
    activity.Update([](Activity& s) { ++s.closed; });
  }

  Handler handler_;
  Listener listener_;
};

}  // namespace copperpoint::testing

#endif  // COPPERPOINT_TESTS_SUPPORT_BACKEND_H_
