// SPDX-License-Identifier: Apache-2.0
#include "proxy/handover/endpoint_list_exchange.h"

#include <string>

#include "log/event_names.h"
#include "log/log.h"

namespace copperpoint::proxy {

void EndpointListExchange::OnDiscoveryList(std::uint64_t revision) {
  origin_.OnDiscoveryList(revision, Steady::now());
}

std::optional<EndpointListMessage> EndpointListExchange::Encode() const {
  const auto received_at = origin_.received_at();
  if (!received_at) return std::nullopt;
  auto message = EncodeEndpointListMessage({store_.ListedEndpoints(), *received_at});
  if (!message) log::Global().Warn(log::events::kUpgradeEndpointsNotSent);
  return message;
}

// A list that cannot be encoded counts as shared, too: it is not encoded again until it changes.
void EndpointListExchange::Share(HandoverPeer peer, EndpointListChannel& channel) {
  const auto received_at = origin_.received_at();
  if (!received_at || Shared(peer) == received_at || !channel.CanSendEndpointList()) return;
  const auto message = Encode();
  if (!message || channel.SendEndpointList(*message)) Shared(peer) = received_at;
}

void EndpointListExchange::OnMessage(HandoverPeer peer, const ReceivedMessage& message) {
  std::string error;
  const auto endpoints = DecodeEndpointListMessage(message, &error);
  if (!endpoints) {
    log::Global().Warn(log::events::kUpgradeStateUnreadable, {{"reason", error}});
    return;
  }
  const std::uint64_t revision = endpoints->list.revision;
  const bool newer = origin_.IsSupersededBy(revision, endpoints->received_at, peer);
  log::Global().Info(log::events::kUpgradeEndpointsReceived,
                     {{"revision", static_cast<std::int64_t>(revision)},
                      {log::fields::kEndpoints, static_cast<std::int64_t>(endpoints->list.endpoints.size())},
                      {"applied", newer}});
  if (!newer) return;
  origin_.OnHandedOverList(revision, endpoints->received_at, peer);
  Shared(peer) = endpoints->received_at;
  store_.ApplyHandedOver(endpoints->list, endpoints->received_at);
}

}  // namespace copperpoint::proxy
