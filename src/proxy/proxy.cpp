// SPDX-License-Identifier: Apache-2.0
#include "proxy/proxy.h"

#include <algorithm>
#include <cctype>
#include <exception>
#include <nlohmann/json.hpp>
#include <random>
#include <unordered_set>
#include <utility>

#include "decision/client_retry_detector.h"
#include "decision/log_names.h"
#include "log/log.h"

namespace copperpoint::proxy {
namespace {

// Descriptors: what is neither a client's nor a backend's (standard streams, the event loop, the listener,
// watches of discovery, a connection being accepted), and the clients' part of the rest. Of the clients',
// those with a request open are a half; the others have to make room when they stand idle.
constexpr int kOtherDescriptors = 24;
constexpr int kOperatorDescriptors = static_cast<int>(AdminServer::kMaxConnections) + 2;
constexpr TimePoint kUnarmed{Duration(1e300)};
constexpr Duration kStopGrace{600};  // connections go on coming for up to 400 ms after SIGTERM

constexpr std::chrono::milliseconds kLookForDisabled{100};
constexpr std::string_view kRolloutPath = "/rollout";
constexpr int kLeastPeers = 32;  // descriptors for clients and backends, however many another process holds

int OwnDescriptors(const Config& config) {
  return kOtherDescriptors + (config.admin_address ? kOperatorDescriptors : 0) +
         (config.fleet.on() ? FleetHost::kDescriptors : 0);
}
double PeerDescriptors(const Config& config) { return config.sockets - OwnDescriptors(config); }

BackendPool::Limits BackendLimits(const Config& config) {
  return {config.connect_timeout, config.backend_idle_timeout,
          static_cast<std::size_t>(PeerDescriptors(config) * (1 - config.shares.client_descriptors)),
          config.timeouts};
}

std::size_t ClientLimit(const Config& config) {
  return static_cast<std::size_t>(PeerDescriptors(config) * config.shares.client_descriptors);
}

// One folder may serve proxies of several names.
std::string StateFile(const Config& config, const char* what) {
  if (config.state_directory.empty()) return "";
  std::string name = config.name;
  std::replace_if(
      name.begin(), name.end(), [](unsigned char c) { return !std::isalnum(c) && c != '-' && c != '_'; },
      '_');
  return config.state_directory + "/copperpoint-" + name + "-" + what;
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
      armed_for_(kUnarmed),
      timer_(io),
      look_(io),
      fresh_list_(io) {
  backends_ = std::make_unique<BackendPool>(io, BackendLimits(config_));
  discovery_ = std::make_unique<DiscoveryClient>(
      io, DiscoveryOptions(config_),
      [this](const EndpointList& list) {
        OnList(list, list.complete ? EndpointUpdateKind::kSnapshot : EndpointUpdateKind::kIncremental);
      },
      [this] {
        Feed(EndpointUpdate{EndpointUpdateKind::kFailed, {}});
      });
  OnList(config_.initial_endpoints, EndpointUpdateKind::kCached);
  if (!config_.settings.polls_endpoints) discovery_->Watch();
  predecessor_ = HandoverClient::Connect(io, StateFile(config_, "handover.sock"));
  if (predecessor_) {
    log::Global().Info("upgrade_waits_for_list", {{"at_most_ms", config_.upgrade.endpoint_list.count()}});
    TakeOverAfter(config_.upgrade.endpoint_list);
  } else {
    Serve(-1);
  }
  if (config_.admin_address) admin_ = std::make_unique<AdminServer>(io, *config_.admin_address, *this);
  if (!config_.state_directory.empty()) LookAfterState();
  if (config_.fleet.on()) {
    const auto zone = static_cast<std::size_t>(config_.settings.zone);
    fleet_ = std::make_unique<FleetHost>(
        io, config_.fleet,
        FleetSelf{config_.name, zone < config_.zones.size() ? config_.zones[zone] : "", COPPERPOINT_VERSION,
                  config_.operator_settings_version},
        config_.seed ^ std::random_device()(), [this](double turn) { Feed(SubsetPosition{turn}); });
    TellFleet();
  }
}

Proxy::~Proxy() = default;

void Proxy::Reload(const Config& config) {
  config_.timeouts = config.timeouts;  // of the clients too, who look here
  backends_->SetTimeouts(config.timeouts);
  discovery_->MoveTo(config.discovery);
}

void Proxy::Stop(std::function<void()> done) {
  lifecycle_.StartShutdown();
  if (fleet_) fleet_->Leave();
  fresh_list_.cancel();
  if (!clients_) return done();
  clients_->ShutDown(kStopGrace, std::move(done));
}

AdminHandler::AdminResult Proxy::Disable(const std::string& backend) {
  EndpointList changes;
  const auto verdict = disabled_.Disable(backend, &changes);
  return Carried(verdict, changes);
}

AdminHandler::AdminResult Proxy::Enable(const std::string& backend) {
  EndpointList changes;
  const auto verdict = disabled_.Enable(backend, &changes);
  return Carried(verdict, changes);
}

AdminHandler::AdminResult Proxy::Carried(DisabledBackends::ChangeResult verdict,
                                         const EndpointList& changes) {
  if (verdict == DisabledBackends::ChangeResult::kUnknownBackend) return AdminResult::kUnknownBackend;
  if (verdict == DisabledBackends::ChangeResult::kNotStored) return AdminResult::kNotStored;
  if (!changes.endpoints.empty()) PassOn(changes, EndpointUpdateKind::kIncremental);
  return AdminResult::kDone;
}

AdminHandler::AdminResult Proxy::Drain() {
  if (!lifecycle_.StartDraining()) return AdminResult::kStopping;
  if (clients_) clients_->SetDraining(true);
  TellFleet();
  return AdminResult::kDone;
}

AdminHandler::AdminResult Proxy::Undrain() {
  if (!lifecycle_.StopDraining()) return AdminResult::kStopping;
  if (clients_) clients_->SetDraining(false);
  TellFleet();
  return AdminResult::kDone;
}

bool Proxy::IsFleetCall(std::string_view path) const { return fleet_ && path.starts_with(kRolloutPath); }

std::optional<AdminHandler::FleetCallResult> Proxy::FleetCall(const std::string& path, bool post,
                                                              const std::string& body) {
  return fleet_->Rollout(path.substr(kRolloutPath.size()), post, body);
}

void Proxy::TellFleet() {
  if (!fleet_) return;
  switch (lifecycle_.state()) {
    case Lifecycle::State::kStarting:
      return fleet_->SetState(membership::State::kStarting);
    case Lifecycle::State::kReady:
      fleet_->Ready();
      return fleet_->SetState(membership::State::kServing);
    case Lifecycle::State::kDrainingNotStarted:
    case Lifecycle::State::kDraining:
      return fleet_->SetState(membership::State::kDraining);
    case Lifecycle::State::kShuttingDown:
      return;  // it has left
  }
}

// Another process of this proxy may be told to take a backend out, or to put it back.
void Proxy::LookAfterState() {
  look_.expires_after(kLookForDisabled);
  look_.async_wait([this](const boost::system::error_code& cancelled) {
    if (cancelled) return;
    LookAfterState();
    const EndpointList changes = disabled_.ReloadIfChanged();
    if (!changes.endpoints.empty()) PassOn(changes, EndpointUpdateKind::kIncremental);
    if (successor_) successor_->Tell(nlohmann::json{{"descriptors", Descriptors()}}.dump());
  });
}

int Proxy::Descriptors() const {
  return static_cast<int>(clients_->connection_count() + backends_->connection_count()) +
         OwnDescriptors(config_);
}

void Proxy::Serve(int listener) {
  clients_ = std::make_unique<ClientListener>(io_, config_, ClientLimit(config_), *this, listener);
  if (lifecycle_.draining()) clients_->SetDraining(true);
  if (!config_.state_directory.empty()) {
    successor_ = std::make_unique<HandoverServer>(
        io_, StateFile(config_, "handover.sock"), config_.listen, [this] { return GiveOver(); },
        [this] {
          log::Global().Warn("upgrade_next_gone");
          clients_->ResumeAccepting();
          backends_->SetConnectionLimit(BackendLimits(config_).max_connections);
        });
  }
  if (listed_) lifecycle_.OnStarted();
  TellFleet();
}

// Not before discovery's list is here, or would take too long: the one that this process was started with may
// be old, and the other one serves in the meantime.
void Proxy::TakeOverAfter(std::chrono::milliseconds wait) {
  if (asked_for_listener_) return;
  fresh_list_.expires_after(wait);
  fresh_list_.async_wait([this](const boost::system::error_code& cancelled) {
    if (!cancelled) TakeOver();
  });
}

void Proxy::TakeOver() {
  if (std::exchange(asked_for_listener_, true) || lifecycle_.shutting_down()) return;
  predecessor_->Take(
      config_.listen, config_.upgrade.listener,
      [this](std::optional<Gift> gift) {
        if (lifecycle_.shutting_down()) return;
        if (gift) {
          log::Global().Info("upgrade_listener_taken");
        } else {
          log::Global().Warn("upgrade_listens_beside", {{"waited_ms", config_.upgrade.listener.count()}});
        }
        Serve(gift ? gift->listener : -1);
        if (gift) OnGift(gift->text);
      },
      [this](const std::string& text) {
        const auto json = nlohmann::json::parse(text, nullptr, /*allow_exceptions=*/false);
        if (const auto n = json.is_object() ? json.find("descriptors") : json.end();
            json.is_object() && n != json.end() && n->is_number_integer())
          LeaveTo(n->get<int>());
      },
      [this] {
        log::Global().Info("upgrade_before_gone");
        LeaveTo(0);
      });
}

// Both processes together hold no more descriptors than one may.
void Proxy::LeaveTo(int other_descriptors) {
  const double rest =
      std::max<double>(kLeastPeers, PeerDescriptors(config_) - std::max(0, other_descriptors));
  clients_->SetConnectionLimit(static_cast<std::size_t>(rest * config_.shares.client_descriptors));
  backends_->SetConnectionLimit(static_cast<std::size_t>(rest * (1 - config_.shares.client_descriptors)));
}

std::optional<Gift> Proxy::GiveOver() {
  const auto listener = clients_->ReleaseListener();
  if (!listener) return std::nullopt;
  log::Global().Info("upgrade_listener_given");
  backends_->SetConnectionLimit(std::max<std::size_t>(backends_->connection_count(), 1));
  return Gift{*listener, LearntText()};
}

std::string Proxy::LearntText() {
  nlohmann::json learnt = nlohmann::json::array();
  std::unordered_map<BackendId, std::string> names;
  for (const auto& [id, number] : backend_ids_.all()) names.emplace(number, id);
  for (const BackendSnapshot& of : balancer_.ExportState(clock_.Now())) {
    learnt.push_back({{"id", names[of.backend]},
                      {"multiplier", of.ejection_multiplier},
                      {"ejected_ms", of.ejection_remaining.count()},
                      {"cold_work", of.slow_start_work}});
  }
  return nlohmann::json{{"descriptors", Descriptors()}, {"learnt", learnt}}.dump();
}

// Believed as far as it fits: without it, this process learns for itself.
void Proxy::OnGift(const std::string& text) {
  const auto json = nlohmann::json::parse(text, nullptr, /*allow_exceptions=*/false);
  StateRestored inherited;
  try {
    LeaveTo(json.at("descriptors").get<int>());
    for (const auto& entry : json.at("learnt")) {
      const auto number = backend_ids_.all().find(entry.at("id").get<std::string>());
      if (number == backend_ids_.all().end()) continue;
      inherited.backends.push_back({number->second, std::clamp(entry.at("multiplier").get<int>(), 0, 100),
                                    Duration(entry.at("ejected_ms").get<double>()),
                                    std::max(0.0, entry.at("cold_work").get<double>())});
    }
  } catch (const nlohmann::json::exception& error) {
    log::Global().Warn("upgrade_learnt_unreadable", {{"reason", error.what()}});
  }
  if (!inherited.backends.empty()) Feed(std::move(inherited));
}

// The only caller of Handle. An action may bring about an event at once: it waits its turn here, so that
// Handle is never entered while its actions are being carried out.
void Proxy::Feed(Event event) {
  // News of the list go before what waits: a request must not be sent by an older list than has been told.
  if (std::holds_alternative<EndpointUpdate>(event)) {
    const auto first_other = std::find_if(events_.begin(), events_.end(), [](const Event& e) {
      return !std::holds_alternative<EndpointUpdate>(e);
    });
    events_.insert(first_other, std::move(event));
  } else {
    events_.push_back(std::move(event));
  }
  if (handling_) return;
  // Guards against a fault while actions are carried out leaving the proxy deaf: the next event goes on.
  struct Handling {
    explicit Handling(bool& flag) : flag(flag) { flag = true; }
    ~Handling() { flag = false; }
    bool& flag;
  };
  {
    const Handling handling(handling_);
    HandleQueued();
  }
  ArmTimer();
}

void Proxy::HandleQueued() {
  std::vector<Action> actions;
  while (!events_.empty()) {
    const Event next = std::move(events_.front());
    events_.pop_front();
    actions.clear();
    balancer_.Handle(clock_.Now(), next, &actions);
    for (const Action& action : actions) {
      // What goes wrong with one action costs what that was about, not the answers that the others are.
      try {
        std::visit([this](const auto& a) { Do(a); }, action);
      } catch (const std::exception& error) {
        log::Global().Error("action_failed", {{"error", error.what()}});
        if (const auto* sent = std::get_if<StartAttempt>(&action)) OnNotSent(*sent);
      }
    }
  }
}

// The module waits for the end of what it has sent.
void Proxy::OnNotSent(const StartAttempt& action) {
  const auto found = pending_.find(action.request);
  if (found == pending_.end()) return;
  found->second.attempt_out = false;
  AttemptCompleted end;
  end.request = action.request;
  end.attempt = found->second.attempts - 1;
  end.backend = action.backend;
  end.request_completed = !found->second.responder;
  end.outcome = AttemptOutcome::kNotSent;
  events_.push_back(end);
}

void Proxy::OnList(const EndpointList& list, EndpointUpdateKind kind) {
  PassOn(disabled_.Apply(list, kind != EndpointUpdateKind::kIncremental), kind);
  listed_ |= !list.endpoints.empty();
  if (clients_ && listed_) lifecycle_.OnStarted();
  TellFleet();
  // From within discovery's call: the hand-over is a step of its own.
  if (predecessor_ && !clients_ && kind != EndpointUpdateKind::kCached && listed_) TakeOverAfter({});
}

void Proxy::PassOn(const EndpointList& list, EndpointUpdateKind kind) {
  backend_ids_.Assign(list.endpoints);
  if (kind != EndpointUpdateKind::kIncremental) {
    std::unordered_set<BackendId> named;
    for (const DiscoveredEndpoint& m : list.endpoints) named.insert(backend_ids_.IdOf(m.id));
    backends_->DrainAllExcept(named);
  }
  EndpointUpdate update;
  update.kind = kind;
  log::Global().Debug("list_taken", {{"kind", WordFor(kind)},
                                     {"revision", static_cast<std::int64_t>(list.revision)},
                                     {"members", static_cast<std::int64_t>(list.endpoints.size())}});
  for (const DiscoveredEndpoint& m : list.endpoints) {
    log::Global().Debug("server_listed", {{"server", backend_ids_.IdOf(m.id)},
                                          {"id", m.id},
                                          {"zone", m.zone},
                                          {"kind", m.kind},
                                          {"state", WordFor(m.state)},
                                          {"up_since_ms", m.up_since_unix_ms}});
    Endpoint entry;
    entry.backend = backend_ids_.IdOf(m.id);
    entry.zone = ZoneOf(m.zone);
    const auto kind_name = std::find(config_.kinds.begin(), config_.kinds.end(), m.kind);
    entry.kind = static_cast<int>(kind_name - config_.kinds.begin());
    entry.cell = m.cell;
    entry.state = m.state;
    entry.weight = m.weight;
    entry.up_since = clock_.FromUnix(m.up_since_unix_ms);
    update.endpoints.push_back(entry);
    if (m.state == EndpointState::kReady) {
      backends_->SetEndpoint(entry.backend, m.address, m.up_since_unix_ms);
    } else {
      backends_->DrainBackend(entry.backend);
    }
  }
  std::unordered_set<std::string_view> here;
  for (const DiscoveredEndpoint& m : list.endpoints) {
    if (m.state == EndpointState::kRemoved) {
      gone_since_.try_emplace(m.id, Steady::now());
    } else {
      here.insert(m.id);
      gone_since_.erase(m.id);
    }
  }
  if (kind != EndpointUpdateKind::kIncremental) {
    for (const auto& [id, number] : backend_ids_.all()) {
      if (!here.contains(id)) gone_since_.try_emplace(id, Steady::now());
    }
  }
  Feed(std::move(update));
  ForgetLongGone();
}

// Ids are ever new: what has been gone for longer than the module remembers it has no number any more.
void Proxy::ForgetLongGone() {
  std::erase_if(gone_since_,
                [this, until = Steady::now() - config_.timeouts.removed_backend_retention](const auto& gone) {
                  if (gone.second > until) return false;
                  backends_->RemoveBackend(backend_ids_.IdOf(gone.first));
                  backend_ids_.Release(gone.first);
                  return true;
                });
}

// A zone that the settings don't name is a zone of its own, none of those that they do.
int Proxy::ZoneOf(const std::string& name) const {
  const auto found = std::find(config_.zones.begin(), config_.zones.end(), name);
  if (found != config_.zones.end()) return static_cast<int>(found - config_.zones.begin());
  return static_cast<int>(0x10000 + (StableHash(name) & 0x3fffffff));
}

RequestId Proxy::OnRequest(ClientRequest request, std::shared_ptr<Responder> responder) {
  const RequestId id = ++last_request_;
  RequestReceived submit;
  submit.request = id;
  submit.deadline = clock_.At(request.deadline);
  submit.request_class = request.request_class;
  submit.tenant = request.tenant;
  submit.key = request.affinity_key;
  submit.has_work_estimate = request.has_work_estimate;
  submit.client_retry = request.client_retry;
  submit.estimated_work_ms = request.estimated_work_ms;
  Pending& pending = pending_[id];
  pending.arrived = Steady::now();
  pending.request_class = request.request_class;
  pending.tenant = request.tenant;
  pending.work_ms = request.estimated_work_ms;
  if (log::Global().Enabled(log::Level::kDebug)) {
    log::Global().Debug("request_taken", {{"request", id},
                                          {"id", std::string(request.message["Req-Id"])},
                                          {"wish", log::Hex(FingerprintOf(submit))},
                                          {"class", submit.request_class},
                                          {"work_ms", submit.estimated_work_ms}});
  }
  open_ids_.emplace(request.message["Req-Id"]);
  pending.message = std::make_shared<const HttpRequest>(std::move(request.message));
  pending.due = request.deadline;
  if (request.body_stream)
    pending.upload = std::make_shared<RequestBodyStream>(RequestBodyStream{std::move(request.body_stream)});
  pending.responder = std::move(responder);
  Feed(submit);
  return id;
}

void Proxy::OnClientDisconnected(RequestId request) {
  if (!Conclude(request, RequestOutcome::kClientGone)) return;
  // Nothing begins for a client that has gone: an attempt that is still being dialled is not written.
  if (const auto found = pending_.find(request); found != pending_.end() && found->second.attempt_out)
    backends_->CancelUnsent(found->second.attempt);
  ForgetIfOver(request);
  Feed(ClientDisconnected{request});
}

void Proxy::Do(const StartAttempt& action) {
  const auto found = pending_.find(action.request);
  const auto now = Steady::now();
  // Numbered by the order of their Dispatch; one that cannot go out is over at once, and never ran.
  const int attempt = found == pending_.end() ? 0 : found->second.attempts++;
  if (found == pending_.end() || !found->second.responder || found->second.attempt_out ||
      now >= found->second.due || attempt >= config_.settings.max_attempts) {
    AttemptCompleted end;
    end.request = action.request;
    end.attempt = attempt;
    end.backend = action.backend;
    end.request_completed = found == pending_.end() || !found->second.responder;
    end.outcome = AttemptOutcome::kNotSent;
    return Feed(end);
  }
  Pending& pending = found->second;
  pending.attempt_out = true;
  log::Global().Debug("attempt_sent", {{"request", action.request},
                                       {"attempt", attempt},
                                       {"server", action.backend},
                                       {"work_ms", pending.work_ms}});
  Duration timeout = pending.due - now;
  if (action.timeout.count() != 0) timeout = std::clamp(action.timeout, Duration(0), timeout);
  pending.attempt = backends_->SendRequest(
      action.backend, pending.message, timeout,
      [this, id = action.request, attempt, server = action.backend, now](AttemptResult result) {
        OnAttemptDone(id, attempt, server, now, std::move(result));
      },
      pending.upload);
}

void Proxy::OnAttemptDone(RequestId request, int attempt, BackendId server, Steady::time_point sent,
                          AttemptResult result) {
  AttemptCompleted end;
  end.request = request;
  end.attempt = attempt;
  end.backend = server;
  end.outcome = result.outcome;
  end.duration = Steady::now() - result.request_written_at.value_or(sent);
  const auto found = pending_.find(request);
  log::Global().Debug("attempt_ended", {{"request", request},
                                        {"attempt", attempt},
                                        {"server", server},
                                        {"outcome", WordFor(end.outcome)},
                                        {"took_ms", end.duration.count()}});
  if (found != pending_.end()) found->second.attempt_out = false;
  if (result.outcome == AttemptOutcome::kSuccess) {
    Give(Conclude(request, RequestOutcome::kServed), [&](Responder& to) {
      to.SendResponse(std::move(result.response), std::move(result.body_stream), result.body_length);
    });
  } else if (result.outcome == AttemptOutcome::kUnknown) {
    Give(Conclude(request, RequestOutcome::kRejected),
         [&](Responder& to) { to.SendClientError(result.response.result()); });
  } else if (result.local_failure) {
    // Over a limit of this process: no backend is to blame, and another attempt would fare no better.
    const bool began = attempt > 0;
    Give(Conclude(request, began ? RequestOutcome::kFailed : RequestOutcome::kRefused,
                  RejectReason::kProcessLimit),
         [&](Responder& to) { began ? to.SendBadGateway() : to.SendUnavailable(config_.shares.overload_retry_after); });
  } else if (found != pending_.end() && found->second.upload && found->second.upload->consumed) {
    // Some of the body has left for good: there is no other attempt.
    const bool ran = result.outcome != AttemptOutcome::kConnectFailure &&
                     result.outcome != AttemptOutcome::kBackendRejected &&
                     result.outcome != AttemptOutcome::kNotSent;
    Give(Conclude(request, ran ? RequestOutcome::kFailed : RequestOutcome::kRefused,
                  RejectReason::kRequestBodyConsumed),
         [&](Responder& to) { ran ? to.SendBadGateway() : to.SendUnavailable(config_.shares.overload_retry_after); });
  }
  end.request_completed = found == pending_.end() || !found->second.responder;
  ForgetIfOver(request);
  Feed(end);
}

// What goes wrong while an answer is given costs that answer; what the module waits for goes on.
template <typename Answer>
void Proxy::Give(const std::shared_ptr<Responder>& responder, Answer answer) {
  if (!responder) return;
  try {
    answer(*responder);
  } catch (const std::exception& error) {
    log::Global().Error("answer_failed", {{"error", error.what()}});
    try {
      responder->SendBadGateway();  // nothing, if the answer has begun
    } catch (const std::exception&) {
    }
  }
}

// Ends the request: whoever gets the responder gives the one final answer. One line each, for who counts
// across a fleet.
std::shared_ptr<Responder> Proxy::Conclude(RequestId request, RequestOutcome outcome, RejectReason reason) {
  const auto found = pending_.find(request);
  if (found == pending_.end() || !found->second.responder) return nullptr;
  Pending& of = found->second;
  log::Global().Debug("request_ended", {{"request", request},
                                        {"class", of.request_class},
                                        {"how", NameOf(outcome)},
                                        {"why", WordFor(reason)},
                                        {"attempts", of.attempts},
                                        {"after_ms", Duration(Steady::now() - of.arrived).count()},
                                        {"allowed_ms", Duration(of.due - of.arrived).count()}});
  if (fleet_) {
    const auto now = Steady::now();
    fleet_->counts().Record(of.request_class, static_cast<std::uint32_t>(of.tenant + 1), outcome,
                            now <= of.due, of.attempts, Duration(now - of.arrived).count());
  }
  of.upload.reset();
  return std::exchange(of.responder, nullptr);
}

void Proxy::ForgetIfOver(RequestId request) {
  const auto found = pending_.find(request);
  if (found == pending_.end() || found->second.responder || found->second.attempt_out) return;
  open_ids_.erase(std::string((*found->second.message)["Req-Id"]));
  pending_.erase(found);
}

void Proxy::Do(const RejectRequest& action) {
  Give(Conclude(action.request, RequestOutcome::kRefused, action.reason),
       [&](Responder& to) { to.SendUnavailable(action.retry_after); });
  ForgetIfOver(action.request);
}

void Proxy::Do(const FailRequest& action) {
  Give(Conclude(action.request, RequestOutcome::kFailed, action.reason), [](Responder& to) { to.SendBadGateway(); });
  ForgetIfOver(action.request);
}

void Proxy::Do(const SetTimer& action) { timers_.emplace(action.at, action.token); }

void Proxy::Do(const PollEndpoints&) { discovery_->Watch(); }

void Proxy::Do(const struct CloseIdleConnections& action) { backends_->CloseIdleConnections(action.backend); }

void Proxy::Do(const Log& action) { log::Global().Info("decision", {{"text", action.text}}); }

// Guards against a timer that the module thinks has not come yet: rounding may wake this a moment early, and
// the module would not ask again.
void Proxy::ArmTimer() {
  if (timers_.empty() || timers_.begin()->first >= armed_for_) return;
  armed_for_ = timers_.begin()->first;
  timer_.expires_at(clock_.ToSteady(timers_.begin()->first));
  timer_.async_wait([this](const boost::system::error_code& cancelled) {
    if (cancelled) return;
    armed_for_ = kUnarmed;
    while (!timers_.empty() && timers_.begin()->first <= clock_.Now()) {
      const std::uint64_t token = timers_.begin()->second;
      timers_.erase(timers_.begin());
      Feed(TimerFired{token});
    }
    ArmTimer();
  });
}

}  // namespace copperpoint::proxy
