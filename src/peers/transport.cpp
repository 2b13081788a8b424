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

constexpr int kMaxBindAttempts = 16;
constexpr std::chrono::milliseconds kAcceptRetryDelay{50};  // after a failed accept

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
  Error wrong;
  const auto ip = asio::ip::make_address(std::string(host), wrong);
  if (wrong) return false;
  *address = {ip, port};
  return true;
}

std::string FormatAddress(const Udp::endpoint& address) {
  const std::string host = address.address().to_string();
  const std::string port = ':' + std::to_string(address.port());
  return address.address().is_v6() ? '[' + host + ']' + port : host + port;
}

// One exchange: four bytes of length (big end first) and a frame, each way. An empty frame is the end of one.
class Transport::Session : public std::enable_shared_from_this<Session> {
 public:
  explicit Session(Transport& owner, Tcp::socket socket)
      : owner_(&owner), socket_(std::move(socket)), timer_(owner.io_) {}

  void Ask(const Tcp::endpoint& to, std::string frame) {
    Limit();
    out_ = std::move(frame);
    is_client_ = true;
    Error failed;
    socket_.open(to.protocol(), failed);
    // From the address that datagrams come from too: so the other knows who asks.
    if (!failed) socket_.bind({owner_->udp_.local_endpoint().address(), 0}, failed);
    if (failed) return Close(false);
    socket_.async_connect(to, [self = shared_from_this()](const Error& error) {
      if (!self->owner_) return;
      if (error) return self->Close(false);
      self->Write();
    });
  }

  void Answer() {
    Limit();
    Read();
  }

  void Detach() {
    owner_ = nullptr;
    Error ignored;
    socket_.close(ignored);
    timer_.cancel();
  }

 private:
  void Limit() {
    timer_.expires_after(owner_->limits_.exchange_timeout);
    timer_.async_wait([self = shared_from_this()](const Error& cancelled) {
      if (!cancelled && self->owner_) self->Close(false);
    });
  }

  void Write() {
    const auto size = static_cast<std::uint32_t>(out_.size());
    for (std::size_t i = 0; i < 4; ++i) length_[i] = static_cast<unsigned char>(size >> (24 - 8 * i));
    const std::array<asio::const_buffer, 2> both{asio::buffer(length_), asio::buffer(out_)};
    asio::async_write(socket_, both, [self = shared_from_this()](const Error& error, std::size_t) {
      if (!self->owner_) return;
      if (error || !self->is_client_) return self->Close(!error);
      self->Read();
    });
  }

  void Read() {
    asio::async_read(socket_, asio::buffer(length_),
                     [self = shared_from_this()](const Error& error, std::size_t) {
                       if (!self->owner_) return;
                       std::size_t size = 0;
                       for (const unsigned char byte : self->length_) size = size << 8 | byte;
                       if (error || size > kMaxFrameBytes) return self->Close(false);
                       if (size == 0) return self->Close(true);
                       self->ReadBody(size);
                     });
  }

  // Room is made as the bytes come: a length alone costs nothing.
  void ReadBody(std::size_t size) {
    constexpr std::size_t kPiece = std::size_t{64} * 1024;
    const std::size_t have = in_.size();
    in_.resize(std::min(size, have + kPiece));
    asio::async_read(socket_, asio::buffer(in_.data() + have, in_.size() - have),
                     [self = shared_from_this(), size](const Error& error, std::size_t) {
                       if (!self->owner_) return;
                       if (error) return self->Close(false);
                       if (self->in_.size() < size) return self->ReadBody(size);
                       self->OnFrame();
                     });
  }

  void OnFrame() {
    if (is_client_) {
      const auto handlers = owner_->handlers_.on_response;
      Close(true);
      return handlers(in_);
    }
    out_ = owner_->handlers_.on_request(in_);
    if (owner_) Write();
  }

  void Close(bool well) {
    Transport* owner = std::exchange(owner_, nullptr);
    if (!owner) return;
    owner->counters_.failed += is_client_ && !well;
    Error ignored;
    socket_.close(ignored);
    timer_.cancel();
    owner->open_.erase(shared_from_this());
  }

  Transport* owner_;
  Tcp::socket socket_;
  asio::steady_timer timer_;
  std::array<unsigned char, 4> length_{};
  std::string in_, out_;
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

// Both at one port: where the system chooses it, the other socket may find it taken.
void Transport::Bind(const Udp::endpoint& bind) {
  for (int tried = 1;; ++tried) {
    udp_.open(bind.protocol());
    udp_.bind(bind);
    const Tcp::endpoint same(bind.address(), udp_.local_endpoint().port());
    acceptor_.open(same.protocol());
    acceptor_.set_option(Tcp::acceptor::reuse_address(true));
    Error failed;
    acceptor_.bind(same, failed);
    if (!failed) return;
    if (bind.port() != 0 || tried == kMaxBindAttempts) throw boost::system::system_error(failed, "bind");
    udp_.close();
    acceptor_.close();
  }
}

Transport::~Transport() {
  for (const auto& session : open_) session->Detach();
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
    if (failed) continue;  // such as an earlier datagram's error
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
    if (open_.size() >= limits_.max_exchanges) {
      ++counters_.rejected;
    } else {
      const auto session = std::make_shared<Session>(*this, std::move(socket));
      open_.insert(session);
      session->Answer();
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
  if (!ParseAddress(to, &address) || open_.size() >= limits_.max_exchanges) {
    ++counters_.failed;
    return;
  }
  const auto session = std::make_shared<Session>(*this, Tcp::socket(io_));
  open_.insert(session);
  session->Ask({address.address(), address.port()}, std::move(frame));
}

}  // namespace copperpoint::peers
