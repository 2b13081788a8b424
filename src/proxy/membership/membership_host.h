// SPDX-License-Identifier: Apache-2.0
//
// Hosts this proxy's view of the fleet: the event loop's time and sockets for it, its events for the log, its
// state for the operator. It decides nothing.
#ifndef COPPERPOINT_PROXY_MEMBERSHIP_MEMBERSHIP_HOST_H_
#define COPPERPOINT_PROXY_MEMBERSHIP_MEMBERSHIP_HOST_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "membership/view.h"
#include "peers/transport.h"
#include "proxy/admin/admin_handler.h"
#include "proxy/membership/request_counts.h"
#include "proxy/membership/settings.h"
#include "proxy/membership/supervisor_link.h"
#include "rollout/agent.h"
#include "subsetting/position.h"

namespace copperpoint::proxy {

// What a proxy publishes of itself.
struct FleetSelf {
  std::string name, zone, program, settings;
};

class MembershipHost {
 public:
  // Descriptors that it holds at most: both sockets, and exchanges.
  static constexpr int kDescriptors = 18;

  // Throws ConfigError on a key or a list of seeds that cannot be used, or fields too long to tell. Where the
  // address is still another process's, as in an upgrade, it waits for it. `on_ring_offset` is called with
  // the offset on the ring of backends that this proxy has among those of its zone; where there are no seeds,
  // from the constructor on.
  MembershipHost(boost::asio::io_context& io, const FleetSettings& settings, const FleetSelf& self,
                 std::uint64_t seed, std::function<void(double ring_offset)> on_ring_offset);

  void SetState(membership::State state);
  void Leave();  // notifies the members that it leaves, and closes its sockets
  std::string Json() const;
  // A request's end, for the cohorts of a change.
  RequestCounts& counts() { return counts_; }
  // This process serves; notifies the supervisor once.
  void Ready();

  // Rollout calls of the admin interface: the path behind /rollout, and whether it was a POST. Nothing: no
  // such call.
  std::optional<AdminHandler::FleetCallResult> Rollout(const std::string& what, bool post,
                                                       const std::string& body);

 private:
  void Open();
  void Send(const membership::Output& output);
  void LookAtParts();
  void CarryOut(rollout::Agent::Output output);
  std::vector<rollout::Named> Living() const;
  void Flush();
  void Arm();

  boost::asio::io_context& io_;
  boost::asio::ip::udp::endpoint listen_;
  std::string cluster_;
  std::vector<std::string> seeds_;
  membership::View view_;
  const bool subsets_;
  subsetting::Positions positions_;
  std::optional<double> turn_;  // the last position
  std::function<void(double)> on_ring_offset_;
  RequestCounts counts_;
  std::unique_ptr<SupervisorLink> keeper_;
  rollout::Agent agent_;
  membership::Time began_{};
  bool heard_ = false, ready_ = false;
  std::unique_ptr<peers::Transport> transport_;
  boost::asio::steady_timer timer_;
  bool told_waiting_ = false, left_ = false;
};

}  // namespace copperpoint::proxy

#endif  // COPPERPOINT_PROXY_MEMBERSHIP_MEMBERSHIP_HOST_H_
