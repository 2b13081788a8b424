// SPDX-License-Identifier: Apache-2.0
#include "proxy/proxy.h"

#include <algorithm>
#include <cctype>
#include <chrono>
#include <utility>
#include <vector>

#include "log/log.h"

namespace copperpoint::proxy {
namespace {

// New connections are accepted for this long after the shutdown has begun: those who route to this proxy may
// take up to 400 ms to notice.
constexpr Duration kShutdownAcceptGrace{600};
constexpr std::chrono::milliseconds kProcessSyncInterval{100};
constexpr std::string_view kRolloutPath = "/rollout";

Backends::Limits BackendLimits(const Config& config, const DescriptorBudget& budget) {
  return {config.connect_timeout, config.conn_idle, budget.ForSingleProcess().backends, config.patience};
}

// The file of that name in the state folder, which may serve proxies of several names. Empty: no folder.
std::string StateFile(const Config& config, const char* name) {
  if (config.state_folder.empty()) return "";
  std::string proxy_name = config.name;
  std::replace_if(
      proxy_name.begin(), proxy_name.end(),
      [](unsigned char c) { return !std::isalnum(c) && c != '-' && c != '_'; }, '_');
  return config.state_folder + "/copperpoint-" + proxy_name + "-" + name;
}

Discovery::Options DiscoveryOptions(const Config& config) {
  Discovery::Options options;
  options.address = config.discovery;
  options.revision = config.known.revision;
  options.reconnect =
      config.settings.polls_endpoints ? Discovery::Reconnect::kWhenAsked : Discovery::Reconnect::kByItself;
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
      backends_(io, BackendLimits(config_, budget_)),
      endpoints_({config_.zones, config_.kinds, config_.patience.forgotten}, clock_, backends_, dispatcher_),
      discovery_(
          io, DiscoveryOptions(config_),
          [this](const MemberList& list) {
            OnEndpointList(list,
                           list.complete ? EndpointUpdateKind::kSnapshot : EndpointUpdateKind::kIncremental);
          },
          [this] {
            dispatcher_.Dispatch(EndpointUpdate{EndpointUpdateKind::kFailed, {}});
          }),
      executor_({config_.settings.max_attempts, config_.shares.refusal}, requests_, backends_, discovery_,
                dispatcher_),
      receiver_(clock_, requests_, backends_, dispatcher_),
      handover_(io, {StateFile(config_, "handover.sock"), config_.listen, config_.upgrade},
                {*this, lifecycle_, budget_, endpoints_, backends_, dispatcher_},
                [this] { return balancer_.ExportState(clock_.Now()); }) {
  dispatcher_.set_handler(&executor_);
  OnEndpointList(config_.known, EndpointUpdateKind::kCached);
  if (!config_.settings.polls_endpoints) discovery_.Watch();
  if (!handover_.TakeOverFromPredecessor()) StartAccepting(OwnedDescriptor::kNone);
  if (config_.operator_address) admin_ = std::make_unique<Operator>(io, *config_.operator_address, *this);
  if (!config_.state_folder.empty()) ScheduleProcessSync();
  if (config_.fleet.on()) {
    membership_.Join(io, config_,
                     [this](double ring_offset) { dispatcher_.Dispatch(SubsetPosition{ring_offset}); });
    membership_.Publish(lifecycle_.state());
  }
}

Proxy::~Proxy() = default;

void Proxy::Reload(const Config& config) {
  config_.patience = config.patience;
  backends_.SetPatience(config.patience);
  endpoints_.set_removed_retention(config.patience.forgotten);
  discovery_.Move(config.discovery);
}

void Proxy::Stop(std::function<void()> done) {
  lifecycle_.StartShutdown();
  membership_.Leave();
  handover_.Cancel();
  if (!clients_) return done();
  clients_->Stop(kShutdownAcceptGrace, std::move(done));
}

void Proxy::StartAccepting(int listener) {
  clients_ = std::make_unique<Clients>(io_, config_, budget_.ForSingleProcess().clients, *this, listener);
  if (lifecycle_.draining()) clients_->Drain(true);
  handover_.AwaitSuccessor();
  if (has_endpoints_) lifecycle_.OnStarted();
  membership_.Publish(lifecycle_.state());
}

void Proxy::ScheduleProcessSync() {
  sync_timer_.expires_after(kProcessSyncInterval);
  sync_timer_.async_wait([this](const boost::system::error_code& cancelled) {
    if (cancelled) return;
    ScheduleProcessSync();
    const MemberList changes = disabled_.Reread();
    if (!changes.members.empty()) endpoints_.Apply(changes, EndpointUpdateKind::kIncremental);
    handover_.ReportDescriptors();
  });
}

// ---- endpoints ------------------------------------------------------------------------------------------

void Proxy::OnEndpointList(const MemberList& list, EndpointUpdateKind kind) {
  endpoints_.Apply(disabled_.Pass(list, kind != EndpointUpdateKind::kIncremental), kind);
  has_endpoints_ |= !list.members.empty();
  if (clients_ && has_endpoints_) lifecycle_.OnStarted();
  membership_.Publish(lifecycle_.state());
  if (kind != EndpointUpdateKind::kCached && has_endpoints_) handover_.OnEndpointsReceived();
}

// ---- requests -------------------------------------------------------------------------------------------

RequestId Proxy::OnRequest(ClientRequest request, std::shared_ptr<Responder> responder) {
  return receiver_.OnRequest(std::move(request), std::move(responder));
}

void Proxy::OnClientGone(RequestId request) { receiver_.OnClientDisconnected(request); }

// ---- admin calls ----------------------------------------------------------------------------------------

OperatorCalls::Verdict Proxy::Disable(const std::string& backend) {
  MemberList changes;
  const auto verdict = disabled_.Disable(backend, &changes);
  return ApplyOverride(verdict, changes);
}

OperatorCalls::Verdict Proxy::Enable(const std::string& backend) {
  MemberList changes;
  const auto verdict = disabled_.Enable(backend, &changes);
  return ApplyOverride(verdict, changes);
}

OperatorCalls::Verdict Proxy::ApplyOverride(DisabledBackends::Verdict verdict, const MemberList& changes) {
  if (verdict == DisabledBackends::Verdict::kUnknown) return Verdict::kUnknownBackend;
  if (verdict == DisabledBackends::Verdict::kNotKept) return Verdict::kNotKept;
  if (!changes.members.empty()) endpoints_.Apply(changes, EndpointUpdateKind::kIncremental);
  return Verdict::kDone;
}

OperatorCalls::Verdict Proxy::Drain() {
  if (!lifecycle_.StartDraining()) return Verdict::kStopping;
  ApplyDraining();
  return Verdict::kDone;
}

OperatorCalls::Verdict Proxy::Undrain() {
  if (!lifecycle_.StopDraining()) return Verdict::kStopping;
  ApplyDraining();
  return Verdict::kDone;
}

void Proxy::ApplyDraining() {
  if (clients_) clients_->Drain(lifecycle_.draining());
  membership_.Publish(lifecycle_.state());
}

std::string Proxy::Fleet() const { return membership_.host() ? membership_.host()->Json() : ""; }

bool Proxy::HasPart(std::string_view path) const {
  return membership_.host() && path.starts_with(kRolloutPath);
}

std::optional<OperatorCalls::Said> Proxy::Part(const std::string& path, bool post, const std::string& body) {
  return membership_.host()->Rollout(path.substr(kRolloutPath.size()), post, body);
}

}  // namespace copperpoint::proxy
