// SPDX-License-Identifier: Apache-2.0
//
// The two interfaces between client connections and the proxy: who handles a request, and who sends its
// response.
#ifndef COPPERPOINT_PROXY_DOWNSTREAM_REQUEST_HANDLER_H_
#define COPPERPOINT_PROXY_DOWNSTREAM_REQUEST_HANDLER_H_

#include <boost/beast/http/status.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>

#include "copperpoint/balancer.h"
#include "proxy/http/framing.h"

namespace copperpoint::proxy {

// Sends the one response to a request. The first call decides; later ones, and those after the client has
// disconnected, have no effect.
class Responder {
 public:
  virtual ~Responder() = default;
  // The backend's response. A body larger than `response` carries goes on in `body_stream`, which is null
  // otherwise; `body_length` is the length of the whole body in bytes, if known.
  virtual void SendResponse(HttpResponse response, std::shared_ptr<BodySource> body_stream,
                            std::optional<std::uint64_t> body_length) = 0;
  // 503: the request was rejected before it ran. Retry-After is sent if `retry_after` is positive.
  virtual void SendUnavailable(Duration retry_after) = 0;
  // 502: an attempt failed after it may have run.
  virtual void SendBadGateway() = 0;
  // The 4xx with which a backend rejected the request itself.
  virtual void SendClientError(boost::beast::http::status status) = 0;
};

// Handles the requests that clients send. No call may throw.
class RequestHandler {
 public:
  virtual ~RequestHandler() = default;
  // A request has been read. May respond from within the call. The result names it in OnClientDisconnected.
  virtual RequestId OnRequest(ClientRequest request, std::shared_ptr<Responder> responder) = 0;
  // The client has disconnected before its response, or its body upload has failed.
  virtual void OnClientDisconnected(RequestId request) = 0;
  // What `GET /ready` reports.
  virtual bool Ready() const = 0;
  // Whether a request with this Req-Id has no response yet or still has an attempt in flight.
  virtual bool IsRequestOpen(std::string_view id) const = 0;
};

}  // namespace copperpoint::proxy

#endif  // COPPERPOINT_PROXY_DOWNSTREAM_REQUEST_HANDLER_H_
