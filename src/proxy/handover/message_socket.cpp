// SPDX-License-Identifier: Apache-2.0
#include "proxy/handover/message_socket.h"

#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <sys/un.h>
#include <unistd.h>

#include <array>
#include <boost/asio/error.hpp>
#include <cerrno>
#include <cstring>
#include <utility>
#include <vector>

namespace copperpoint::proxy {
namespace {

using boost::system::error_code;

constexpr std::size_t kMaxMessageBytes = std::size_t{128} * 1024;

error_code SystemError(int number) { return {number, boost::system::system_category()}; }

}  // namespace

OwnedDescriptor::~OwnedDescriptor() {
  if (descriptor_ != kNone) ::close(descriptor_);
}

OwnedDescriptor& OwnedDescriptor::operator=(OwnedDescriptor&& other) noexcept {
  if (this != &other) {
    if (descriptor_ != kNone) ::close(descriptor_);
    descriptor_ = other.Release();
  }
  return *this;
}

int OwnedDescriptor::Release() { return std::exchange(descriptor_, kNone); }

std::size_t MaxSocketPathLength() { return sizeof(sockaddr_un::sun_path) - 1; }

error_code SendMessage(SeqPacketProtocol::socket& socket, const std::string& text, int descriptor) {
  iovec part{const_cast<char*>(text.data()), text.size()};
  msghdr message{};
  message.msg_iov = &part;
  message.msg_iovlen = 1;
  alignas(cmsghdr) std::array<char, CMSG_SPACE(sizeof(int))> control{};
  if (descriptor >= 0) {
    message.msg_control = control.data();
    message.msg_controllen = control.size();
    cmsghdr* header = CMSG_FIRSTHDR(&message);
    header->cmsg_level = SOL_SOCKET;
    header->cmsg_type = SCM_RIGHTS;
    header->cmsg_len = CMSG_LEN(sizeof(int));
    std::memcpy(CMSG_DATA(header), &descriptor, sizeof(int));
  }
  const ssize_t sent = ::sendmsg(socket.native_handle(), &message, MSG_NOSIGNAL | MSG_DONTWAIT);
  if (sent < 0) return SystemError(errno);
  if (sent != static_cast<ssize_t>(text.size())) return boost::asio::error::message_size;
  return {};
}

error_code ReceiveMessage(SeqPacketProtocol::socket& socket, ReceivedMessage* message) {
  std::vector<char> buffer(kMaxMessageBytes);
  iovec part{buffer.data(), buffer.size()};
  alignas(cmsghdr) std::array<char, CMSG_SPACE(sizeof(int))> control{};
  msghdr raw{};
  raw.msg_iov = &part;
  raw.msg_iovlen = 1;
  raw.msg_control = control.data();
  raw.msg_controllen = control.size();
  const ssize_t received = ::recvmsg(socket.native_handle(), &raw, MSG_DONTWAIT | MSG_CMSG_CLOEXEC);
  if (received < 0 && (errno == EAGAIN || errno == EINTR)) return boost::asio::error::would_block;
  if (received < 0) return SystemError(errno);
  if (received == 0) return boost::asio::error::eof;
  const cmsghdr* header = CMSG_FIRSTHDR(&raw);
  if (header && header->cmsg_level == SOL_SOCKET && header->cmsg_type == SCM_RIGHTS &&
      header->cmsg_len == CMSG_LEN(sizeof(int))) {
    int descriptor = OwnedDescriptor::kNone;
    std::memcpy(&descriptor, CMSG_DATA(header), sizeof(int));
    message->descriptor = OwnedDescriptor(descriptor);
  }
  if (raw.msg_flags & (MSG_TRUNC | MSG_CTRUNC)) return boost::asio::error::message_size;
  message->text.assign(buffer.data(), static_cast<std::size_t>(received));
  return {};
}

bool PeerHasReceivedAll(SeqPacketProtocol::socket& socket) {
  int queued_bytes = 0;
  return ::ioctl(socket.native_handle(), SIOCOUTQ, &queued_bytes) == 0 && queued_bytes == 0;
}

bool PeerIsSameUser(SeqPacketProtocol::socket& socket) {
  ucred peer{};
  socklen_t size = sizeof peer;
  return ::getsockopt(socket.native_handle(), SOL_SOCKET, SO_PEERCRED, &peer, &size) == 0 &&
         peer.uid == ::getuid();
}

}  // namespace copperpoint::proxy
