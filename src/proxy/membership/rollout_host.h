// SPDX-License-Identifier: Apache-2.0
//
// Runs this proxy's rollout agent (src/rollout): connects it with the supervisor, the counts of requests, the
// log and the admin interface. MembershipHost passes the messages and documents between the agent and the
// other members.
#ifndef COPPERPOINT_PROXY_MEMBERSHIP_ROLLOUT_HOST_H_
#define COPPERPOINT_PROXY_MEMBERSHIP_ROLLOUT_HOST_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "membership/options.h"
#include "proxy/admin/admin_handler.h"
#include "proxy/membership/request_counts.h"
#include "proxy/membership/supervisor_link.h"
#include "rollout/agent.h"

namespace copperpoint::proxy {

// Owns the agent, the connection to the supervisor and the counts.
class RolloutHost {
 public:
  struct Member {
    std::string name;
    std::uint64_t incarnation = 0;  // of this process
  };
  // Returns the living members, this one included.
  using LivingMembers = std::function<std::vector<rollout::MemberInfo>()>;
  struct Callbacks {
    std::function<bool(const std::string& name)> is_living;  // whether a member of that name is living
    LivingMembers living_members;
    std::function<void()> on_output;  // TakeOutput has output that no call from outside has caused
  };

  static bool IsRolloutCall(std::string_view target);

  RolloutHost(boost::asio::io_context& io, const Member& self, Callbacks callbacks);

  // ---- from the membership ----
  // Returns whether a later version of a document may be accepted from other members.
  bool AcceptsDocument(std::uint32_t topic, std::uint64_t version) const {
    return agent_.AcceptsDocument(topic, version);
  }
  void OnMessage(membership::Time now, const std::string& from, const std::string& body);
  void OnDocument(membership::Time now, std::uint32_t topic, std::uint64_t version, const std::string& body);
  void OnTick(membership::Time now);
  membership::Time next_tick() const { return agent_.next_tick_at(); }
  // Returns the output for other members. Logs the events and notifies the supervisor before it returns.
  rollout::Agent::Output TakeOutput();

  // ---- from this process ----
  void OnServing();  // this process serves clients; only the first call has an effect
  void OnLeft();     // this process shuts down
  // This process is in contact with other members; only the first call has an effect.
  void OnConnected();
  RequestCounts& counts() { return counts_; }

  // ---- from the admin interface: targets of which IsRolloutCall is true ----
  // Returns nothing if there is no such call. After a POST, TakeOutput must be called.
  std::optional<AdminHandler::FleetCallResult> Handle(membership::Time now,
                                                      const AdminHandler::FleetCallRequest& request);

 private:
  rollout::Agent::Identity AgentIdentity(const Member& self) const;
  rollout::wire::MemberReport Report() const;
  std::optional<AdminHandler::FleetCallResult> HandleGet(membership::Time now, std::string_view call) const;
  std::optional<AdminHandler::FleetCallResult> HandlePost(membership::Time now, std::string_view call,
                                                          const std::string& body);
  std::string StatusJson(membership::Time now) const;
  std::optional<rollout::CommandFailure> Start(membership::Time now, const std::string& plan);

  const Callbacks callbacks_;
  const membership::Time started_at_;
  RequestCounts counts_;
  bool serving_ = false, left_ = false, connected_ = false;
  std::unique_ptr<SupervisorLink> supervisor_;  // null if no supervisor started this process
  rollout::Agent agent_;
};

}  // namespace copperpoint::proxy

#endif  // COPPERPOINT_PROXY_MEMBERSHIP_ROLLOUT_HOST_H_
