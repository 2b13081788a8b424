// SPDX-License-Identifier: Apache-2.0
#include "proxy/handover/endpoint_list_origin.h"

namespace copperpoint::proxy {

void EndpointListOrigin::OnDiscoveryList(std::uint64_t revision, Steady::time_point received_at) {
  source_ = Source::kDiscovery;
  revision_ = revision;
  received_at_ = received_at;
}

void EndpointListOrigin::OnHandedOverList(std::uint64_t revision, Steady::time_point received_at,
                                          HandoverPeer peer) {
  const bool first = source_ == Source::kConfiguration;
  if (first) source_ = peer == HandoverPeer::kPredecessor ? Source::kPredecessor : Source::kDiscovery;
  revision_ = revision;
  received_at_ = received_at;
}

bool EndpointListOrigin::IsSupersededBy(std::uint64_t revision, Steady::time_point received_at,
                                        HandoverPeer peer) const {
  if (source_ == Source::kConfiguration) return true;
  if (source_ == Source::kPredecessor && peer == HandoverPeer::kPredecessor)
    return received_at > received_at_;
  return revision > revision_ && received_at_ - received_at < kMaxTellingTime;
}

std::optional<Steady::time_point> EndpointListOrigin::received_at() const {
  if (source_ == Source::kConfiguration) return std::nullopt;
  return received_at_;
}

}  // namespace copperpoint::proxy
