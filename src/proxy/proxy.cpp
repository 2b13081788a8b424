// SPDX-License-Identifier: Apache-2.0
#include "proxy/proxy.h"

#include <algorithm>
#include <cctype>
#include <chrono>
#include <utility>
#include <vector>

#include "log/event_names.h"
#include "log/log.h"
#include "proxy/lifecycle/shutdown_time.h"

namespace copperpoint::proxy {
namespace {

// How long new connections are accepted after the shutdown has begun, in milliseconds. Load balancers in
// front are expected to notice within 400 ms that /ready fails; the rest is margin.
constexpr Duration kShutdownAcceptGrace{600};
constexpr std::chrono::milliseconds kProcessSyncInterval{100};

std::size_t BufferMemoryBytes(const Config& config) {
  return static_cast<std::size_t>(config.memory_mb * config.shares.buffer_memory * 1024 * 1024);
}

BackendPool::Limits BackendLimits(const Config& config, const DescriptorBudget& budget,
                                  std::shared_ptr<MemoryBudget> buffer_memory) {
  return {config.connect_timeout, config.backend_idle_timeout, budget.ForSingleProcess().backends,
          config.timeouts, std::move(buffer_memory)};
}

// Returns the path of a file in the state directory; empty if there is none. The path has the proxy's name,
// since proxies of several names may share the directory.
std::string StateFile(const Config& config, const char* name) {
  if (config.state_directory.empty()) return "";
  std::string proxy_name = config.name;
  std::replace_if(
      proxy_name.begin(), proxy_name.end(),
      [](unsigned char c) { return !std::isalnum(c) && c != '-' && c != '_'; }, '_');
  return config.state_directory + "/copperpoint-" + proxy_name + "-" + name;
}

DiscoveryClient::Options DiscoveryOptions(const Config& config) {
  DiscoveryClient::Options options;
  options.address = config.discovery;
  options.revision = config.initial_endpoints.revision;
  options.reconnect = config.settings.polls_endpoints ? DiscoveryClient::Reconnect::kOnRequest
                                                      : DiscoveryClient::Reconnect::kAutomatic;
  options.seed = config.seed;
  return options;
}

}  // namespace

Proxy::Proxy(boost::asio::io_context& io, Config config)
    : io_(io),
      config_(std::move(config)),
      balancer_(config_.settings, config_.seed),
      lifecycle_(log::Global()),
      disabled_(StateFile(config_, "disabled.json"), log::Global()),
      budget_(config_),
      requests_(membership_),
      dispatcher_(io, clock_,
                  [this](TimePoint now, const Event& event, std::vector<Action>* actions) {
                    balancer_.Handle(now, event, actions);
                  }),
      sync_timer_(io),
      buffer_memory_(std::make_shared<MemoryBudget>(BufferMemoryBytes(config_))),
      backends_(io, BackendLimits(config_, budget_, buffer_memory_)),
      endpoints_({config_.zones, config_.kinds, config_.timeouts.removed_backend_retention}, clock_,
                 backends_, dispatcher_),
      discovery_(
          io, DiscoveryOptions(config_), [this](const EndpointList& list) { OnDiscoveryList(list); },
          [this] {
            dispatcher_.Dispatch(EndpointUpdate{EndpointUpdateKind::kFailed, {}});
          }),
      executor_({config_.settings.max_attempts, config_.shares.process_limit_retry_after}, clock_, requests_,
                backends_, discovery_, dispatcher_),
      receiver_(clock_, requests_, backends_, dispatcher_),
      handover_(io, {StateFile(config_, "handover.sock"), config_.listen, config_.upgrade},
                {*this, lifecycle_, budget_, endpoints_, *this, *this, backends_, dispatcher_},
                [this] { return balancer_.ExportState(clock_.Now()); }) {
  dispatcher_.set_handler(&executor_);
  ApplyEndpointList(config_.initial_endpoints, EndpointUpdateKind::kCached);
  if (!config_.settings.polls_endpoints) discovery_.Watch();
  if (!handover_.TakeOverFromPredecessor()) StartAccepting(OwnedDescriptor::kNone);
  if (config_.admin_address) admin_ = std::make_unique<AdminServer>(io, *config_.admin_address, *this);
  if (!config_.state_directory.empty()) ScheduleProcessSync();
  if (config_.fleet.on()) {
    membership_.Join(io, config_,
                     [this](double ring_offset) { dispatcher_.Dispatch(SubsetPosition{ring_offset}); });
    membership_.Publish(lifecycle_.state());
  }
}

Proxy::~Proxy() = default;

void Proxy::Reload(const Config& config) {
  config_.timeouts = config.timeouts;
  backends_.SetTimeouts(config.timeouts);
  endpoints_.set_removed_retention(config.timeouts.removed_backend_retention);
  last_reload_ = DiscoveryReload{config.discovery, Steady::now()};
  discovery_.Reload(config.discovery);
}

// The latest configuration wins. A file that this process has read after the predecessor's reload is later;
// its address then goes before the environment's, as it does at a reload.
void Proxy::OnPredecessorReload(const DiscoveryReload& reload) {
  if (last_reload_ && last_reload_->reloaded_at >= reload.reloaded_at) return;
  last_reload_ = reload;
  if (config_.file_read_at > reload.reloaded_at && config_.discovery_in_file)
    last_reload_->address = *config_.discovery_in_file;
  log::Global().Info(log::events::kUpgradeDiscoveryMoved,
                     {{"address", FormatHostPort(last_reload_->address)}});
  discovery_.Reload(last_reload_->address);
}

void Proxy::Stop(std::function<void()> done) {
  const auto now = Steady::now();
  const auto after = [now](Duration time) { return now + std::chrono::ceil<Steady::duration>(time); };
  const auto answer_by = after(ShutdownResponseTime(config_.settings.classes));
  lifecycle_.StartShutdown();
  membership_.Leave();
  handover_.Cancel();
  if (!clients_) return done();
  backends_.SetAnswerBy(answer_by);
  clients_->ShutDown(after(kShutdownAcceptGrace), answer_by, std::move(done));
}

void Proxy::StartAccepting(int listener) {
  clients_ = std::make_unique<ClientListener>(io_, config_, budget_.ForSingleProcess().clients,
                                              buffer_memory_, *this, listener);
  if (lifecycle_.draining()) clients_->SetDraining(true);
  handover_.AwaitSuccessor();
  if (has_endpoints_) lifecycle_.OnStarted();
  membership_.Publish(lifecycle_.state());
}

void Proxy::ScheduleProcessSync() {
  sync_timer_.expires_after(kProcessSyncInterval);
  sync_timer_.async_wait([this](const boost::system::error_code& cancelled) {
    if (cancelled) return;
    ScheduleProcessSync();
    ApplyOperatorChanges(disabled_.ReloadIfChanged());
    handover_.SyncWithPeers();
  });
}

// ---- endpoints ------------------------------------------------------------------------------------------

void Proxy::OnDiscoveryList(const EndpointList& list) {
  ApplyEndpointList(list, list.complete ? EndpointUpdateKind::kSnapshot : EndpointUpdateKind::kIncremental);
  handover_.OnDiscoveryList(list.revision, has_endpoints_);
}

void Proxy::ApplyHandedOver(const EndpointList& list, Steady::time_point received_at) {
  discovery_.AdoptList(list.revision, received_at);
  ApplyEndpointList(list, EndpointUpdateKind::kHandedOver);
}

void Proxy::ApplyEndpointList(const EndpointList& list, EndpointUpdateKind kind) {
  endpoints_.Apply(disabled_.Apply(list, ListsAllEndpoints(kind)), kind);
  has_endpoints_ |= !list.endpoints.empty();
  if (clients_ && has_endpoints_) lifecycle_.OnStarted();
  membership_.Publish(lifecycle_.state());
}

// ---- requests -------------------------------------------------------------------------------------------

RequestId Proxy::OnRequest(ClientRequest request, std::shared_ptr<Responder> responder) {
  return receiver_.OnRequest(std::move(request), std::move(responder));
}

void Proxy::OnClientDisconnected(RequestId request) { receiver_.OnClientDisconnected(request); }

// ---- admin calls ----------------------------------------------------------------------------------------

AdminHandler::AdminResult Proxy::Disable(const std::string& backend) {
  EndpointList changes;
  const auto result = disabled_.Disable(backend, &changes);
  return ApplyDisabledChange(result, changes);
}

AdminHandler::AdminResult Proxy::Enable(const std::string& backend) {
  EndpointList changes;
  const auto result = disabled_.Enable(backend, &changes);
  return ApplyDisabledChange(result, changes);
}

AdminHandler::AdminResult Proxy::ApplyDisabledChange(DisabledBackends::ChangeResult result,
                                                     const EndpointList& changes) {
  if (result == DisabledBackends::ChangeResult::kUnknownBackend) return AdminResult::kUnknownBackend;
  if (result == DisabledBackends::ChangeResult::kNotStored) return AdminResult::kNotStored;
  ApplyOperatorChanges(changes);
  return AdminResult::kDone;
}

void Proxy::ApplyOperatorChanges(const EndpointList& changes) {
  if (!changes.endpoints.empty()) endpoints_.Apply(changes, EndpointUpdateKind::kOperator);
}

AdminHandler::AdminResult Proxy::Drain() {
  if (!lifecycle_.StartDraining()) return AdminResult::kStopping;
  ApplyDraining();
  return AdminResult::kDone;
}

AdminHandler::AdminResult Proxy::Undrain() {
  if (!lifecycle_.StopDraining()) return AdminResult::kStopping;
  ApplyDraining();
  return AdminResult::kDone;
}

void Proxy::ApplyDraining() {
  if (clients_) clients_->SetDraining(lifecycle_.draining());
  membership_.Publish(lifecycle_.state());
}

std::optional<std::string> Proxy::FleetStatus() const {
  if (!membership_.host()) return std::nullopt;
  return membership_.host()->StatusJson();
}

bool Proxy::IsFleetCall(std::string_view target) const {
  return membership_.host() && MembershipHost::IsRolloutCall(target);
}

std::optional<AdminHandler::FleetCallResult> Proxy::FleetCall(const FleetCallRequest& request) {
  return membership_.host()->HandleRolloutCall(request);
}

}  // namespace copperpoint::proxy
