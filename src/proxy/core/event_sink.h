// SPDX-License-Identifier: Apache-2.0
//
// Interface by which the components of the proxy report events to the Balancer.
#ifndef COPPERPOINT_PROXY_CORE_EVENT_SINK_H_
#define COPPERPOINT_PROXY_CORE_EVENT_SINK_H_

#include "copperpoint/balancer.h"

namespace copperpoint::proxy {

class EventSink {
 public:
  virtual ~EventSink() = default;
  // Passes the event to the Balancer: within the call or, if actions are being executed, after the events
  // that are already queued.
  virtual void Dispatch(Event event) = 0;
};

}  // namespace copperpoint::proxy

#endif  // COPPERPOINT_PROXY_CORE_EVENT_SINK_H_
