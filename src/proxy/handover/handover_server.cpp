// SPDX-License-Identifier: Apache-2.0
#include "proxy/handover/handover_server.h"

#include <sys/stat.h>
#include <unistd.h>

#include <boost/asio/error.hpp>
#include <utility>

namespace copperpoint::proxy {
namespace {

using boost::system::error_code;

constexpr int kListenBacklog = 4;
constexpr mode_t kOwnerOnly = 0600;

}  // namespace

HandoverServer::HandoverServer(boost::asio::io_context& io, std::string path,
                               const boost::asio::ip::tcp::endpoint& listen, Delegate& delegate)
    : path_(std::move(path)), listen_(listen), delegate_(delegate), acceptor_(io), socket_(io) {
  Listen();
}

HandoverServer::~HandoverServer() {
  if (acceptor_.is_open() && state_ == State::kServing) ::unlink(path_.c_str());
}

void HandoverServer::Listen() {
  if (path_.empty() || path_.size() > MaxSocketPathLength()) return;
  // An existing socket belongs to a process that has exited, or that has just handed over to this one.
  struct stat existing {};
  if (::lstat(path_.c_str(), &existing) == 0 && S_ISSOCK(existing.st_mode)) ::unlink(path_.c_str());
  error_code failed;
  acceptor_.open(SeqPacketProtocol(), failed);
  if (!failed) acceptor_.bind(SeqPacketProtocol::endpoint(path_), failed);
  if (!failed) acceptor_.listen(kListenBacklog, failed);
  if (failed) {
    acceptor_.close(failed);
    return;
  }
  ::chmod(path_.c_str(), kOwnerOnly);
  Accept();
}

void HandoverServer::Accept() {
  acceptor_.async_accept([this](const error_code& failed, SeqPacketProtocol::socket socket) {
    if (failed) return;
    // One successor at a time: a newer connection replaces one that has not taken over yet.
    if (state_ == State::kServing && PeerIsSameUser(socket)) {
      error_code ignored;
      socket_.close(ignored);
      socket_ = std::move(socket);
      WaitForMessage();
    }
    Accept();
  });
}

void HandoverServer::WaitForMessage() {
  socket_.async_wait(SeqPacketProtocol::socket::wait_read, [this](const error_code& failed) {
    if (failed == boost::asio::error::operation_aborted) return;
    ReceivedMessage message;
    const error_code received = failed ? failed : ReceiveMessage(socket_, &message);
    if (received && received != boost::asio::error::would_block) return OnConnectionEnded();
    if (!received && !OnMessage(message)) return OnConnectionEnded();
    WaitForMessage();
  });
}

// Returns false if the connection is to be closed.
bool HandoverServer::OnMessage(const ReceivedMessage& message) {
  if (state_ == State::kHandedOver) {  // messages of a later version are ignored
    if (IsEndpointListMessage(message.text)) delegate_.OnSuccessorEndpoints(message);
    return true;
  }
  if (message.text != EncodeListenerRequest(listen_)) return false;
  auto grant = delegate_.OnListenerRequested();
  if (!grant) return false;
  grant->state.endpoint_list_follows = grant->endpoint_list.has_value();
  state_ = State::kHandedOver;
  if (SendMessage(socket_, EncodeHandoverState(grant->state), grant->listener)) return false;
  if (grant->endpoint_list) SendEndpointList(*grant->endpoint_list);
  return true;
}

void HandoverServer::OnConnectionEnded() {
  error_code ignored;
  socket_.close(ignored);
  if (std::exchange(state_, State::kServing) == State::kServing) return;
  acceptor_.close(ignored);
  Listen();  // the successor may have replaced the socket at the path
  delegate_.OnSuccessorExited();
}

void HandoverServer::SendReport(const DescriptorReport& report) {
  if (has_successor()) SendMessage(socket_, EncodeDescriptorReport(report));
}

bool HandoverServer::SendDiscoveryReload(const DiscoveryReload& reload) {
  return has_successor() && !SendMessage(socket_, EncodeDiscoveryReload(reload));
}

bool HandoverServer::CanSendEndpointList() { return has_successor() && PeerHasReceivedAll(socket_); }

bool HandoverServer::SendEndpointList(const EndpointListMessage& message) {
  return !SendMessage(socket_, message.text, message.contents.get());
}

}  // namespace copperpoint::proxy
