// SPDX-License-Identifier: Apache-2.0
//
// An upgrade without a lost connection: takes over from the process of this proxy that serves already, and
// later hands over to the next one.
#ifndef COPPERPOINT_PROXY_HANDOVER_HANDOVER_COORDINATOR_H_
#define COPPERPOINT_PROXY_HANDOVER_HANDOVER_COORDINATOR_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "copperpoint/balancer.h"
#include "proxy/config/operator_settings.h"
#include "proxy/core/descriptor_budget.h"
#include "proxy/core/endpoint_table.h"
#include "proxy/core/event_sink.h"
#include "proxy/handover/handover_client.h"
#include "proxy/handover/handover_server.h"
#include "proxy/lifecycle/lifecycle.h"
#include "proxy/upstream/backend_pool.h"

namespace copperpoint::proxy {

// The client connections of the process, as a hand-over needs them.
class ListenerOwner {
 public:
  virtual ~ListenerOwner() = default;
  // Accepts clients from here on: at the listening socket that was received, which the owner then owns, or,
  // for OwnedDescriptor::kNone, at one of its own. Throws boost::system::system_error if it can't listen.
  virtual void StartAccepting(int listener) = 0;
  // Accepts no more clients; returns the listening socket, which stays the owner's. Nothing if it is closed.
  virtual std::optional<int> ReleaseListener() = 0;
  // Accepts clients again.
  virtual void ReclaimListener() = 0;
  virtual void SetClientLimit(std::size_t connections) = 0;
  virtual std::size_t client_connections() const = 0;
};

// Owns the connections to the predecessor and to the successor, and the phase of this process between them:
//
//   kWaitingForEndpoints -- endpoint list or timeout --> kRequested   (asks for the listener)
//   kRequested -- received or failed ------------------> kServing     (a successor may connect)
//
// A process without a predecessor begins in kServing. The predecessor serves for as long as this process
// waits for discovery's list, since the list that it was started with may be out of date.
class HandoverCoordinator : private HandoverServer::Delegate, private HandoverClient::Observer {
 public:
  using ExportState = std::function<std::vector<BackendSnapshot>()>;
  struct Options {
    std::string socket_path;  // empty: no hand-over, to or from this process
    boost::asio::ip::tcp::endpoint listen;
    UpgradeTimeouts timeouts;
  };
  // What it works on; all of it must outlive the coordinator.
  struct Context {
    ListenerOwner& listener;
    const Lifecycle& lifecycle;
    const DescriptorBudget& budget;
    EndpointTable& endpoints;
    BackendPool& backends;
    EventSink& events;
  };

  HandoverCoordinator(boost::asio::io_context& io, Options options, const Context& context,
                      ExportState export_state);
  ~HandoverCoordinator() override = default;
  HandoverCoordinator(const HandoverCoordinator&) = delete;
  HandoverCoordinator& operator=(const HandoverCoordinator&) = delete;

  // Takes over from a predecessor, by way of StartAccepting, as soon as discovery's list is here. False:
  // there is none.
  bool TakeOverFromPredecessor();
  // Discovery's list names a backend.
  void OnEndpointsReceived();
  // This process accepts clients: a successor may connect.
  void AwaitSuccessor();
  // Reports to the successor, if any, how many descriptors are in use here.
  void ReportDescriptors();
  // The process shuts down: it does not take over any more.
  void Cancel();

 private:
  enum class Phase { kServing, kWaitingForEndpoints, kRequested };

  std::optional<HandoverServer::Grant> OnListenerRequested() override;
  void OnSuccessorExited() override;

  void OnListenerReceived(OwnedDescriptor listener, const std::string& encoded_state) override;
  void OnHandoverFailed(HandoverError error) override;
  void OnDescriptorReport(const DescriptorReport& report) override;
  void OnPredecessorExited() override;

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
  std::unique_ptr<HandoverClient> predecessor_;
  std::unique_ptr<HandoverServer> successor_;
};

}  // namespace copperpoint::proxy

#endif  // COPPERPOINT_PROXY_HANDOVER_HANDOVER_COORDINATOR_H_
