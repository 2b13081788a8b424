// SPDX-License-Identifier: Apache-2.0
#include "proxy/handover/handover_client.h"

#include <sys/socket.h>

#include <boost/asio/error.hpp>
#include <utility>

namespace copperpoint::proxy {
namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

// Returns whether `descriptor` is a socket that listens at `address`.
bool ListensAt(int descriptor, const tcp::endpoint& address) {
  int listening = 0;
  socklen_t size = sizeof listening;
  if (::getsockopt(descriptor, SOL_SOCKET, SO_ACCEPTCONN, &listening, &size) != 0 || !listening) return false;
  tcp::endpoint name;
  size = static_cast<socklen_t>(name.capacity());
  if (::getsockname(descriptor, name.data(), &size) != 0 || size > name.capacity()) return false;
  name.resize(size);
  return name == address;
}

}  // namespace

const char* NameOf(HandoverError error) {
  switch (error) {
    case HandoverError::kTimeout:
      return "timeout";
    case HandoverError::kPredecessorClosed:
      return "predecessor_closed";
    case HandoverError::kInvalidListener:
      return "invalid_listener";
  }
  return "unknown";
}

std::unique_ptr<HandoverClient> HandoverClient::Connect(boost::asio::io_context& io, const std::string& path,
                                                        Observer& observer) {
  if (path.empty() || path.size() > MaxSocketPathLength()) return nullptr;
  std::unique_ptr<HandoverClient> client(new HandoverClient(io, observer));
  error_code failed;
  client->socket_.open(SeqPacketProtocol(), failed);
  if (!failed) client->socket_.non_blocking(true, failed);
  if (!failed) client->socket_.connect(SeqPacketProtocol::endpoint(path), failed);
  if (failed || !PeerIsSameUser(client->socket_)) return nullptr;
  return client;
}

void HandoverClient::RequestListener(const tcp::endpoint& listen, std::chrono::milliseconds timeout) {
  listen_ = listen;
  state_ = State::kRequested;
  timer_.expires_after(timeout);
  timer_.async_wait([this](const error_code& cancelled) {
    if (!cancelled && state_ == State::kRequested) Fail(HandoverError::kTimeout);
  });
  SendMessage(socket_, EncodeListenerRequest(listen));  // an error makes the wait below fail, too
  WaitForMessage();
}

void HandoverClient::WaitForMessage() {
  socket_.async_wait(SeqPacketProtocol::socket::wait_read, [this](const error_code& failed) {
    if (failed == boost::asio::error::operation_aborted) return;
    if (failed) return OnConnectionEnded();
    OnReadable();
  });
}

void HandoverClient::OnReadable() {
  ReceivedMessage message;
  const error_code failed = ReceiveMessage(socket_, &message);
  if (failed && failed != boost::asio::error::would_block) return OnConnectionEnded();
  if (!failed) OnMessage(std::move(message));
  if (state_ != State::kClosed) WaitForMessage();
}

void HandoverClient::OnMessage(ReceivedMessage message) {
  if (state_ == State::kRequested) return OnListenerMessage(std::move(message));
  if (IsEndpointListMessage(message.text)) {
    observer_.OnPredecessorEndpoints(message);
    return CompleteHandover();
  }
  if (const auto reload = DecodeDiscoveryReload(message.text))
    return observer_.OnPredecessorReloaded(*reload);
  if (state_ != State::kReceived) return;
  if (const auto report = DecodeDescriptorReport(message.text)) observer_.OnDescriptorReport(*report);
}

void HandoverClient::OnListenerMessage(ReceivedMessage message) {
  if (!ListensAt(message.descriptor.get(), listen_)) return Fail(HandoverError::kInvalidListener);
  timer_.cancel();
  listener_message_ = std::move(message);
  state_ = State::kAwaitingEndpoints;
  if (!EndpointListFollows(listener_message_.text)) return CompleteHandover();
  AwaitEndpointList();
}

void HandoverClient::AwaitEndpointList() {
  timer_.expires_after(kEndpointListTimeout);
  timer_.async_wait([this](const error_code& cancelled) {
    if (!cancelled) CompleteHandover();
  });
}

void HandoverClient::CompleteHandover() {
  if (state_ != State::kAwaitingEndpoints) return;
  timer_.cancel();
  state_ = State::kReceived;
  ReceivedMessage message = std::exchange(listener_message_, ReceivedMessage());
  observer_.OnListenerReceived(std::move(message.descriptor), message.text);
}

void HandoverClient::OnConnectionEnded() {
  if (state_ == State::kRequested) return Fail(HandoverError::kPredecessorClosed);
  CompleteHandover();
  state_ = State::kClosed;
  observer_.OnPredecessorExited();
}

bool HandoverClient::CanSendEndpointList() {
  return state_ == State::kReceived && PeerHasReceivedAll(socket_);
}

bool HandoverClient::SendEndpointList(const EndpointListMessage& message) {
  return !SendMessage(socket_, message.text, message.contents.get());
}

// Closing the connection makes the predecessor continue as the only process.
void HandoverClient::Fail(HandoverError error) {
  timer_.cancel();
  error_code ignored;
  socket_.close(ignored);
  state_ = State::kClosed;
  observer_.OnHandoverFailed(error);
}

}  // namespace copperpoint::proxy
