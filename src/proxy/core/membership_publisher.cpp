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
  const MembershipHost::Member self{config.name, zone < config.zones.size() ? config.zones[zone] : "",
                                    COPPERPOINT_VERSION, config.operator_settings_version};
  host_ = std::make_unique<MembershipHost>(io, config.fleet, self, config.seed ^ std::random_device()(),
                                           std::move(on_ring_offset));
}

void MembershipPublisher::Publish(Lifecycle::State state) {
  if (!host_) return;
  switch (state) {
    case Lifecycle::State::kStarting:
      return host_->SetState(membership::MemberState::kStarting);
    case Lifecycle::State::kReady:
      host_->OnServing();
      return host_->SetState(membership::MemberState::kServing);
    case Lifecycle::State::kDrainingNotStarted:
    case Lifecycle::State::kDraining:
      return host_->SetState(membership::MemberState::kDraining);
    case Lifecycle::State::kShuttingDown:
      return;  // Leave has been called
  }
}

void MembershipPublisher::Leave() {
  if (host_) host_->Leave();
}

void MembershipPublisher::OnRequestCompleted(const CompletedRequest& request) {
  if (!host_) return;
  RequestCounts::Sample sample;
  sample.request_class = request.request_class;
  sample.tenant = static_cast<std::uint32_t>(request.tenant + 1);
  sample.outcome = request.outcome;
  sample.before_deadline = request.before_deadline;
  sample.attempts = request.attempts;
  sample.duration_ms = request.elapsed.count();
  host_->counts().Record(sample);
}

}  // namespace copperpoint::proxy
