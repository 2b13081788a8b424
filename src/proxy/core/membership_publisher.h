// SPDX-License-Identifier: Apache-2.0
//
// Publishes this process's lifecycle state and request counts to the other proxies.
#ifndef COPPERPOINT_PROXY_CORE_MEMBERSHIP_PUBLISHER_H_
#define COPPERPOINT_PROXY_CORE_MEMBERSHIP_PUBLISHER_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>

#include "proxy/config/config.h"
#include "proxy/core/request_table.h"
#include "proxy/lifecycle/lifecycle.h"
#include "proxy/membership/membership_host.h"

namespace copperpoint::proxy {

// Owns the MembershipHost. Until Join is called, and so in a proxy without a fleet, every other call has no
// effect.
class MembershipPublisher : public RequestObserver {
 public:
  // Creates the MembershipHost, whose constructor documents `on_ring_offset` and the exceptions thrown.
  void Join(boost::asio::io_context& io, const Config& config, std::function<void(double)> on_ring_offset);
  void Publish(Lifecycle::State state);
  // Notifies the other proxies that this process shuts down, and frees the address for a successor.
  void Leave();

  void OnRequestCompleted(const CompletedRequest& request) override;

  // Null unless joined.
  MembershipHost* host() { return host_.get(); }
  const MembershipHost* host() const { return host_.get(); }

 private:
  std::unique_ptr<MembershipHost> host_;
};

}  // namespace copperpoint::proxy

#endif  // COPPERPOINT_PROXY_CORE_MEMBERSHIP_PUBLISHER_H_
