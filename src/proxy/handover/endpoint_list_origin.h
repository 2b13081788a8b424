// SPDX-License-Identifier: Apache-2.0
//
// Where the endpoint list that a process uses comes from, and whether a list of the proxy's other process is
// newer.
#ifndef COPPERPOINT_PROXY_HANDOVER_ENDPOINT_LIST_ORIGIN_H_
#define COPPERPOINT_PROXY_HANDOVER_ENDPOINT_LIST_ORIGIN_H_

#include <chrono>
#include <cstdint>
#include <optional>

#include "proxy/clock.h"

namespace copperpoint::proxy {

// Which of the proxy's processes has handed a list over, as seen from this one.
enum class HandoverPeer { kPredecessor, kSuccessor };

// The origin only advances:
//
//   kConfiguration -- a list of the other process --> kPredecessor   (kDiscovery, if the successor's)
//   any of them ----- a message from discovery -----> kDiscovery
//
// A list of the other process is used
//   in kConfiguration: always, since the configuration's list may be out of date;
//   in kPredecessor:   if the predecessor received it later, whatever its revision, since discovery may count
//   anew; in kDiscovery:     if its revision is higher, unless the present list was received kMaxTellingTime
//   or more
//                      after it. Discovery had told the same change here by then, so that the higher revision
//                      is of an earlier count.
class EndpointListOrigin {
 public:
  // Discovery tells each change within this time.
  static constexpr std::chrono::milliseconds kMaxTellingTime{6000};

  // To be called for each list that is applied.
  void OnDiscoveryList(std::uint64_t revision, Steady::time_point received_at);
  void OnHandedOverList(std::uint64_t revision, Steady::time_point received_at, HandoverPeer peer);

  // @param received_at when the other process received the list from discovery.
  // @return whether that list is newer than the present one.
  bool IsSupersededBy(std::uint64_t revision, Steady::time_point received_at, HandoverPeer peer) const;

  // @return when this proxy received the last change of the present list from discovery; nullopt: the list is
  //     that of the configuration, which the other process has no use for.
  std::optional<Steady::time_point> received_at() const;

 private:
  enum class Source { kConfiguration, kPredecessor, kDiscovery };

  Source source_ = Source::kConfiguration;
  std::uint64_t revision_ = 0;
  Steady::time_point received_at_{};
};

}  // namespace copperpoint::proxy

#endif  // COPPERPOINT_PROXY_HANDOVER_ENDPOINT_LIST_ORIGIN_H_
