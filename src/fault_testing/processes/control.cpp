// SPDX-License-Identifier: Apache-2.0
#include "fault_testing/processes/control.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <memory>
#include <stdexcept>
#include <utility>

namespace copperpoint::fault_testing {
namespace {

namespace beast = boost::beast;
namespace http = beast::http;
using Error = boost::system::error_code;
using Tcp = boost::asio::ip::tcp;

constexpr std::chrono::seconds kRequestTimeout{5};

}  // namespace

class Control::Session : public std::enable_shared_from_this<Session> {
 public:
  Session(Control& owner, Tcp::socket socket) : owner_(owner), stream_(std::move(socket)) {}

  void Start() {
    stream_.expires_after(kRequestTimeout);
    http::async_read(stream_, buffer_, request_,
                     [self = shared_from_this()](const Error& failed, std::size_t) {
                       if (!failed) self->Respond();
                     });
  }

 private:
  void Respond() {
    const std::string target(request_.target());
    const std::size_t slash = target.find('/', 1);
    response_.result(http::status::ok);
    try {
      if (request_.method() != http::verb::post) throw std::invalid_argument("use POST /WHAT/WHO");
      if (slash == std::string::npos)
        throw std::invalid_argument("missing WHO in '" + target + "', expected POST /WHAT/WHO");
      response_.body() = owner_.handler_(target.substr(1, slash - 1), target.substr(slash + 1)) + '\n';
    } catch (const std::invalid_argument& error) {
      response_.result(http::status::bad_request);
      response_.body() = std::string(error.what()) + '\n';
    }
    response_.keep_alive(false);
    response_.prepare_payload();
    http::async_write(stream_, response_, [self = shared_from_this()](const Error&, std::size_t) {});
  }

  Control& owner_;
  beast::tcp_stream stream_;
  beast::flat_buffer buffer_;
  http::request<http::string_body> request_;
  http::response<http::string_body> response_;
};

Control::Control(boost::asio::io_context& io, const boost::asio::ip::address& address, CommandHandler handler)
    : io_(io), acceptor_(io, {address, 0}), handler_(std::move(handler)) {
  Accept();
}

void Control::Accept() {
  acceptor_.async_accept([this](const Error& failed, Tcp::socket socket) {
    if (failed == boost::asio::error::operation_aborted) return;
    if (!failed) std::make_shared<Session>(*this, std::move(socket))->Start();
    Accept();
  });
}

}  // namespace copperpoint::fault_testing
