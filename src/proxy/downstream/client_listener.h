// SPDX-License-Identifier: Apache-2.0
//
// The side of the clients: accepts connections, reads requests, writes the one answer to each.
#ifndef COPPERPOINT_PROXY_DOWNSTREAM_CLIENT_LISTENER_H_
#define COPPERPOINT_PROXY_DOWNSTREAM_CLIENT_LISTENER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "proxy/clock.h"
#include "proxy/config/config.h"
#include "proxy/upstream/backend_pool.h"

namespace copperpoint::proxy {

// Where the one answer to a request goes.
class Responder {
 public:
  virtual ~Responder() = default;
  // The body may go on in `rest`, and is then `length` long if that is known.
  virtual void SendResponse(HttpResponse answer, std::shared_ptr<BodySource> rest,
                            std::optional<std::uint64_t> length) = 0;
  virtual void SendUnavailable(Duration retry_after) = 0;
  virtual void SendBadGateway() = 0;
  // A backend found the request itself faulty.
  virtual void SendClientError(boost::beast::http::status status) = 0;
};

// What is done with requests. Neither call may throw.
class RequestHandler {
 public:
  virtual ~RequestHandler() = default;
  virtual RequestId OnRequest(ClientRequest request, std::shared_ptr<Responder> responder) = 0;
  virtual void OnClientDisconnected(RequestId request) = 0;
  virtual bool Ready() const = 0;
  // Whether a request of this Req-Id has no answer yet, or an attempt of it is out.
  virtual bool IsRequestOpen(std::string_view id) const = 0;
};

class ClientListener {
 public:
  // Listens at once, at `listener` if one was inherited; throws boost::system::system_error if it cannot.
  ClientListener(boost::asio::io_context& io, const Config& config, std::size_t most_connections,
                 RequestHandler& handler, int listener = -1);
  ~ClientListener();
  ClientListener(const ClientListener&) = delete;
  ClientListener& operator=(const ClientListener&) = delete;

  // From now on each connection closes after its answer; new ones are still served. After the grace,
  // nothing is accepted any more, and `done` is called when no connection is left.
  void ShutDown(Duration grace, std::function<void()> done);

  // While drained, connections that stand idle are closed, and the others after their next answer; new ones
  // are served all the same.
  void SetDraining(bool drained);

  // Another process accepts from now on, from the same queue; what is connected here is answered, and then
  // sent there. Nothing if it is too late for that. The descriptor stays this one's.
  std::optional<int> ReleaseListener();
  void ResumeAccepting();  // the other process has gone

  void SetConnectionLimit(std::size_t connections);

  boost::asio::ip::tcp::endpoint address() const { return acceptor_.local_endpoint(); }
  std::size_t connection_count() const { return sessions_.size(); }

 private:
  class Session;
  friend class Session;

  void Accept();
  void AcceptSoon();
  void AwaitClient();
  void Begin(boost::asio::ip::tcp::socket socket);
  void AcceptLater();
  bool MakeRoom();
  bool Reserve(std::size_t bytes);
  void Sweep();
  void Remove(Session* session);
  void Shut();
  void CloseListener(bool at_once);

  boost::asio::io_context& io_;
  const Config& config_;
  std::size_t most_connections_, most_bytes_, reserved_ = 0;
  RequestHandler& handler_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer pause_, grace_, sweep_;
  std::list<std::shared_ptr<Session>> sessions_;  // in the order of their last change of state
  bool waiting_for_room_ = false, awaiting_ = false, accepting_soon_ = false;
  std::optional<Steady::time_point> queued_since_;  // until the queue has been seen empty again
  std::shared_ptr<int> alive_ = std::make_shared<int>();
  bool stopping_ = false, shut_ = false, drained_ = false, handed_over_ = false;
  std::function<void()> stopped_;
  Steady::time_point half_read_until_{};
};

}  // namespace copperpoint::proxy

#endif  // COPPERPOINT_PROXY_DOWNSTREAM_CLIENT_LISTENER_H_
