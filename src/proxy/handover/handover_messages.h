// SPDX-License-Identifier: Apache-2.0
//
// The messages between two processes of one proxy, as types, and their form on the wire. This is the one
// place that knows that form; an old and a new version of the program exchange it, so its bytes are fixed.
//
//   successor -> predecessor   "take ADDRESS:PORT", the request for the listening socket
//   predecessor -> successor   HandoverState as JSON, with the listening socket beside it, once
//   predecessor -> successor   DescriptorReport as JSON, repeatedly until it exits
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
  std::string id;  // discovery's, since the two processes need not number backends alike
  int ejection_multiplier = 0;
  Duration ejection_remaining{0};
  double slow_start_work = 0;  // ms
};

struct HandoverState {
  int descriptors = 0;  // that the predecessor holds
  std::vector<BackendHandoverState> backends;
};

// How many descriptors the predecessor holds now.
struct DescriptorReport {
  int descriptors = 0;
};

// A HandoverState as far as it could be read. Without it the successor has to observe for itself, so that a
// part is better than nothing.
struct DecodedHandoverState {
  std::optional<int> descriptors;
  std::vector<BackendHandoverState> backends;  // those before the fault
  std::string error;                           // what could not be read; empty: all of it was
};

std::string EncodeListenerRequest(const boost::asio::ip::tcp::endpoint& listen);
std::string EncodeHandoverState(const HandoverState& state);
std::string EncodeDescriptorReport(const DescriptorReport& report);

// `is_known`: whether this process has a backend of that id; the entries of others are skipped unread.
DecodedHandoverState DecodeHandoverState(const std::string& text,
                                         const std::function<bool(const std::string& id)>& is_known);
// Nothing if the text is no report.
std::optional<DescriptorReport> DecodeDescriptorReport(const std::string& text);

}  // namespace copperpoint::proxy

#endif  // COPPERPOINT_PROXY_HANDOVER_HANDOVER_MESSAGES_H_
