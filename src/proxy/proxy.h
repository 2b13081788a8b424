// SPDX-License-Identifier: Apache-2.0
//
// One proxy: puts its parts together and connects them.
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
#include "proxy/control/disabled.h"
#include "proxy/core/action_executor.h"
#include "proxy/core/descriptor_budget.h"
#include "proxy/core/endpoint_table.h"
#include "proxy/core/event_dispatcher.h"
#include "proxy/core/membership_publisher.h"
#include "proxy/core/request_receiver.h"
#include "proxy/core/request_table.h"
#include "proxy/discovery/discovery.h"
#include "proxy/downstream/clients.h"
#include "proxy/handover/handover_coordinator.h"
#include "proxy/lifecycle/lifecycle.h"
#include "proxy/upstream/backends.h"

namespace copperpoint::proxy {

// Owns every part of the proxy and passes on what one part reports and another needs. What goes where:
//
//   Clients ---- requests ---> RequestReceiver --+
//   Discovery -- lists ------> EndpointTable ----+--> EventDispatcher --> Balancer
//   Backends --- results ----> ActionExecutor ---+          |
//                                    ^---------- actions ---+
//
// The RequestTable has the open requests, Lifecycle the state of the process; see there for what SIGTERM does
// to requests in flight. All of it runs on the thread of the event loop.
class Proxy : public RequestHandler, public OperatorCalls, private ListenerOwner {
 public:
  // Listens, or prepares to take over from the process that listens, and watches discovery from here on.
  // Throws BadConfig, or boost::system::system_error if it can't listen.
  Proxy(boost::asio::io_context& io, Config config);
  ~Proxy() override;

  // Applies discovery's address and the time limits of a configuration that was read anew; the rest of it
  // takes effect at the next start.
  void Reload(const Config& config);

  // Begins the graceful shutdown that Lifecycle describes. `done` is called when no client connection is
  // left, at once if this process has not accepted any.
  void Stop(std::function<void()> done);

  RequestId OnRequest(ClientRequest request, std::shared_ptr<Responder> responder) override;
  void OnClientGone(RequestId request) override;
  bool IsOpen(std::string_view id) const override { return requests_.IsOpen(id); }
  bool Ready() const override { return lifecycle_.ready(); }

  std::string StateName() const override { return NameOf(lifecycle_.state()); }
  Verdict Disable(const std::string& backend) override;
  Verdict Enable(const std::string& backend) override;
  Verdict Drain() override;
  Verdict Undrain() override;
  std::string Fleet() const override;
  bool HasPart(std::string_view path) const override;
  std::optional<Said> Part(const std::string& path, bool post, const std::string& body) override;

  boost::asio::ip::tcp::endpoint address() const { return clients_->address(); }
  boost::asio::ip::tcp::endpoint operator_address() const { return admin_->address(); }
  std::size_t client_connections() const override { return clients_->connections(); }
  std::size_t backend_connections() const { return backends_.connections(); }
  std::uint64_t last_revision() const { return discovery_.revision(); }
  std::size_t backends_known() const { return backends_.known(); }
  std::size_t open_requests() const { return requests_.size(); }

 private:
  void StartAccepting(int listener) override;
  std::optional<int> ReleaseListener() override { return clients_->HandOver(); }
  void ReclaimListener() override { clients_->TakeBack(); }
  void SetClientLimit(std::size_t connections) override { clients_->SetLimit(connections); }

  void OnEndpointList(const MemberList& list, EndpointUpdateKind kind);
  Verdict ApplyOverride(DisabledBackends::Verdict verdict, const MemberList& changes);
  // Sets the client connections and the membership to the draining state that the lifecycle has now.
  void ApplyDraining();
  // Exchanges with other processes of this proxy, repeatedly: the disabled backends by their file, the
  // descriptors in use by the hand-over's connection.
  void ScheduleProcessSync();

  boost::asio::io_context& io_;
  Config config_;  // the clients' limits are read here, so that Reload reaches them
  ModuleClock clock_;
  Balancer balancer_;
  Lifecycle lifecycle_;
  bool has_endpoints_ = false;  // a list has named a backend
  DisabledBackends disabled_;
  const DescriptorBudget budget_;
  MembershipPublisher membership_;
  RequestTable requests_;
  EventDispatcher dispatcher_;
  boost::asio::steady_timer sync_timer_;
  Backends backends_;
  EndpointTable endpoints_;
  std::unique_ptr<Clients> clients_;  // null until this process accepts clients
  Discovery discovery_;
  ActionExecutor executor_;
  RequestReceiver receiver_;
  std::unique_ptr<Operator> admin_;  // null if no address is configured
  HandoverCoordinator handover_;
};

}  // namespace copperpoint::proxy

#endif  // COPPERPOINT_PROXY_PROXY_H_
