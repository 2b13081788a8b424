// SPDX-License-Identifier: Apache-2.0
//
// Upgrades a proxy without losing a connection: takes the listener over from the older process of this proxy,
// and later hands it over to the next one.
#ifndef COPPERPOINT_PROXY_HANDOVER_HANDOVER_COORDINATOR_H_
#define COPPERPOINT_PROXY_HANDOVER_HANDOVER_COORDINATOR_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "copperpoint/balancer.h"
#include "proxy/clock.h"
#include "proxy/config/operator_settings.h"
#include "proxy/core/descriptor_budget.h"
#include "proxy/core/endpoint_table.h"
#include "proxy/core/event_sink.h"
#include "proxy/handover/discovery_reload_message.h"
#include "proxy/handover/endpoint_list_exchange.h"
#include "proxy/handover/handover_client.h"
#include "proxy/handover/handover_server.h"
#include "proxy/lifecycle/lifecycle.h"
#include "proxy/upstream/backend_pool.h"

namespace copperpoint::proxy {

// Controls the client connections of the process during a handover.
class ListenerOwner {
 public:
  virtual ~ListenerOwner() = default;
  // Starts to accept clients at `listener`, the listening socket that was received, and takes ownership of
  // it; OwnedDescriptor::kNone: opens a socket. Throws boost::system::system_error if it cannot listen.
  virtual void StartAccepting(int listener) = 0;
  // Stops accepting clients. Returns the listening socket but keeps its ownership; nothing if it is closed.
  virtual std::optional<int> ReleaseListener() = 0;
  // Resumes accepting clients.
  virtual void ReclaimListener() = 0;
  virtual void SetClientLimit(std::size_t connections) = 0;
  virtual std::size_t client_connections() const = 0;
};

// Where this process finds discovery.
class DiscoveryLocator {
 public:
  virtual ~DiscoveryLocator() = default;
  // @return the reload that has set discovery's address; nullopt: the address is that of the start.
  virtual std::optional<DiscoveryReload> last_reload() const = 0;
  // To be called when the other process was reloaded. Moves discovery unless this process knows better.
  virtual void OnPredecessorReload(const DiscoveryReload& reload) = 0;
};

// Owns the connections to the predecessor and to the successor, and the phase of this process between them:
//
//   kWaitingForEndpoints -- endpoint list or timeout --> kRequested   (asks for the listener)
//   kRequested -- received or failed ------------------> kServing     (a successor may connect)
//
// A process without a predecessor begins in kServing. The predecessor serves for as long as this process
// waits for discovery's list, since the list that this process was started with may be out of date. Where
// discovery does not answer, the predecessor's list comes with the listener.
class HandoverCoordinator : private HandoverServer::Delegate, private HandoverClient::Observer {
 public:
  using ExportState = std::function<std::vector<BackendSnapshot>()>;
  struct Options {
    std::string socket_path;  // empty: no handover to or from this process
    boost::asio::ip::tcp::endpoint listen;
    UpgradeTimeouts timeouts;
  };
  // The components that the coordinator uses; all of them must outlive it.
  struct Context {
    ListenerOwner& listener;
    const Lifecycle& lifecycle;
    const DescriptorBudget& budget;
    EndpointTable& endpoints;
    EndpointListStore& endpoint_list;
    DiscoveryLocator& discovery;
    BackendPool& backends;
    EventSink& events;
  };

  HandoverCoordinator(boost::asio::io_context& io, Options options, const Context& context,
                      ExportState export_state);
  ~HandoverCoordinator() override = default;
  HandoverCoordinator(const HandoverCoordinator&) = delete;
  HandoverCoordinator& operator=(const HandoverCoordinator&) = delete;

  // Takes over from a predecessor, by a call of StartAccepting, once discovery's list has arrived or the wait
  // for it has timed out. Returns false if there is no predecessor.
  bool TakeOverFromPredecessor();
  // To be called for each list from discovery that has been applied.
  // @param serviceable whether any list has named a backend, so that this process could serve.
  void OnDiscoveryList(std::uint64_t revision, bool serviceable);
  // To be called when this process accepts clients: a successor may then connect.
  void AwaitSuccessor();
  // Tells the other processes of this proxy, if any, what has changed in this one: the descriptors in use,
  // the endpoint list and the address of discovery. To be called regularly.
  void SyncWithPeers();
  // To be called when the process shuts down: stops waiting to request the listener.
  void Cancel();

 private:
  enum class Phase { kServing, kWaitingForEndpoints, kRequested };

  std::optional<HandoverServer::Grant> OnListenerRequested() override;
  void OnSuccessorEndpoints(const ReceivedMessage& message) override;
  void OnSuccessorExited() override;

  void OnPredecessorEndpoints(const ReceivedMessage& message) override;
  void OnPredecessorReloaded(const DiscoveryReload& reload) override;
  void OnListenerReceived(OwnedDescriptor listener, const std::string& encoded_state) override;
  void OnHandoverFailed(HandoverError error) override;
  void OnDescriptorReport(const DescriptorReport& report) override;
  void OnPredecessorExited() override;

  void ShareDiscoveryReload();
  void RequestListenerAfter(std::chrono::milliseconds wait);
  void RequestListener();
  void StartAccepting(int listener);
  void RestoreState(const std::string& encoded_state);
  void LimitConnections(int other_descriptors);
  int DescriptorsInUse() const;
  std::vector<BackendHandoverState> ExportBackends() const;

  boost::asio::io_context& io_;
  const Options options_;
  const Context context_;
  ExportState export_state_;
  Phase phase_ = Phase::kServing;
  boost::asio::steady_timer endpoints_timer_;
  EndpointListExchange endpoint_lists_;
  std::unique_ptr<HandoverClient> predecessor_;
  std::unique_ptr<HandoverServer> successor_;
  std::optional<Steady::time_point> reload_shared_;  // time of the reload that the successor has been told
};

}  // namespace copperpoint::proxy

#endif  // COPPERPOINT_PROXY_HANDOVER_HANDOVER_COORDINATOR_H_
