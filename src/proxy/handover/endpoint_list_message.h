// SPDX-License-Identifier: Apache-2.0
//
// The endpoint list of one process of a proxy, as the other process receives it: a short message that says
// when discovery sent the list, and a sealed memory file with the list in discovery's form.
#ifndef COPPERPOINT_PROXY_HANDOVER_ENDPOINT_LIST_MESSAGE_H_
#define COPPERPOINT_PROXY_HANDOVER_ENDPOINT_LIST_MESSAGE_H_

#include <cstddef>
#include <optional>
#include <string>

#include "proxy/clock.h"
#include "proxy/discovery/endpoints.h"
#include "proxy/handover/message_socket.h"

namespace copperpoint::proxy {

// A longer list is not handed over. Discovery's own messages are limited to as much.
inline constexpr std::size_t kMaxEndpointListBytes = std::size_t{8} * 1024 * 1024;

// A list of all endpoints, and when this proxy received its last change from discovery. Both processes run on
// one machine and read the same steady clock.
struct HandedOverEndpoints {
  EndpointList list;
  Steady::time_point received_at;
};

// An encoded list, ready to be sent. The descriptor goes with the text in one message.
struct EndpointListMessage {
  std::string text;
  OwnedDescriptor contents;
};

// Returns nothing if the list is longer than kMaxEndpointListBytes, or the system has no memory or descriptor
// left for it.
std::optional<EndpointListMessage> EncodeEndpointListMessage(const HandedOverEndpoints& endpoints);

// Returns whether a message announces an endpoint list, valid or not.
bool IsEndpointListMessage(const std::string& text);

// Returns nothing, with the reason in `error`, unless the message and each entry of its list are well formed.
std::optional<HandedOverEndpoints> DecodeEndpointListMessage(const ReceivedMessage& message,
                                                             std::string* error);

}  // namespace copperpoint::proxy

#endif  // COPPERPOINT_PROXY_HANDOVER_ENDPOINT_LIST_MESSAGE_H_
