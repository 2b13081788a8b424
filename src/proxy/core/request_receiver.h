// SPDX-License-Identifier: Apache-2.0
//
// Takes requests from the client connections and reports them to the Balancer.
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

// Owns no state: open requests are the RequestTable's.
class RequestReceiver {
 public:
  RequestReceiver(const BalancerClock& clock, RequestTable& requests, BackendPool& backends,
                  EventSink& events);

  // The responder gets the one final answer, which may come from within this call.
  RequestId OnRequest(ClientRequest request, std::shared_ptr<Responder> responder);
  // The request gets no answer any more. An attempt whose connection is still being established is not
  // written; one that is under way reports its result to the Balancer as usual.
  void OnClientDisconnected(RequestId request);

 private:
  const BalancerClock& clock_;
  RequestTable& requests_;
  BackendPool& backends_;
  EventSink& events_;
};

}  // namespace copperpoint::proxy

#endif  // COPPERPOINT_PROXY_CORE_REQUEST_RECEIVER_H_
