// SPDX-License-Identifier: Apache-2.0
//
// The way between two processes of one proxy while one takes over from the other: a socket in the proxy's
// state folder, over which the listening socket and a text go from the old process to the new. It knows
// nothing of what the text says. Each message is believed only as far as it fits.
#ifndef COPPERPOINT_PROXY_HANDOVER_HANDOVER_H_
#define COPPERPOINT_PROXY_HANDOVER_HANDOVER_H_

#include <boost/asio/basic_seq_packet_socket.hpp>
#include <boost/asio/basic_socket_acceptor.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/local/basic_endpoint.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace copperpoint::proxy {

// Unix sockets that keep messages apart, which this Boost has no protocol for.
struct LocalMessages {
  int type() const { return SOCK_SEQPACKET; }
  int protocol() const { return 0; }
  int family() const { return AF_UNIX; }
  using endpoint = boost::asio::local::basic_endpoint<LocalMessages>;
  using socket = boost::asio::basic_seq_packet_socket<LocalMessages>;
  using acceptor = boost::asio::basic_socket_acceptor<LocalMessages>;
};

struct Gift {
  int listener = -1;  // the descriptor; whoever gets a gift owns it
  std::string text;
};

// The side that serves already, and waits for a successor.
class HandoverServer {
 public:
  // `give` is asked once a successor that listens at `listen` is about to serve; its descriptor stays the
  // giver's. `lost` says that the successor has gone, so that what was given is this process's again.
  using Give = std::function<std::optional<Gift>()>;
  using Lost = std::function<void()>;
  HandoverServer(boost::asio::io_context& io, std::string path, boost::asio::ip::tcp::endpoint listen,
                 Give give, Lost lost);
  ~HandoverServer();
  HandoverServer(const HandoverServer&) = delete;
  HandoverServer& operator=(const HandoverServer&) = delete;

  bool listening() const { return acceptor_.is_open(); }
  bool given() const { return given_; }
  void Tell(const std::string& text);  // to the successor, if there is one

 private:
  using Local = LocalMessages;
  void Listen();
  void Accept();
  void Await();
  void OnLost();

  const std::string path_;
  const boost::asio::ip::tcp::endpoint listen_;
  Give give_;
  Lost lost_;
  Local::acceptor acceptor_;
  Local::socket socket_;
  bool given_ = false;
};

// The side that takes over.
class HandoverClient {
 public:
  using Taken = std::function<void(std::optional<Gift>)>;
  using Told = std::function<void(const std::string&)>;
  using Gone = std::function<void()>;

  // Null if no process waits at `path`.
  static std::unique_ptr<HandoverClient> Connect(boost::asio::io_context& io, const std::string& path);
  ~HandoverClient();

  // `taken` is called once: with nothing if the other refuses, is gone, does not answer within `at_most`, or
  // gives what is no listening socket at `listen`. After a gift, `told` and at last `gone` follow.
  void Take(const boost::asio::ip::tcp::endpoint& listen, std::chrono::milliseconds at_most, Taken taken,
            Told told, Gone gone);

 private:
  using Local = LocalMessages;
  explicit HandoverClient(boost::asio::io_context& io) : socket_(io), timer_(io) {}
  void Await();
  void End(std::optional<Gift> gift);

  Local::socket socket_;
  boost::asio::steady_timer timer_;
  boost::asio::ip::tcp::endpoint listen_;
  Taken taken_;
  Told told_;
  Gone gone_;
};

}  // namespace copperpoint::proxy

#endif  // COPPERPOINT_PROXY_HANDOVER_HANDOVER_H_
