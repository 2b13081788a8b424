// SPDX-License-Identifier: Apache-2.0
#include "proxy/core/membership_publisher.h"

#include <cstddef>
#include <cstdint>
#include <random>
#include <utility>

namespace copperpoint::proxy {

void MembershipPublisher::Join(boost::asio::io_context& io, const Config& config,
                               std::function<void(double)> on_ring_offset) {
  const auto zone = static_cast<std::size_t>(config.settings.zone);
  const FleetSelf self{config.name, zone < config.zones.size() ? config.zones[zone] : "", COPPERPOINT_VERSION,
                       config.operator_settings_version};
  host_ = std::make_unique<MembershipHost>(io, config.fleet, self, config.seed ^ std::random_device()(),
                                           std::move(on_ring_offset));
}

void MembershipPublisher::Publish(Lifecycle::State state) {
  if (!host_) return;
  switch (state) {
    case Lifecycle::State::kStarting:
      return host_->SetState(membership::State::kStarting);
    case Lifecycle::State::kReady:
      host_->Ready();
      return host_->SetState(membership::State::kServing);
    case Lifecycle::State::kDrainingNotStarted:
    case Lifecycle::State::kDraining:
      return host_->SetState(membership::State::kDraining);
    case Lifecycle::State::kShuttingDown:
      return;  // it has left
  }
}

void MembershipPublisher::Leave() {
  if (host_) host_->Leave();
}

void MembershipPublisher::OnRequestCompleted(const CompletedRequest& request) {
  if (!host_) return;
  // The counts number tenants from 1; 0 is a request without one.
  host_->counts().Record(request.request_class, static_cast<std::uint32_t>(request.tenant + 1),
                         request.outcome, request.before_deadline, request.attempts, request.elapsed.count());
}

}  // namespace copperpoint::proxy
