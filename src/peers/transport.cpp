// SPDX-License-Identifier: Apache-2.0
#include "peers/transport.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <charconv>
#include <utility>

#include "peers/frame.h"

namespace copperpoint::peers {
namespace {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;
using Udp = asio::ip::udp;
using Error = boost::system::error_code;

constexpr int kMaxBindAttempts = 16;                        // if the system chooses the port
constexpr std::chrono::milliseconds kAcceptRetryDelay{50};  // the time from a failed accept to the next one

}  // namespace

bool ParseAddress(std::string_view text, Udp::endpoint* address) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) return false;
  std::string_view host = text.substr(0, colon);
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') host = host.substr(1, host.size() - 2);
  const std::string_view digits = text.substr(colon + 1);
  std::uint16_t port = 0;
  const auto [end, failed] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
  if (digits.empty() || failed != std::errc() || end != digits.data() + digits.size()) return false;
  Error invalid;
  const auto ip = asio::ip::make_address(std::string(host), invalid);
  if (invalid) return false;
  *address = {ip, port};
  return true;
}

std::string FormatAddress(const Udp::endpoint& address) {
  const std::string host = address.address().to_string();
  const std::string port = ':' + std::to_string(address.port());
  return address.address().is_v6() ? '[' + host + ']' + port : host + port;
}

// One exchange of a request and a reply. Each is sent as its length, in four bytes in network order, and a
// frame; an empty frame ends the exchange. Owns its socket and its timer.
class Transport::Session : public std::enable_shared_from_this<Session> {
 public:
  Session(Transport& owner, Tcp::socket socket)
      : owner_(&owner), socket_(std::move(socket)), timer_(owner.io_) {}

  // Connects to `to`, sends a request, and passes the reply to on_response.
  void Request(const Tcp::endpoint& to, std::string frame) {
    StartTimer();
    outgoing_ = std::move(frame);
    is_client_ = true;
    Error failed;
    socket_.open(to.protocol(), failed);
    // Connects from the address that datagrams are sent from, by which the other member knows this one.
    if (!failed) socket_.bind({owner_->udp_.local_endpoint().address(), 0}, failed);
    if (failed) return Close(Result::kFailed);
    socket_.async_connect(to, [self = shared_from_this()](const Error& error) {
      if (!self->owner_) return;
      if (error) return self->Close(Result::kFailed);
      self->Write();
    });
  }

  // Reads a request, and sends the reply that on_request returns.
  void Reply() {
    StartTimer();
    Read();
  }

  // Closes the socket without a callback. Must be called when the transport is destroyed.
  void Detach() {
    owner_ = nullptr;
    Error ignored;
    socket_.close(ignored);
    timer_.cancel();
  }

 private:
  enum class Result { kCompleted, kFailed };

  void StartTimer() {
    timer_.expires_after(owner_->limits_.exchange_timeout);
    timer_.async_wait([self = shared_from_this()](const Error& cancelled) {
      if (!cancelled && self->owner_) self->Close(Result::kFailed);
    });
  }

  void Write() {
    const auto size = static_cast<std::uint32_t>(outgoing_.size());
    for (std::size_t i = 0; i < 4; ++i) length_[i] = static_cast<unsigned char>(size >> (24 - 8 * i));
    const std::array<asio::const_buffer, 2> buffers{asio::buffer(length_), asio::buffer(outgoing_)};
    asio::async_write(socket_, buffers, [self = shared_from_this()](const Error& error, std::size_t) {
      if (!self->owner_) return;
      if (error || !self->is_client_) return self->Close(error ? Result::kFailed : Result::kCompleted);
      self->Read();
    });
  }

  void Read() {
    asio::async_read(socket_, asio::buffer(length_),
                     [self = shared_from_this()](const Error& error, std::size_t) {
                       if (!self->owner_) return;
                       std::size_t size = 0;
                       for (const unsigned char byte : self->length_) size = size << 8 | byte;
                       if (error || size > kMaxFrameBytes) return self->Close(Result::kFailed);
                       if (size == 0) return self->Close(Result::kCompleted);
                       self->ReadBody(size);
                     });
  }

  // Reads a frame of `size` bytes. The buffer grows as bytes arrive, so that a peer that sends a great length
  // and no data causes the allocation of one chunk only.
  void ReadBody(std::size_t size) {
    constexpr std::size_t kChunkBytes = std::size_t{64} * 1024;
    const std::size_t received = incoming_.size();
    incoming_.resize(std::min(size, received + kChunkBytes));
    asio::async_read(socket_, asio::buffer(incoming_.data() + received, incoming_.size() - received),
                     [self = shared_from_this(), size](const Error& error, std::size_t) {
                       if (!self->owner_) return;
                       if (error) return self->Close(Result::kFailed);
                       if (self->incoming_.size() < size) return self->ReadBody(size);
                       self->OnFrame();
                     });
  }

