// SPDX-License-Identifier: Apache-2.0
//
// Receives requests and disconnects from the client connections and reports them to the Balancer.
#ifndef COPPERPOINT_PROXY_CORE_REQUEST_RECEIVER_H_
#define COPPERPOINT_PROXY_CORE_REQUEST_RECEIVER_H_

#include <memory>

#include "copperpoint/balancer.h"
#include "proxy/clock.h"
#include "proxy/core/event_sink.h"
#include "proxy/core/request_table.h"
#include "proxy/downstream/request_handler.h"
#include "proxy/upstream/backend_pool.h"

namespace copperpoint::proxy {

// Owns no state: RequestTable owns the open requests.
class RequestReceiver {
 public:
  RequestReceiver(const BalancerClock& clock, RequestTable& requests, BackendPool& backends,
                  EventSink& events);

  // `responder` gets the final response, possibly within this call. @return the id of the request.
  RequestId OnRequest(ClientRequest request, std::shared_ptr<Responder> responder);
  // Completes the request without a response. An attempt that is not completely written is cancelled; one
  // that is written reports its result to the Balancer as usual.
  void OnClientDisconnected(RequestId request);

 private:
  const BalancerClock& clock_;
  RequestTable& requests_;
  BackendPool& backends_;
  EventSink& events_;
};

}  // namespace copperpoint::proxy

#endif  // COPPERPOINT_PROXY_CORE_REQUEST_RECEIVER_H_
