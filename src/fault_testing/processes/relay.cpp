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

// One connection between two members, both ways. Where the link is cut the connection falls silent, as on a
// network, and ends when one side gives it up.
class Relay::Stream : public std::enable_shared_from_this<Stream> {
 public:
  Stream(Relay& owner, int from, int to, Tcp::socket socket)
      : owner_(&owner),
        from_(from),
        to_(to),
        near_(std::move(socket)),
        far_(owner.io_),
        up_waits_(owner.io_),
        down_waits_(owner.io_) {}

  void Start(const Tcp::endpoint& to) {
    std::string nothing;
    if (!owner_->links_.Pass(owner_->now_(), from_, to_, true, &nothing).passes) return Watch();
    far_.async_connect(to, [self = shared_from_this()](const Error& failed) {
      if (!self->owner_) return;
      if (failed) return self->Close();
      self->Copy(self->near_, self->far_, self->from_, self->to_, self->up_, self->up_waits_);
      self->Copy(self->far_, self->near_, self->to_, self->from_, self->down_, self->down_waits_);
    });
  }

  void Orphan() {
    owner_ = nullptr;
    Error ignored;
    near_.close(ignored);
    far_.close(ignored);
    up_waits_.cancel();
    down_waits_.cancel();
  }

 private:
  // Nothing passes: until the member that connected gives up.
  void Watch() {
    near_.async_read_some(asio::buffer(up_), [self = shared_from_this()](const Error& failed, std::size_t) {
      if (!self->owner_) return;
      failed ? self->Close() : self->Watch();
    });
  }

  // Pieces go one after the other, each as late as its link is slow.
  void Copy(Tcp::socket& in, Tcp::socket& out, int from, int to, std::array<char, 16384>& buffer,
            asio::steady_timer& waits) {
    in.async_read_some(asio::buffer(buffer), [self = shared_from_this(), &in, &out, from, to, &buffer,
                                              &waits](const Error& failed, std::size_t size) {
      if (!self->owner_) return;
      if (failed) return self->Close();
      std::string piece(buffer.data(), size);
      const Links::Passage passage = self->owner_->links_.Pass(self->owner_->now_(), from, to, true, &piece);
      if (!passage.passes) return self->Watch();
      waits.expires_after(std::chrono::microseconds(static_cast<std::int64_t>(passage.more_ms * 1000)));
      waits.async_wait([self, &in, &out, from, to, &buffer, &waits, size](const Error& cancelled) {
        if (cancelled || !self->owner_) return;
        asio::async_write(out, asio::buffer(buffer.data(), size),
                          [self, &in, &out, from, to, &buffer, &waits](const Error& broken, std::size_t) {
                            if (!self->owner_) return;
                            broken ? self->Close() : self->Copy(in, out, from, to, buffer, waits);
                          });
      });
    });
  }

  void Close() {
    Relay* owner = owner_;
    if (!owner) return;
    const auto self = shared_from_this();
    Orphan();
    owner->streams_.erase(self);
  }

  Relay* owner_;
  const int from_, to_;
  Tcp::socket near_, far_;
  std::array<char, 16384> up_, down_;
  asio::steady_timer up_waits_, down_waits_;
};

Relay::Relay(asio::io_context& io, Links& links, std::vector<Udp::endpoint> inside,
             const std::vector<Udp::endpoint>& outside, std::function<double()> now)
    : io_(io), links_(links), now_(std::move(now)), inside_(std::move(inside)) {
  for (const Udp::endpoint& address : outside) {
    auto door = std::make_unique<Door>(io);
    door->udp.open(address.protocol());
    door->udp.bind(address);
    door->udp.non_blocking(true);
    const Tcp::endpoint same(address.address(), address.port());
    door->tcp.open(same.protocol());
    door->tcp.set_option(Tcp::acceptor::reuse_address(true));
    door->tcp.bind(same);
    door->tcp.listen();
    door->buffer.resize(2048);
    doors_.push_back(std::move(door));
  }
  for (std::size_t i = 0; i < doors_.size(); ++i) {
    Receive(static_cast<int>(i));
    Accept(static_cast<int>(i));
  }
}

Relay::~Relay() {
  for (const auto& stream : streams_) stream->Orphan();
}

// Members have an address each, whatever their port.
int Relay::MemberAt(const asio::ip::address& address) const {
  for (std::size_t i = 0; i < inside_.size(); ++i)
    if (inside_[i].address() == address) return static_cast<int>(i);
  return -1;
}

void Relay::Receive(int to) {
  Door& door = *doors_[static_cast<std::size_t>(to)];
  door.udp.async_receive_from(asio::buffer(door.buffer), door.from,
                              [this, to](const Error& failed, std::size_t size) {
                                if (failed == asio::error::operation_aborted) return;
                                if (!failed) OnDatagram(to, size);
                                Receive(to);
                              });
}

void Relay::OnDatagram(int to, std::size_t size) {
  Door& door = *doors_[static_cast<std::size_t>(to)];
  const int from = MemberAt(door.from.address());
  if (from < 0) return;
  std::string bytes = door.buffer.substr(0, size);
  const Links::Passage passage = links_.Pass(now_(), from, to, /*stream=*/false, &bytes);
  if (!passage.passes) {
    ++dropped_;
    return;
  }
  for (int i = 0; i < passage.copies; ++i) {
    if (passage.more_ms <= 0) {
      Pass(from, to, bytes);
      continue;
    }
    const auto timer = std::make_shared<asio::steady_timer>(
        io_, std::chrono::microseconds(static_cast<std::int64_t>(passage.more_ms * 1000)));
    timer->async_wait([this, timer, from, to, bytes](const Error& cancelled) {
      if (!cancelled) Pass(from, to, bytes);
    });
  }
}

// Out of the sender's own door: what the receiver answers comes back there.
void Relay::Pass(int from, int to, std::string bytes) {
  ++passed_;
  Error ignored;
  doors_[static_cast<std::size_t>(from)]->udp.send_to(asio::buffer(bytes),
                                                      inside_[static_cast<std::size_t>(to)], 0, ignored);
}

void Relay::Accept(int to) {
  doors_[static_cast<std::size_t>(to)]->tcp.async_accept([this, to](const Error& failed, Tcp::socket socket) {
    if (failed == asio::error::operation_aborted) return;
    Error gone;
    const int from = failed ? -1 : MemberAt(socket.remote_endpoint(gone).address());
    if (from >= 0) {
      const auto stream = std::make_shared<Stream>(*this, from, to, std::move(socket));
      streams_.insert(stream);
      const Udp::endpoint& inside = inside_[static_cast<std::size_t>(to)];
      stream->Start({inside.address(), inside.port()});
    }
    Accept(to);
  });
}

}  // namespace copperpoint::fault_testing
