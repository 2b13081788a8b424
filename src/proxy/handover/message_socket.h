// SPDX-License-Identifier: Apache-2.0
//
// Unix sockets that preserve message boundaries and pass a file descriptor with a message; both sides of a
// handover communicate over them.
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

// The SOCK_SEQPACKET protocol of Unix sockets, for which this version of Boost has no class.
class SeqPacketProtocol {
 public:
  int type() const { return SOCK_SEQPACKET; }
  int protocol() const { return 0; }
  int family() const { return AF_UNIX; }
  using endpoint = boost::asio::local::basic_endpoint<SeqPacketProtocol>;
  using socket = boost::asio::basic_seq_packet_socket<SeqPacketProtocol>;
  using acceptor = boost::asio::basic_socket_acceptor<SeqPacketProtocol>;
};

// Owns a file descriptor and closes it on destruction.
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
  // Returns the descriptor, which the caller owns from here on.
  int Release();

 private:
  int descriptor_;
};

struct ReceivedMessage {
  std::string text;
  OwnedDescriptor descriptor;  // the one that came with the text, if any
};

// Returns the longest path that a Unix socket can have, in bytes.
std::size_t MaxSocketPathLength();

// Sends one message without blocking, with a copy of `descriptor` unless that is OwnedDescriptor::kNone.
// Returns an error if the message was not sent completely.
boost::system::error_code SendMessage(SeqPacketProtocol::socket& socket, const std::string& text,
                                      int descriptor = OwnedDescriptor::kNone);

// Receives one message without blocking. Errors: would_block if there is none yet, eof if the peer has
// closed, message_size if the message or its descriptors were cut off, otherwise that of the system.
boost::system::error_code ReceiveMessage(SeqPacketProtocol::socket& socket, ReceivedMessage* message);

// Returns whether the process at the other end has received every message sent to it.
bool PeerHasReceivedAll(SeqPacketProtocol::socket& socket);

// Returns whether the process at the other end runs as the same user as this one.
bool PeerIsSameUser(SeqPacketProtocol::socket& socket);

}  // namespace copperpoint::proxy

#endif  // COPPERPOINT_PROXY_HANDOVER_MESSAGE_SOCKET_H_
