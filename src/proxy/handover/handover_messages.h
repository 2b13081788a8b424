// SPDX-License-Identifier: Apache-2.0
//
// The messages between two processes of one proxy, and their encoding, which no other file knows. The bytes
// are fixed, since an old and a new version of the program exchange them.
//
//   successor -> predecessor   "take ADDRESS:PORT", the request for the listening socket
//   predecessor -> successor   HandoverState as JSON, with the listening socket beside it, once
//   predecessor -> successor   DescriptorReport as JSON, repeatedly until it exits
//   either -> the other        its endpoint list (endpoint_list_message.h): the predecessor's right after its
//                              HandoverState, then those of both whenever they have changed
//   predecessor -> successor   the address that a reload has moved discovery to (discovery_reload_message.h)
//
// A version that does not know the last two neither announces nor sends them, and ignores them on arrival.
#ifndef COPPERPOINT_PROXY_HANDOVER_HANDOVER_MESSAGES_H_
#define COPPERPOINT_PROXY_HANDOVER_HANDOVER_MESSAGES_H_

#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "copperpoint/balancer.h"

namespace copperpoint::proxy {

// What the predecessor has observed of one backend; the fields are those of BackendSnapshot.
struct BackendHandoverState {
  std::string id;  // discovery's id, since the two processes need not number backends alike
  int ejection_multiplier = 0;
  Duration ejection_remaining{0};
  double slow_start_work = 0;  // ms
};

struct HandoverState {
  int descriptors = 0;  // file descriptors that the predecessor holds
  std::vector<BackendHandoverState> backends;
  bool endpoint_list_follows = false;  // the next message is the predecessor's endpoint list
};

// How many file descriptors the predecessor holds now.
struct DescriptorReport {
  int descriptors = 0;
};

// The part of a HandoverState that could be decoded. The successor uses an incomplete state too, since what
// is missing it has to observe for itself.
struct DecodedHandoverState {
  std::optional<int> descriptors;
  std::vector<BackendHandoverState> backends;  // those before the first entry that could not be decoded
  std::string error;                           // why decoding stopped; empty: it is complete
};

std::string EncodeListenerRequest(const boost::asio::ip::tcp::endpoint& listen);
std::string EncodeHandoverState(const HandoverState& state);
std::string EncodeDescriptorReport(const DescriptorReport& report);

// `is_known` returns whether this process has a backend of that id; entries of others are skipped undecoded.
DecodedHandoverState DecodeHandoverState(const std::string& text,
                                         const std::function<bool(const std::string& id)>& is_known);
// Returns whether the state announces the predecessor's endpoint list; false for a text that is not a state.
bool EndpointListFollows(const std::string& text);
// Returns nothing if the text is not a descriptor report.
std::optional<DescriptorReport> DecodeDescriptorReport(const std::string& text);

}  // namespace copperpoint::proxy

#endif  // COPPERPOINT_PROXY_HANDOVER_HANDOVER_MESSAGES_H_