  void OnFrame() {
    if (is_client_) {
      const auto on_response = owner_->handlers_.on_response;
      Close(Result::kCompleted);
      return on_response(incoming_);
    }
    outgoing_ = owner_->handlers_.on_request(incoming_);
    if (owner_) Write();
  }

  void Close(Result result) {
    Transport* owner = std::exchange(owner_, nullptr);
    if (!owner) return;
    owner->counters_.failed += is_client_ && result == Result::kFailed;
    Error ignored;
    socket_.close(ignored);
    timer_.cancel();
    owner->sessions_.erase(shared_from_this());
  }

  Transport* owner_;
  Tcp::socket socket_;
  asio::steady_timer timer_;
  std::array<unsigned char, 4> length_{};
  std::string incoming_, outgoing_;
  bool is_client_ = false;
};

Transport::Transport(asio::io_context& io, const Udp::endpoint& bind, Handlers handlers, Limits limits)
    : io_(io),
      handlers_(std::move(handlers)),
      limits_(limits),
      udp_(io),
      acceptor_(io),
      accept_retry_timer_(io) {
  Bind(bind);
  udp_.non_blocking(true);
  acceptor_.listen();
  Receive();
  Accept();
}

// Binds both sockets to the same port. If the system chooses the port for one socket, another process may use
// it for the other, so that binding is tried again.
void Transport::Bind(const Udp::endpoint& bind) {
  for (int attempt = 1;; ++attempt) {
    udp_.open(bind.protocol());
    udp_.bind(bind);
    const Tcp::endpoint tcp_address(bind.address(), udp_.local_endpoint().port());
    acceptor_.open(tcp_address.protocol());
    acceptor_.set_option(Tcp::acceptor::reuse_address(true));
    Error failed;
    acceptor_.bind(tcp_address, failed);
    if (!failed) return;
    if (bind.port() != 0 || attempt == kMaxBindAttempts) throw boost::system::system_error(failed, "bind");
    udp_.close();
    acceptor_.close();
  }
}

Transport::~Transport() {
  for (const auto& session : sessions_) session->Detach();
}

void Transport::Receive() {
  udp_.async_wait(Udp::socket::wait_read, [this](const Error& failed) {
    if (failed == asio::error::operation_aborted) return;
    if (!failed) ReceiveAll();
    Receive();
  });
}

void Transport::ReceiveAll() {
  for (int i = 0; i < limits_.max_datagrams_per_wakeup; ++i) {
    Error failed;
    const std::size_t size = udp_.receive_from(asio::buffer(buffer_), from_, 0, failed);
    if (failed == asio::error::would_block) return;
    if (failed) continue;  // an error such as the ICMP error for an earlier datagram
    handlers_.on_datagram(FormatAddress(from_), {buffer_.data(), size});
  }
}

void Transport::Accept() {
  acceptor_.async_accept([this](const Error& failed, Tcp::socket socket) {
    if (failed == asio::error::operation_aborted) return;
    if (failed) {
      accept_retry_timer_.expires_after(kAcceptRetryDelay);
      accept_retry_timer_.async_wait([this](const Error& cancelled) {
        if (!cancelled) Accept();
      });
      return;
    }
    if (sessions_.size() >= limits_.max_exchanges) {
      ++counters_.rejected;
    } else {
      const auto session = std::make_shared<Session>(*this, std::move(socket));
      sessions_.insert(session);
      session->Reply();
    }
    Accept();
  });
}

void Transport::Send(const std::string& to, std::string_view bytes) {
  Udp::endpoint address;
  Error failed = asio::error::invalid_argument;
  if (ParseAddress(to, &address)) udp_.send_to(asio::buffer(bytes), address, 0, failed);
  counters_.unsent += static_cast<bool>(failed);
}

void Transport::Exchange(const std::string& to, std::string frame) {
  Udp::endpoint address;
  if (!ParseAddress(to, &address) || sessions_.size() >= limits_.max_exchanges) {
    ++counters_.failed;
    return;
  }
  const auto session = std::make_shared<Session>(*this, Tcp::socket(io_));
  sessions_.insert(session);
  session->Request({address.address(), address.port()}, std::move(frame));
}

}  // namespace copperpoint::peers
