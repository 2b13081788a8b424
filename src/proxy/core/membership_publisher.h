// SPDX-License-Identifier: Apache-2.0
//
// What this process publishes of itself to the other proxies: its state and what it has served.
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

// Owns this proxy's part in the membership. Without Join, for a proxy that talks to no other, every call does
// nothing.
class MembershipPublisher : public RequestObserver {
 public:
  // `on_ring_offset` as for MembershipHost, which says what is thrown.
  void Join(boost::asio::io_context& io, const Config& config, std::function<void(double)> on_ring_offset);
  void Publish(Lifecycle::State state);
  // The process shuts down: the others are notified, and the address is free for a successor.
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
