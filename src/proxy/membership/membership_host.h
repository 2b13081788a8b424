// SPDX-License-Identifier: Apache-2.0
//
// Runs the membership (src/membership) in this proxy: provides time and sockets, and connects it with the
// components that rely on it, the rollout agent and the subset of backends. Makes no decisions of its own.
#ifndef COPPERPOINT_PROXY_MEMBERSHIP_MEMBERSHIP_HOST_H_
#define COPPERPOINT_PROXY_MEMBERSHIP_MEMBERSHIP_HOST_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "membership/membership.h"
#include "proxy/admin/admin_handler.h"
#include "proxy/membership/peer_socket.h"
#include "proxy/membership/request_counts.h"
#include "proxy/membership/rollout_host.h"
#include "proxy/membership/settings.h"
#include "subsetting/ring_position.h"

namespace copperpoint::proxy {

// Owns the membership's state and the sockets of the members.
class MembershipHost : private PeerSocket::Observer {
 public:
  // What a proxy publishes about itself.
  struct Member {
    std::string name, zone;
    std::string program_version;
    std::string settings_version;  // of the operator's file
  };

  // The most descriptors that the host holds at a time.
  static constexpr int kMaxDescriptors = PeerSocket::kMaxDescriptors;

  // Throws ConfigError if the key or the seeds cannot be used, or if a field is too long for a message. While
  // another process holds the address, as in an upgrade, the host waits for it. `on_ring_offset` is called
  // with this proxy's offset on the ring of backends when it changes; without seeds, the constructor already
  // calls it.
  MembershipHost(boost::asio::io_context& io, const FleetSettings& settings, const Member& self,
                 std::uint64_t seed, std::function<void(double ring_offset)> on_ring_offset);

  void SetState(membership::MemberState state);
  // Notifies the members that this one leaves, and closes the sockets.
  void Leave();

  // To be called when this process serves clients; notifies the supervisor once.
  void OnServing() { rollout_.OnServing(); }
  // Returns the counts of completed requests, for rollouts.
  RequestCounts& counts() { return rollout_.counts(); }

  // ---- admin calls ----
  std::string StatusJson() const;
  static bool IsRolloutCall(std::string_view target) { return RolloutHost::IsRolloutCall(target); }
  // Returns nothing if there is no such call.
  std::optional<AdminHandler::FleetCallResult> HandleRolloutCall(
      const AdminHandler::FleetCallRequest& request);

 private:
  void OnOpen() override;
  void OnDatagram(const std::string& from, std::string_view frame) override;
  std::string OnExchange(std::string_view frame) override;
  void OnReply(std::string_view frame) override;

  // To be called after every event: carries out the resulting output and sets the timer.
  void ProcessOutput();
  void ExchangeWithRollout();
  void PublishFromRollout();
  bool DeliverToRollout(const membership::Output& output);
  void ReportMembershipContact();
  void UpdateRingOffset();
  void ScheduleTick();

  bool IsLiving(const std::string& name) const;
  std::vector<rollout::MemberInfo> LivingMembers() const;

  const std::string cluster_;
  PeerSocket socket_;
  const std::vector<std::string> seeds_;
  membership::Membership membership_;
  const bool subsets_enabled_;
  subsetting::RingPosition ring_position_;
  std::optional<double> ring_offset_;  // the one published last
  std::function<void(double)> on_ring_offset_;
  RolloutHost rollout_;
  boost::asio::steady_timer tick_timer_;
  bool left_ = false;
};

}  // namespace copperpoint::proxy

#endif  // COPPERPOINT_PROXY_MEMBERSHIP_MEMBERSHIP_HOST_H_
