// SPDX-License-Identifier: Apache-2.0
#include "proxy/membership/peer_socket.h"

#include <boost/asio/error.hpp>
#include <boost/system/system_error.hpp>
#include <chrono>
#include <utility>

#include "log/log.h"

namespace copperpoint::proxy {
namespace {

constexpr std::chrono::milliseconds kBindRetryDelay{200};

}  // namespace

PeerSocket::PeerSocket(boost::asio::io_context& io, const boost::asio::ip::udp::endpoint& listen,
                       Observer& observer)
    : io_(io), listen_(listen), observer_(observer), retry_timer_(io) {}

void PeerSocket::Open() {
  try {
    transport_ = std::make_unique<peers::Transport>(io_, listen_, Handlers());
  } catch (const boost::system::system_error& error) {
    if (error.code() != boost::asio::error::address_in_use) throw;
    return RetryLater();
  }
  observer_.OnOpen();
}

void PeerSocket::RetryLater() {
  if (!std::exchange(wait_logged_, true))
    log::Global().Info("fleet_waits_for_address", {{"address", peers::FormatAddress(listen_)}});
  retry_timer_.expires_after(kBindRetryDelay);
  retry_timer_.async_wait([this](const boost::system::error_code& cancelled) {
    if (!cancelled) Open();
  });
}

void PeerSocket::Close() {
  transport_.reset();
  retry_timer_.cancel();
}

peers::Transport::Handlers PeerSocket::Handlers() {
  peers::Transport::Handlers handlers;
  handlers.on_datagram = [this](const std::string& from, std::string_view frame) {
    observer_.OnDatagram(from, frame);
  };
  handlers.on_request = [this](std::string_view frame) { return observer_.OnExchange(frame); };
  handlers.on_response = [this](std::string_view frame) { observer_.OnReply(frame); };
  return handlers;
}

void PeerSocket::Send(const membership::Output& output) {
  if (!transport_) return;
  for (const membership::OutgoingFrame& datagram : output.datagrams)
    transport_->Send(datagram.to, datagram.bytes);
  for (const membership::OutgoingFrame& exchange : output.exchanges)
    transport_->Exchange(exchange.to, exchange.bytes);
}

}  // namespace copperpoint::proxy
