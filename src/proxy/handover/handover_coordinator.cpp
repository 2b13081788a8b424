// SPDX-License-Identifier: Apache-2.0
#include "proxy/handover/handover_coordinator.h"

#include <algorithm>
#include <utility>

#include "log/event_names.h"
#include "log/log.h"

namespace copperpoint::proxy {

HandoverCoordinator::HandoverCoordinator(boost::asio::io_context& io, Options options, const Context& context,
                                         ExportState export_state)
    : io_(io),
      options_(std::move(options)),
      context_(context),
      export_state_(std::move(export_state)),
      endpoints_timer_(io),
      endpoint_lists_(context.endpoint_list) {}

// ---- from the predecessor -------------------------------------------------------------------------------

bool HandoverCoordinator::TakeOverFromPredecessor() {
  predecessor_ = HandoverClient::Connect(io_, options_.socket_path, *this);
  if (!predecessor_) return false;
  phase_ = Phase::kWaitingForEndpoints;
  log::Global().Info(log::events::kUpgradeWaitsForEndpoints,
                     {{"at_most_ms", options_.timeouts.endpoint_list.count()}});
  RequestListenerAfter(options_.timeouts.endpoint_list);
  return true;
}

// Called from within a callback of discovery, so the timer sends the request from an event of its own.
void HandoverCoordinator::OnDiscoveryList(std::uint64_t revision, bool serviceable) {
  endpoint_lists_.OnDiscoveryList(revision);
  if (serviceable && phase_ == Phase::kWaitingForEndpoints)
    RequestListenerAfter(std::chrono::milliseconds(0));
}

void HandoverCoordinator::RequestListenerAfter(std::chrono::milliseconds wait) {
  endpoints_timer_.expires_after(wait);
  endpoints_timer_.async_wait([this](const boost::system::error_code& cancelled) {
    if (!cancelled) RequestListener();
  });
}

void HandoverCoordinator::RequestListener() {
  if (phase_ != Phase::kWaitingForEndpoints) return;
  phase_ = Phase::kRequested;
  if (context_.lifecycle.shutting_down()) return;
  predecessor_->RequestListener(options_.listen, options_.timeouts.listener);
}

void HandoverCoordinator::Cancel() { endpoints_timer_.cancel(); }

void HandoverCoordinator::OnPredecessorEndpoints(const ReceivedMessage& message) {
  endpoint_lists_.OnMessage(HandoverPeer::kPredecessor, message);
}

void HandoverCoordinator::OnPredecessorReloaded(const DiscoveryReload& reload) {
  context_.discovery.OnPredecessorReload(reload);
}

void HandoverCoordinator::OnListenerReceived(OwnedDescriptor listener, const std::string& encoded_state) {
  if (context_.lifecycle.shutting_down()) return;
  log::Global().Info(log::events::kUpgradeListenerReceived);
  StartAccepting(listener.Release());
  RestoreState(encoded_state);
}

void HandoverCoordinator::OnHandoverFailed(HandoverError error) {
  if (context_.lifecycle.shutting_down()) return;
  log::Global().Warn(log::events::kUpgradeListensAlongside,
                     {{"waited_ms", options_.timeouts.listener.count()},
                      {"reason", NameOf(error)},
                      {"socket", options_.socket_path}});
  StartAccepting(OwnedDescriptor::kNone);
}

void HandoverCoordinator::StartAccepting(int listener) {
  phase_ = Phase::kServing;
  context_.listener.StartAccepting(listener);
}

void HandoverCoordinator::RestoreState(const std::string& encoded_state) {
  const DecodedHandoverState state = DecodeHandoverState(
      encoded_state, [this](const std::string& id) { return context_.endpoints.Find(id).has_value(); });
  if (state.descriptors) LimitConnections(*state.descriptors);
  if (!state.error.empty())
    log::Global().Warn(log::events::kUpgradeStateUnreadable, {{"reason", state.error}});
  StateRestored restored;
  for (const BackendHandoverState& backend : state.backends) {
    restored.backends.push_back({*context_.endpoints.Find(backend.id), backend.ejection_multiplier,
                                 backend.ejection_remaining, backend.slow_start_work});
  }
  if (!restored.backends.empty()) context_.events.Dispatch(std::move(restored));
}

void HandoverCoordinator::OnDescriptorReport(const DescriptorReport& report) {
  LimitConnections(report.descriptors);
}

void HandoverCoordinator::OnPredecessorExited() {
  log::Global().Info(log::events::kUpgradePredecessorExited);
  LimitConnections(0);
}

void HandoverCoordinator::LimitConnections(int other_descriptors) {
  const DescriptorBudget::Limits limits = context_.budget.BesideProcess(other_descriptors);
  context_.listener.SetClientLimit(limits.clients);
  context_.backends.SetConnectionLimit(limits.backends);
}

// ---- to the successor -----------------------------------------------------------------------------------

void HandoverCoordinator::AwaitSuccessor() {
  if (options_.socket_path.empty()) return;
  HandoverServer::Delegate& delegate = *this;
  successor_ = std::make_unique<HandoverServer>(io_, options_.socket_path, options_.listen, delegate);
}

std::optional<HandoverServer::Grant> HandoverCoordinator::OnListenerRequested() {
  const auto listener = context_.listener.ReleaseListener();
  if (!listener) return std::nullopt;
  log::Global().Info(log::events::kUpgradeListenerHandedOver);
  // Limits backend connections to those open now, but to one at least, so that open requests can be retried.
  context_.backends.SetConnectionLimit(std::max<std::size_t>(context_.backends.connection_count(), 1));
  endpoint_lists_.OnPeerReplaced(HandoverPeer::kSuccessor);
  reload_shared_.reset();
  return HandoverServer::Grant{*listener, HandoverState{DescriptorsInUse(), ExportBackends()},
                               endpoint_lists_.Encode()};
}

void HandoverCoordinator::OnSuccessorEndpoints(const ReceivedMessage& message) {
  endpoint_lists_.OnMessage(HandoverPeer::kSuccessor, message);
}

void HandoverCoordinator::OnSuccessorExited() {
  log::Global().Warn(log::events::kUpgradeSuccessorExited);
  context_.listener.ReclaimListener();
  context_.backends.SetConnectionLimit(context_.budget.ForSingleProcess().backends);
}

// A list goes before the report, which would count as not yet received.
void HandoverCoordinator::SyncWithPeers() {
  if (predecessor_) endpoint_lists_.Share(HandoverPeer::kPredecessor, *predecessor_);
  if (!successor_) return;
  endpoint_lists_.Share(HandoverPeer::kSuccessor, *successor_);
  ShareDiscoveryReload();
  successor_->SendReport({DescriptorsInUse()});
}

void HandoverCoordinator::ShareDiscoveryReload() {
  const auto reload = context_.discovery.last_reload();
  if (!reload || reload_shared_ == reload->reloaded_at) return;
  if (successor_->SendDiscoveryReload(*reload)) reload_shared_ = reload->reloaded_at;
}

int HandoverCoordinator::DescriptorsInUse() const {
  return context_.budget.InUse(context_.listener.client_connections(), context_.backends.connection_count());
}

std::vector<BackendHandoverState> HandoverCoordinator::ExportBackends() const {
  std::vector<BackendHandoverState> exported;
  auto ids = context_.endpoints.IdsByBackend();
  for (const BackendSnapshot& backend : export_state_()) {
    exported.push_back({ids[backend.backend], backend.ejection_multiplier, backend.ejection_remaining,
                        backend.slow_start_work});
  }
  return exported;
}

}  // namespace copperpoint::proxy
