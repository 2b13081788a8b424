// SPDX-License-Identifier: Apache-2.0
//
// The two interfaces between client connections and the proxy core: RequestHandler handles the requests,
// Responder sends the response to one of them.
#ifndef COPPERPOINT_PROXY_DOWNSTREAM_REQUEST_HANDLER_H_
#define COPPERPOINT_PROXY_DOWNSTREAM_REQUEST_HANDLER_H_

#include <boost/beast/http/status.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>

#include "copperpoint/balancer.h"
#include "proxy/http/client_request.h"

namespace copperpoint::proxy {

// Sends the response to one request. Only the first call has an effect; later calls, and calls after the
// client has disconnected, are ignored.
class Responder {
 public:
  virtual ~Responder() = default;
  // Forwards the backend's response. `body_stream` yields the rest of a body that is not complete in
  // `response`, and is null otherwise; `body_length` is the length of the whole body in bytes, if known.
  virtual void SendResponse(HttpResponse response, std::shared_ptr<BodySource> body_stream,
                            std::optional<std::uint64_t> body_length) = 0;
  // Sends 503: the request was rejected and has not run. Retry-After is sent if `retry_after` is positive.
  virtual void SendUnavailable(Duration retry_after) = 0;
  // Sends 502: an attempt failed, and the request may have run.
  virtual void SendBadGateway() = 0;
  // Sends the 4xx status with which a backend rejected the request itself.
  virtual void SendClientError(boost::beast::http::status status) = 0;
};

// Handles the requests of clients. Implementations must not throw.
class RequestHandler {
 public:
  virtual ~RequestHandler() = default;
  // A request has been read. May respond within the call. @return the id that OnClientDisconnected passes.
  virtual RequestId OnRequest(ClientRequest request, std::shared_ptr<Responder> responder) = 0;
  // The client disconnected before its response was sent, or the upload of its request body failed.
  virtual void OnClientDisconnected(RequestId request) = 0;
  // @return whether `GET /ready` reports the proxy as ready.
  virtual bool Ready() const = 0;
  // @return whether a request with this Req-Id has no response yet or still has an attempt in flight.
  virtual bool IsRequestOpen(std::string_view id) const = 0;
};

}  // namespace copperpoint::proxy

#endif  // COPPERPOINT_PROXY_DOWNSTREAM_REQUEST_HANDLER_H_
