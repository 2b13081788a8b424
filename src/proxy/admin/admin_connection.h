// SPDX-License-Identifier: Apache-2.0
//
// One connection to the admin interface: reads one call, writes its response, and closes.
#ifndef COPPERPOINT_PROXY_ADMIN_ADMIN_CONNECTION_H_
#define COPPERPOINT_PROXY_ADMIN_ADMIN_CONNECTION_H_

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>

#include "proxy/admin/admin_handler.h"
#include "proxy/admin/admin_response.h"

namespace copperpoint::proxy {

//   kReading ---- a call, an error in it, or the timeout --> kResponding
//   kResponding - the response is written, the client has closed or the timeout --> kClosed
//   any --------- a connection error, or Close --> kClosed
class AdminConnection : public std::enable_shared_from_this<AdminConnection> {
 public:
  struct Timeouts {
    std::chrono::milliseconds request{6000};          // for a call to be received completely
    std::chrono::milliseconds lingering_close{1000};  // for the response, and for the client to close
  };
  class Owner {
   public:
    virtual ~Owner() = default;
    // Called when the connection has closed; it makes no further calls.
    virtual void OnClosed(const AdminConnection& connection) = 0;
  };

  // `owner` and `handler` must outlive the connection unless it is detached.
  AdminConnection(boost::asio::ip::tcp::socket socket, const Timeouts& timeouts, AdminHandler& handler,
                  Owner& owner);

  void Start();
  void Close();
  // Closes without notifying the owner, which is about to be destroyed, as the handler may be.
  void Detach();

  // Returns whether the response to the call has been sent, or at least begun.
  bool responded() const { return state_ != State::kReading; }

 private:
  using Error = boost::system::error_code;
  enum class State { kReading, kResponding, kClosed };

  void SetTimeout(std::chrono::milliseconds timeout);
  void OnTimeout();
  void OnHeader(const Error& failed);
  void ReadBody();
  void OnHeaderError(const Error& failed);
  void Respond(const AdminResponse& response);
  void OnResponseWritten(const Error& failed);
  void DiscardUntilClosed();

  State state_ = State::kReading;
  const Timeouts timeouts_;
  AdminHandler& handler_;
  Owner* owner_;  // null once detached
  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer timer_;
  boost::beast::flat_buffer buffer_;
  boost::beast::http::request_parser<boost::beast::http::empty_body> header_parser_;
  // Set only for a call that may have a body.
  std::optional<boost::beast::http::request_parser<boost::beast::http::string_body>> body_parser_;
  boost::beast::http::response<boost::beast::http::string_body> response_;
  std::array<char, 512> discarded_{};
  std::size_t discarded_bytes_ = 0;
};

}  // namespace copperpoint::proxy

#endif  // COPPERPOINT_PROXY_ADMIN_ADMIN_CONNECTION_H_
