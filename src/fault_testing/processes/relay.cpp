// SPDX-License-Identifier: Apache-2.0
#include "fault_testing/processes/relay.h"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <utility>

namespace copperpoint::fault_testing {
namespace {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;
using Error = boost::system::error_code;

}  // namespace

// One connection between two members, both directions. If the link is cut, nothing passes any more, as on a
// real network, and the connection ends when the connecting member closes it.
class Relay::Stream : public std::enable_shared_from_this<Stream> {
 public:
  Stream(Relay& owner, int from, int to, Tcp::socket socket)
      : owner_(&owner),
        from_(from),
        to_(to),
        accepted_(std::move(socket)),
        connected_(owner.io_),
        up_delay_(owner.io_),
        down_delay_(owner.io_) {}

  void Start(const Tcp::endpoint& to) {
    std::string empty;
    if (!owner_->links_.Transmit(owner_->now_(), from_, to_, true, &empty).delivered) return WaitForClose();
    connected_.async_connect(to, [self = shared_from_this()](const Error& failed) {
      if (!self->owner_) return;
      if (failed) return self->Close();
      self->Forward(self->accepted_, self->connected_, self->from_, self->to_, self->up_buffer_,
                    self->up_delay_);
      self->Forward(self->connected_, self->accepted_, self->to_, self->from_, self->down_buffer_,
                    self->down_delay_);
    });
  }

  void Detach() {
    owner_ = nullptr;
    Error ignored;
    accepted_.close(ignored);
    connected_.close(ignored);
    up_delay_.cancel();
    down_delay_.cancel();
  }

 private:
  // Discards all data until the member that connected closes the connection.
  void WaitForClose() {
    accepted_.async_read_some(asio::buffer(up_buffer_),
                              [self = shared_from_this()](const Error& failed, std::size_t) {
                                if (!self->owner_) return;
                                failed ? self->Close() : self->WaitForClose();
                              });
  }

  // Forwards data in order, each chunk after the delay of its link.
  void Forward(Tcp::socket& input, Tcp::socket& output, int from, int to, std::array<char, 16384>& buffer,
               asio::steady_timer& delay_timer) {
    input.async_read_some(
        asio::buffer(buffer), [self = shared_from_this(), &input, &output, from, to, &buffer, &delay_timer](
                                  const Error& failed, std::size_t size) {
          if (!self->owner_) return;
          if (failed) return self->Close();
          std::string chunk(buffer.data(), size);
          const Links::Delivery delivery =
              self->owner_->links_.Transmit(self->owner_->now_(), from, to, true, &chunk);
          if (!delivery.delivered) return self->WaitForClose();
          delay_timer.expires_after(
              std::chrono::microseconds(static_cast<std::int64_t>(delivery.extra_delay_ms * 1000)));
          delay_timer.async_wait([self, &input, &output, from, to, &buffer, &delay_timer,
                                  size](const Error& cancelled) {
            if (cancelled || !self->owner_) return;
            asio::async_write(
                output, asio::buffer(buffer.data(), size),
                [self, &input, &output, from, to, &buffer, &delay_timer](const Error& broken, std::size_t) {
                  if (!self->owner_) return;
                  broken ? self->Close() : self->Forward(input, output, from, to, buffer, delay_timer);
                });
          });
        });
  }

  void Close() {
    Relay* owner = owner_;
    if (!owner) return;
    const auto self = shared_from_this();
    Detach();
    owner->streams_.erase(self);
  }

  Relay* owner_;
  const int from_, to_;
  Tcp::socket accepted_, connected_;
  std::array<char, 16384> up_buffer_, down_buffer_;
  asio::steady_timer up_delay_, down_delay_;
};

Relay::Relay(asio::io_context& io, Links& links, std::vector<Udp::endpoint> bind_addresses,
             const std::vector<Udp::endpoint>& advertised_addresses, std::function<double()> now)
    : io_(io), links_(links), now_(std::move(now)), bind_addresses_(std::move(bind_addresses)) {
  for (const Udp::endpoint& address : advertised_addresses) {
    auto port = std::make_unique<MemberPort>(io);
    port->udp.open(address.protocol());
    port->udp.bind(address);
    port->udp.non_blocking(true);
    const Tcp::endpoint same(address.address(), address.port());
    port->tcp.open(same.protocol());
    port->tcp.set_option(Tcp::acceptor::reuse_address(true));
    port->tcp.bind(same);
    port->tcp.listen();
    port->buffer.resize(2048);
    ports_.push_back(std::move(port));
  }
  for (std::size_t i = 0; i < ports_.size(); ++i) {
    Receive(static_cast<int>(i));
    Accept(static_cast<int>(i));
  }
}

Relay::~Relay() {
  for (const auto& stream : streams_) stream->Detach();
}

// The member with this IP address, whatever the port; -1 if there is none.
int Relay::MemberAt(const asio::ip::address& address) const {
  for (std::size_t i = 0; i < bind_addresses_.size(); ++i)
    if (bind_addresses_[i].address() == address) return static_cast<int>(i);
  return -1;
}

void Relay::Receive(int to) {
  MemberPort& port = *ports_[static_cast<std::size_t>(to)];
  port.udp.async_receive_from(asio::buffer(port.buffer), port.from,
                              [this, to](const Error& failed, std::size_t size) {
                                if (failed == asio::error::operation_aborted) return;
                                if (!failed) OnDatagram(to, size);
                                Receive(to);
                              });
}

void Relay::OnDatagram(int to, std::size_t size) {
  MemberPort& port = *ports_[static_cast<std::size_t>(to)];
  const int from = MemberAt(port.from.address());
  if (from < 0) return;
  std::string bytes = port.buffer.substr(0, size);
  const Links::Delivery delivery = links_.Transmit(now_(), from, to, /*stream=*/false, &bytes);
  if (!delivery.delivered) {
    ++dropped_;
    return;
  }
  for (int i = 0; i < delivery.copies; ++i) {
    if (delivery.extra_delay_ms <= 0) {
      Send(from, to, bytes);
      continue;
    }
    const auto timer = std::make_shared<asio::steady_timer>(
        io_, std::chrono::microseconds(static_cast<std::int64_t>(delivery.extra_delay_ms * 1000)));
    timer->async_wait([this, timer, from, to, bytes](const Error& cancelled) {
      if (!cancelled) Send(from, to, bytes);
    });
  }
}

// Sends from the advertised address of the sender, so that the receiver's reply passes through the relay too.
void Relay::Send(int from, int to, std::string bytes) {
  ++forwarded_;
  Error ignored;
  ports_[static_cast<std::size_t>(from)]->udp.send_to(
      asio::buffer(bytes), bind_addresses_[static_cast<std::size_t>(to)], 0, ignored);
}

void Relay::Accept(int to) {
  ports_[static_cast<std::size_t>(to)]->tcp.async_accept([this, to](const Error& failed, Tcp::socket socket) {
    if (failed == asio::error::operation_aborted) return;
    Error ignored;
    const int from = failed ? -1 : MemberAt(socket.remote_endpoint(ignored).address());
    if (from >= 0) {
      const auto stream = std::make_shared<Stream>(*this, from, to, std::move(socket));
      streams_.insert(stream);
      const Udp::endpoint& bind_address = bind_addresses_[static_cast<std::size_t>(to)];
      stream->Start({bind_address.address(), bind_address.port()});
    }
    Accept(to);
  });
}

}  // namespace copperpoint::fault_testing
