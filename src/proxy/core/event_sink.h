// SPDX-License-Identifier: Apache-2.0
//
// Where the parts of the proxy send the events that decisions follow from.
#ifndef COPPERPOINT_PROXY_CORE_EVENT_SINK_H_
#define COPPERPOINT_PROXY_CORE_EVENT_SINK_H_

#include "copperpoint/balancer.h"

namespace copperpoint::proxy {

class EventSink {
 public:
  virtual ~EventSink() = default;
  // Hands the event to the Balancer: at once, or after the events that are being handled if this is called
  // while actions are carried out.
  virtual void Dispatch(Event event) = 0;
};

}  // namespace copperpoint::proxy

#endif  // COPPERPOINT_PROXY_CORE_EVENT_SINK_H_
