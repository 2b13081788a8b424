// SPDX-License-Identifier: Apache-2.0
#include "proxy/admin/admin_server.h"

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <optional>
#include <string_view>
#include <utility>

namespace copperpoint::proxy {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;
using Error = boost::system::error_code;

constexpr std::uint32_t kMostHead = 4 * 1024;
constexpr std::size_t kMostBody = 32 * 1024;     // of a call to a part
constexpr std::size_t kMostAfter = 64 * 1024;    // of what is read and dropped behind a call
constexpr std::chrono::milliseconds kPause{50};  // after a failed accept

struct Answer {
  http::status status;
  std::string text;
};

int HexDigit(char c) {
  if (c >= '0' && c <= '9') return c - '0';
  if (c >= 'a' && c <= 'f') return c - 'a' + 10;
  if (c >= 'A' && c <= 'F') return c - 'A' + 10;
  return -1;
}

// A query's part without its percent signs; nothing if it is malformed.
std::optional<std::string> DecodePercent(std::string_view text) {
  std::string plain;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] != '%') {
      plain += text[i];
      continue;
    }
    const int high = i + 2 < text.size() ? HexDigit(text[i + 1]) : -1;
    const int low = high >= 0 ? HexDigit(text[i + 2]) : -1;
    if (low < 0) return std::nullopt;
    plain += static_cast<char>(high * 16 + low);
    i += 2;
  }
  return plain;
}

// The one `member` of a query; nothing, and why in `answer`, unless there is exactly one.
std::optional<std::string> MemberOf(std::string_view query, Answer* answer) {
  std::optional<std::string> found;
  while (!query.empty()) {
    const std::size_t end = std::min(query.find('&'), query.size());
    const std::string_view pair = query.substr(0, end);
    query.remove_prefix(std::min(end + 1, query.size()));
    const std::size_t equals = pair.find('=');
    if (pair.substr(0, equals) != "member") continue;
    if (found) {
      *answer = {http::status::bad_request, "member is given more than once"};
      return std::nullopt;
    }
    found = equals == std::string_view::npos ? std::string() : DecodePercent(pair.substr(equals + 1));
    if (!found) {
      *answer = {http::status::bad_request, "member is malformed"};
      return std::nullopt;
    }
  }
  if (!found || found->empty()) {
    *answer = {http::status::bad_request, "member is missing"};
    return std::nullopt;
  }
  return found;
}

Answer AnswerFor(AdminHandler::AdminResult result, const std::string& done) {
  switch (result) {
    case AdminHandler::AdminResult::kDone:
      return {http::status::ok, done};
    case AdminHandler::AdminResult::kUnknownBackend:
      return {http::status::not_found, "no backend of this id is listed"};
    case AdminHandler::AdminResult::kNotStored:
      return {http::status::service_unavailable,
              "the change could not be stored in $TMPDIR; nothing changed"};
    case AdminHandler::AdminResult::kStopping:
      return {http::status::conflict, "this process is stopping"};
  }
  return {http::status::internal_server_error, "unknown result"};
}

Answer Carry(const http::request_header<>& head, AdminHandler& calls) {
  const std::string_view target(head.target().data(), head.target().size());
  const std::size_t mark = target.find('?');
  const std::string_view path = target.substr(0, mark);
  const std::string_view query = mark == std::string_view::npos ? "" : target.substr(mark + 1);

  const bool reads = path == "/ready" || path == "/fleet";
  const bool takes_member = path == "/backends/disable" || path == "/backends/enable";
  if (!reads && !takes_member && path != "/drain" && path != "/undrain")
    return {http::status::not_found, "no such call"};
  if (head.method() != (reads ? http::verb::get : http::verb::post))
    return {http::status::method_not_allowed, reads ? "use GET" : "use POST"};
  if (path == "/fleet") {
    const std::string fleet = calls.FleetStatus();
    if (fleet.empty()) return {http::status::not_found, "this proxy is in no fleet"};
    return {http::status::ok, fleet};
  }
  if (reads) return {calls.Ready() ? http::status::ok : http::status::service_unavailable, calls.StateName()};
  if (path == "/drain") return AnswerFor(calls.Drain(), "draining");
  if (path == "/undrain") return AnswerFor(calls.Undrain(), "serving again");
  Answer complaint;
  const auto member = MemberOf(query, &complaint);
  if (!member) return complaint;
  return path == "/backends/disable" ? AnswerFor(calls.Disable(*member), "disabled")
                                     : AnswerFor(calls.Enable(*member), "enabled");
}

}  // namespace

class AdminServer::Call : public std::enable_shared_from_this<Call> {
 public:
  Call(AdminServer& owner, Tcp::socket socket)
      : owner_(&owner), socket_(std::move(socket)), timer_(socket_.get_executor()) {}

  bool answered() const { return answered_; }

  void Start() {
    Limit(owner_->limits_.call);
    parser_.header_limit(kMostHead);
    http::async_read_header(socket_, buffer_, parser_,
                            [self = shared_from_this()](const Error& failed, std::size_t) {
                              if (self->closed_) return;
                              self->OnHead(failed);
                            });
  }

  void Close() {
    if (std::exchange(closed_, true)) return;
    Error ignored;
    socket_.close(ignored);
    timer_.cancel();
    if (owner_) owner_->Remove(this);
  }

  void Orphan() {
    owner_ = nullptr;
    Close();
  }

