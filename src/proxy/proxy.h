// SPDX-License-Identifier: Apache-2.0
//
// The composition root: creates the components of one proxy and connects them.
#ifndef COPPERPOINT_PROXY_PROXY_H_
#define COPPERPOINT_PROXY_PROXY_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "copperpoint/balancer.h"
#include "proxy/admin/admin_server.h"
#include "proxy/clock.h"
#include "proxy/config/config.h"
#include "proxy/control/disabled_backends.h"
#include "proxy/core/action_executor.h"
#include "proxy/core/descriptor_budget.h"
#include "proxy/core/endpoint_table.h"
#include "proxy/core/event_dispatcher.h"
#include "proxy/core/membership_publisher.h"
#include "proxy/core/request_receiver.h"
#include "proxy/core/request_table.h"
#include "proxy/discovery/discovery_client.h"
#include "proxy/downstream/client_listener.h"
#include "proxy/handover/handover_coordinator.h"
#include "proxy/lifecycle/lifecycle.h"
#include "proxy/upstream/backend_pool.h"

namespace copperpoint::proxy {

// Owns every component of the proxy and passes the reports of each one to the components that need them:
//
//   ClientListener -- requests --> RequestReceiver --+
//   DiscoveryClient - lists -----> EndpointTable ----+--> EventDispatcher --> Balancer
//   BackendPool ----- results ---> ActionExecutor ---+          |
//                                        ^--------- actions ----+
//
// RequestTable holds the open requests, Lifecycle the state of the process; lifecycle.h describes what
// SIGTERM does to requests in flight. All components run on the thread of the event loop.
class Proxy : public RequestHandler,
              public AdminHandler,
              private ListenerOwner,
              private EndpointListStore,
              private DiscoveryLocator {
 public:
  // Starts to listen, or to take over from the process that listens already, and begins to follow discovery.
  // Throws ConfigError, or boost::system::system_error if it cannot listen.
  Proxy(boost::asio::io_context& io, Config config);
  ~Proxy() override;

  // Applies discovery's address and the time limits of a reloaded configuration; its other values take effect
  // at the next start.
  void Reload(const Config& config);

  // Begins the graceful shutdown that lifecycle.h describes. `done` is called when no client connection is
  // left: from within this call if this process has not begun to accept clients.
  void Stop(std::function<void()> done);

  RequestId OnRequest(ClientRequest request, std::shared_ptr<Responder> responder) override;
  void OnClientDisconnected(RequestId request) override;
  bool IsRequestOpen(std::string_view id) const override { return requests_.IsOpen(id); }
  bool Ready() const override { return lifecycle_.ready(); }

  std::string StateName() const override { return NameOf(lifecycle_.state()); }
  AdminResult Disable(const std::string& backend) override;
  AdminResult Enable(const std::string& backend) override;
  AdminResult Drain() override;
  AdminResult Undrain() override;
  std::optional<std::string> FleetStatus() const override;
  bool IsFleetCall(std::string_view target) const override;
  std::optional<FleetCallResult> FleetCall(const FleetCallRequest& request) override;

  boost::asio::ip::tcp::endpoint address() const { return clients_->address(); }
  boost::asio::ip::tcp::endpoint admin_address() const { return admin_->address(); }
  std::size_t client_connections() const override { return clients_->connection_count(); }
  std::size_t backend_connections() const { return backends_.connection_count(); }
  std::uint64_t last_revision() const { return discovery_.revision(); }
  std::size_t backends_known() const { return backends_.backend_count(); }
  std::size_t open_requests() const { return requests_.size(); }

 private:
  void StartAccepting(int listener) override;
  std::optional<int> ReleaseListener() override { return clients_->ReleaseListener(); }
  void ReclaimListener() override { clients_->ResumeAccepting(); }
  void SetClientLimit(std::size_t connections) override { clients_->SetConnectionLimit(connections); }

  EndpointList ListedEndpoints() const override { return disabled_.ListedEndpoints(); }
  void ApplyHandedOver(const EndpointList& list, Steady::time_point received_at) override;

  std::optional<DiscoveryReload> last_reload() const override { return last_reload_; }
  void OnPredecessorReload(const DiscoveryReload& reload) override;

  void OnDiscoveryList(const EndpointList& list);
  void ApplyEndpointList(const EndpointList& list, EndpointUpdateKind kind);
  AdminResult ApplyDisabledChange(DisabledBackends::ChangeResult result, const EndpointList& changes);
  // Applies what an operator has changed, here or at another process of this proxy.
  void ApplyOperatorChanges(const EndpointList& changes);
  // Passes the lifecycle's draining state to the client connections and the membership.
  void ApplyDraining();
  // Starts the periodic exchange with other processes of this proxy: reads the file of disabled backends, and
  // reports the descriptors in use and the endpoint list over the handover's connection.
  void ScheduleProcessSync();

  boost::asio::io_context& io_;
  Config config_;  // clients' time limits are read from here, so that Reload applies to them
  BalancerClock clock_;
  Balancer balancer_;
  Lifecycle lifecycle_;
  bool has_endpoints_ = false;  // an endpoint list has named a backend
  DisabledBackends disabled_;
  const DescriptorBudget budget_;
  MembershipPublisher membership_;
  RequestTable requests_;
  EventDispatcher dispatcher_;
  boost::asio::steady_timer sync_timer_;
  std::shared_ptr<MemoryBudget> buffer_memory_;  // of client and backend connections together
  BackendPool backends_;
  EndpointTable endpoints_;
  std::unique_ptr<ClientListener> clients_;  // null until this process accepts clients
  DiscoveryClient discovery_;
  std::optional<DiscoveryReload> last_reload_;  // of this process, or of its predecessor
  ActionExecutor executor_;
  RequestReceiver receiver_;
  std::unique_ptr<AdminServer> admin_;  // null if no admin address is configured
  HandoverCoordinator handover_;
};

}  // namespace copperpoint::proxy

#endif  // COPPERPOINT_PROXY_PROXY_H_
