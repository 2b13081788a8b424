// SPDX-License-Identifier: Apache-2.0
//
// Unix sockets that preserve message boundaries and carry a descriptor beside a message: what both sides of a
// hand-over talk over.
#ifndef COPPERPOINT_PROXY_HANDOVER_MESSAGE_SOCKET_H_
#define COPPERPOINT_PROXY_HANDOVER_MESSAGE_SOCKET_H_

#include <sys/socket.h>

#include <boost/asio/basic_seq_packet_socket.hpp>
#include <boost/asio/basic_socket_acceptor.hpp>
#include <boost/asio/local/basic_endpoint.hpp>
#include <boost/system/error_code.hpp>
#include <cstddef>
#include <string>

namespace copperpoint::proxy {

// The SOCK_SEQPACKET protocol of Unix sockets, for which this Boost has no class.
class SeqPacketProtocol {
 public:
  int type() const { return SOCK_SEQPACKET; }
  int protocol() const { return 0; }
  int family() const { return AF_UNIX; }
  using endpoint = boost::asio::local::basic_endpoint<SeqPacketProtocol>;
  using socket = boost::asio::basic_seq_packet_socket<SeqPacketProtocol>;
  using acceptor = boost::asio::basic_socket_acceptor<SeqPacketProtocol>;
};

// A file descriptor that is closed with its owner.
class OwnedDescriptor {
 public:
  static constexpr int kNone = -1;

  explicit OwnedDescriptor(int descriptor = kNone) : descriptor_(descriptor) {}
  ~OwnedDescriptor();
  OwnedDescriptor(OwnedDescriptor&& other) noexcept : descriptor_(other.Release()) {}
  OwnedDescriptor& operator=(OwnedDescriptor&& other) noexcept;
  OwnedDescriptor(const OwnedDescriptor&) = delete;
  OwnedDescriptor& operator=(const OwnedDescriptor&) = delete;

  int get() const { return descriptor_; }
  // The caller owns it from here on.
  int Release();

 private:
  int descriptor_;
};

struct ReceivedMessage {
  std::string text;
  OwnedDescriptor descriptor;  // that came beside the text, if any
};

// The longest path that a Unix socket can have, in bytes.
std::size_t MaxSocketPathLength();

// Sends one message, without waiting, and a copy of `descriptor` beside it unless that is
// OwnedDescriptor::kNone. Returns an error if the message did not go out completely.
boost::system::error_code SendMessage(SeqPacketProtocol::socket& socket, const std::string& text,
                                      int descriptor = OwnedDescriptor::kNone);

// Receives one message without waiting. Errors: would_block if there is none yet, eof if the peer has closed,
// message_size if the message or its descriptors were cut off, otherwise that of the system.
boost::system::error_code ReceiveMessage(SeqPacketProtocol::socket& socket, ReceivedMessage* message);

// Whether the process at the other end runs as the same user as this one.
bool PeerIsSameUser(SeqPacketProtocol::socket& socket);

}  // namespace copperpoint::proxy

#endif  // COPPERPOINT_PROXY_HANDOVER_MESSAGE_SOCKET_H_