 private:
  void Limit(std::chrono::milliseconds at_most) {
    timer_.expires_after(at_most);
    timer_.async_wait([self = shared_from_this()](const Error& cancelled) {
      if (cancelled || self->closed_ || self->timer_.expiry() > std::chrono::steady_clock::now()) return;
      if (self->answered_) return self->Close();
      Error ignored;
      self->socket_.cancel(ignored);
      self->Say({http::status::request_timeout, "too slow"});
    });
  }

  // A call to a part of the fleet may have a body, and is read whole.
  bool ForPart() const {
    const auto target = parser_.get().target();
    return owner_->calls_.IsFleetCall(std::string_view(target.data(), target.size()));
  }

  void OnHead(const Error& failed) {
    if (answered_) return;  // it came too late
    if (!failed && ForPart()) {
      whole_.emplace(std::move(parser_));
      whole_->body_limit(kMostBody);
      http::async_read(
          socket_, buffer_, *whole_, [self = shared_from_this()](const Error& broken, std::size_t) {
            if (self->closed_ || self->answered_) return;
            if (broken)
              return self->Say({http::status::payload_too_large, "the body is too large, or broken"});
            self->OnPart();
          });
      return;
    }
    if (!failed) return Say(Carry(parser_.get(), owner_->calls_));
    if (failed == http::error::header_limit || failed == http::error::buffer_overflow)
      return Say({http::status::request_header_fields_too_large, "head too large"});
    const bool from_parser = failed.category() == http::make_error_code(http::error::bad_version).category();
    if (!from_parser || failed == http::error::end_of_stream || failed == http::error::partial_message)
      return Close();
    Say({http::status::bad_request, "malformed"});
  }

  void OnPart() {
    const auto& request = whole_->get();
    const bool post = request.method() == http::verb::post;
    if (!post && request.method() != http::verb::get)
      return Say({http::status::method_not_allowed, "use GET or POST"});
    const auto said = owner_->calls_.FleetCall(std::string(request.target()), post, request.body());
    if (!said) return Say({http::status::not_found, "no such call"});
    Say({said->succeeded ? http::status::ok : http::status::conflict, said->text});
  }

  void Say(const Answer& answer) {
    answered_ = true;
    response_ = {answer.status, 11};
    response_.set(http::field::content_type, "text/plain");
    response_.body() = answer.text + '\n';
    response_.keep_alive(false);
    response_.prepare_payload();
    Limit(owner_->limits_.closed);
    http::async_write(socket_, response_, [self = shared_from_this()](const Error& failed, std::size_t) {
      if (self->closed_) return;
      if (failed) return self->Close();
      Error ignored;
      self->socket_.shutdown(Tcp::socket::shutdown_send, ignored);
      self->Drop();
    });
  }

  // With a call's body unread, a plain close would send a reset that may overtake the answer.
  void Drop() {
    socket_.async_read_some(asio::buffer(dropped_),
                            [self = shared_from_this()](const Error& failed, std::size_t n) {
                              if (self->closed_) return;
                              self->dropped_bytes_ += n;
                              if (failed || self->dropped_bytes_ > kMostAfter) return self->Close();
                              self->Drop();
                            });
  }

  AdminServer* owner_;
  Tcp::socket socket_;
  asio::steady_timer timer_;
  boost::beast::flat_buffer buffer_{2 * kMostHead};
  http::request_parser<http::empty_body> parser_;
  std::optional<http::request_parser<http::string_body>> whole_;
  http::response<http::string_body> response_;
  std::array<char, 512> dropped_;
  std::size_t dropped_bytes_ = 0;
  bool answered_ = false, closed_ = false;
};

AdminServer::AdminServer(asio::io_context& io, const Tcp::endpoint& listen, AdminHandler& calls,
                         Limits limits)
    : calls_(calls), limits_(limits), acceptor_(io), pause_(io) {
  acceptor_.open(listen.protocol());
  acceptor_.set_option(Tcp::acceptor::reuse_address(true));
  acceptor_.bind(listen);
  acceptor_.listen();
  Accept();
}

AdminServer::~AdminServer() {
  const auto open = std::move(calls_open_);
  calls_open_.clear();
  for (const auto& call : open) call->Orphan();
}

void AdminServer::Accept() {
  acceptor_.async_accept([this](const Error& failed, Tcp::socket socket) {
    if (failed == asio::error::operation_aborted) return;
    if (failed) {
      pause_.expires_after(kPause);
      pause_.async_wait([this](const Error& cancelled) {
        if (!cancelled) Accept();
      });
      return;
    }
    if (calls_open_.size() >= kMaxConnections) MakeRoom();
    Error ignored;
    socket.set_option(Tcp::no_delay(true), ignored);
    calls_open_.push_back(std::make_shared<Call>(*this, std::move(socket)));
    calls_open_.back()->Start();
    Accept();
  });
}

// The caller who has his answer is in nobody's debt; failing that, the one who has taken longest over a call.
void AdminServer::MakeRoom() {
  auto found =
      std::find_if(calls_open_.begin(), calls_open_.end(), [](const auto& call) { return call->answered(); });
  if (found == calls_open_.end()) found = calls_open_.begin();
  const auto call = *found;
  call->Close();
}

void AdminServer::Remove(const Call* call) {
  std::erase_if(calls_open_, [call](const auto& open) { return open.get() == call; });
}

}  // namespace copperpoint::proxy
