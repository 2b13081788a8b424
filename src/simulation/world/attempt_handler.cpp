// SPDX-License-Identifier: Apache-2.0
#include "simulation/world/attempt_handler.h"

#include <algorithm>
#include <utility>

#include "decision/log_names.h"
#include "log/event_names.h"

namespace copperpoint::simulation {
namespace {

constexpr double kMsPerSecond = 1000;
// The layout of an event's target: the attempt's index, and either of the other two.
constexpr std::uint32_t kNewConnection = 0x80000000u;
constexpr int kOutcomeShift = 8;
constexpr std::uint32_t kAttemptMask = 0xff;

// The outcome's name in traces.
const char* Describe(AttemptOutcome outcome) {
  switch (outcome) {
    case AttemptOutcome::kSuccess:
      return "success";
    case AttemptOutcome::kServerError:
      return "server error";
    case AttemptOutcome::kBackendRejected:
      return "rejected by the backend";
    case AttemptOutcome::kTimeout:
      return "timeout";
    case AttemptOutcome::kConnectFailure:
      return "connection failure";
    case AttemptOutcome::kConnectionReset:
      return "connection reset";
    case AttemptOutcome::kNotSent:
      return "not sent";
    default:
      return "unknown outcome";
  }
}

bool ProvesNotExecuted(AttemptOutcome outcome) {
  return outcome == AttemptOutcome::kBackendRejected || outcome == AttemptOutcome::kConnectFailure ||
         outcome == AttemptOutcome::kNotSent;
}

bool LeavesConnectionUsable(AttemptOutcome outcome) {
  return outcome == AttemptOutcome::kSuccess || outcome == AttemptOutcome::kServerError ||
         outcome == AttemptOutcome::kBackendRejected;
}

}  // namespace

AttemptHandler::AttemptHandler(World& world, ProxyRuntime& proxies, RequestHandler& requests,
                               std::function<void(std::uint32_t)> on_crash)
    : world_(world),
      proxies_(proxies),
      requests_(requests),
      backends_(
          world,
          [this](std::uint32_t slot, std::uint32_t index, AttemptOutcome outcome) {
            Respond(slot, index, outcome);
          },
          std::move(on_crash)) {}

// ---- sent by the proxy -------------------------------------------------------------------------------

void AttemptHandler::Start(std::uint32_t proxy, const StartAttempt& action) {
  const auto slot = requests_.SlotOf(proxy, action.request);
  if (!slot || action.backend >= world_.backends.size()) return;
  ClientRequest& request = world_.RequestAt(*slot);
  world_.rules.OnAttemptStarted(world_.now(), action.request, proxy, action.backend,
                                requests_.HistoryOf(request), request.has_response);
  if (!MayStart(request)) return CompleteNotSent(*slot, action);
  const Backend& backend = world_.backends[action.backend];
  const auto index = static_cast<std::uint32_t>(request.attempts.size());
  ++world_.metrics.attempts;
  world_.metrics.cross_zone_attempts += backend.zone() != world_.proxies[proxy].zone;
  request.attempts.push_back({action.backend, backend.incarnation(), world_.now()});
  world_.Trace(*slot, "attempt {} is sent to backend {}", index, action.backend);
  world_.LogTo(proxy, log::events::kAttemptStarted,
               {{log::fields::kRequest, action.request},
                {"attempt", index},
                {log::fields::kBackend, action.backend},
                {log::fields::kWorkMs, request.arrival.estimated_work_ms}});
  Send(*slot, index);
  ScheduleTimeout(*slot, index, action.timeout);
}

bool AttemptHandler::MayStart(const ClientRequest& request) const {
  const bool in_flight = std::any_of(request.attempts.begin(), request.attempts.end(),
                                     [](const Attempt& attempt) { return attempt.in_flight; });
  return !request.has_response && !in_flight && world_.now() < request.deadline &&
         static_cast<int>(request.attempts.size()) < world_.scenario.rules.max_attempts;
}

void AttemptHandler::CompleteNotSent(std::uint32_t slot, const StartAttempt& action) {
  ClientRequest& request = world_.RequestAt(slot);
  AttemptCompleted event;
  event.request = action.request;
  event.attempt = static_cast<int>(request.attempts.size());
  event.backend = action.backend;
  event.request_completed = request.has_response;
  event.outcome = AttemptOutcome::kNotSent;
  request.attempts.push_back({action.backend, 0, world_.now(), false, false});
  proxies_.Deliver(request.proxy, event);
}

void AttemptHandler::ScheduleTimeout(std::uint32_t slot, std::uint32_t index, Duration timeout) {
  ClientRequest& request = world_.RequestAt(slot);
  const Micros at = world_.now() + FromMs(std::max(0.0, timeout.count()));
  if (timeout.count() == 0 || at >= request.deadline) return;
  ++request.references;
  world_.queue.Push(at, EventPriority::kTimeout, kAttemptTimeout, index, slot);
}

void AttemptHandler::CloseExpiredConnections(Backend* backend, ConnectionPool* pool) {
  const Micros idle_timeout = FromMs(world_.network.settings().idle_s * kMsPerSecond);
  if (pool->idle == 0 || world_.now() - pool->last_used <= idle_timeout) return;
  if (pool->incarnation == backend->incarnation()) backend->CloseConnections(pool->idle);
  pool->open -= std::exchange(pool->idle, 0);
}

// Sends the attempt on an idle connection, or else on a new one if the backend accepts it. An idle connection
// from before the backend's last start fails only when the attempt arrives.
void AttemptHandler::Send(std::uint32_t slot, std::uint32_t index) {
  ClientRequest& request = world_.RequestAt(slot);
  Attempt& attempt = request.attempts[index];
  Backend& backend = world_.backends[attempt.backend];
  ProxyState& proxy = world_.proxies[request.proxy];
  ConnectionPool& pool = proxy.connections[attempt.backend];
  CloseExpiredConnections(&backend, &pool);
  const Micros request_delay = world_.network.Delay(world_.now(), proxy.zone, backend.zone());
  ++request.references;
  pool.last_used = world_.now();
  if (pool.idle == 0) return SendOnNewConnection(slot, index, &pool, request_delay);
  --pool.idle;
  attempt.connected = true;
  attempt.incarnation = pool.incarnation;
  world_.queue.Push(world_.now() + request_delay, EventPriority::kBackend, kAttemptReceived, index, slot);
}

void AttemptHandler::SendOnNewConnection(std::uint32_t slot, std::uint32_t index, ConnectionPool* pool,
                                         Micros request_delay) {
  ClientRequest& request = world_.RequestAt(slot);
  Attempt& attempt = request.attempts[index];
  Backend& backend = world_.backends[attempt.backend];
  const NetworkSettings& settings = world_.network.settings();
  const Micros timeout = FromMs(settings.connect_timeout_ms);
  const Micros response_delay =
      world_.network.Delay(world_.now(), backend.zone(), world_.proxies[request.proxy].zone);
  const auto handshake =
      static_cast<Micros>(settings.handshake_rtts * static_cast<double>(request_delay + response_delay));
  const auto fail_after = [&](Micros delay) {
    world_.queue.Push(world_.now() + delay, EventPriority::kBackend, kConnectFailure, index, slot);
  };
  if (backend.health() == Backend::Health::kUnresponsive || handshake > timeout) return fail_after(timeout);
  if (backend.health() == Backend::Health::kDown || !backend.AcceptConnection())
    return fail_after(std::min(timeout, request_delay + response_delay));
  ++world_.metrics.connections;
  world_.LogTo(request.proxy, log::events::kConnectionOpened, {{log::fields::kBackend, attempt.backend}});
  if (pool->incarnation != backend.incarnation()) *pool = {0, 0, backend.incarnation(), world_.now()};
  ++pool->open;
  attempt.connected = true;
  attempt.incarnation = backend.incarnation();
  world_.queue.Push(world_.now() + handshake + request_delay, EventPriority::kBackend, kAttemptReceived,
                    index | kNewConnection, slot);
}

void AttemptHandler::OnConnectFailure(std::uint32_t slot, std::uint32_t index) {
  if (world_.RequestAt(slot).attempts[index].in_flight) {
    ++world_.metrics.connect_failures;
    Complete(slot, index, AttemptOutcome::kConnectFailure);
  }
  world_.Release(slot);
}

// ---- at the backend ----------------------------------------------------------------------------------

void AttemptHandler::OnReceived(std::uint32_t slot, std::uint32_t attempt_and_connection) {
  const std::uint32_t index = attempt_and_connection & ~kNewConnection;
  const bool new_connection = attempt_and_connection != index;
  const Attempt& attempt = world_.RequestAt(slot).attempts[index];
  Backend& backend = world_.backends[attempt.backend];
  if (backend.health() == Backend::Health::kUnresponsive) return backends_.EnqueueUnresponsive(slot, index);
  if (backend.health() == Backend::Health::kDown || attempt.incarnation != backend.incarnation())
    return Respond(slot, index, AttemptOutcome::kConnectionReset);
  const Job job = DrawJob(slot, index, new_connection);
  if (Overloads(slot, attempt, job)) {
    backends_.Stop(attempt.backend, Backend::Health::kDown);
    return Respond(slot, index, AttemptOutcome::kConnectionReset);
  }
  Random& random = world_.service_random;
  if (random.Chance(backend.fast_error_share())) return Respond(slot, index, AttemptOutcome::kServerError);
  if (random.Chance(world_.attempt_faults.connection_reset_share))
    return Respond(slot, index, AttemptOutcome::kConnectionReset);
  backends_.Enqueue(slot, index, job);
}

Job AttemptHandler::DrawJob(std::uint32_t slot, std::uint32_t index, bool new_connection) {
  const ClientRequest& request = world_.RequestAt(slot);
  const Backend& backend = world_.backends[request.attempts[index].backend];
  const RequestClass& request_class = world_.scenario.classes[request.arrival.request_class];
  const double work_ms =
      world_.service_random.Lognormal(request.arrival.work_ms, request_class.attempt_noise);
  Job job;
  job.request_slot = slot;
  job.attempt = static_cast<std::uint8_t>(index);
  job.work_ms = static_cast<float>(work_ms + (new_connection ? backend.type().handshake_ms : 0));
  job.key = request.arrival.key;
  return job;
}

bool AttemptHandler::Overloads(std::uint32_t slot, const Attempt& attempt, const Job& job) {
  const bool informed = KnowsStart(world_.RequestAt(slot).proxy, attempt.backend);
  double informed_share = 0;
  Backend& backend = world_.backends[attempt.backend];
  if (!backend.RecordSlowStartWork(world_.now(), job.work_ms, informed, &informed_share)) return false;
  world_.rules.OnOverload(world_.now(), attempt.backend, informed_share);
  return true;
}

bool AttemptHandler::KnowsStart(std::uint32_t proxy, std::uint32_t backend) const {
  const auto& known_starts = world_.proxies[proxy].subscription.known_starts;
  const auto found = known_starts.find(backend);
  return found != known_starts.end() && found->second == world_.backends[backend].up_since();
}

// Sends a response. The caller's reference to the request passes to the response's event.
void AttemptHandler::Respond(std::uint32_t slot, std::uint32_t index, AttemptOutcome outcome) {
  const ClientRequest& request = world_.RequestAt(slot);
  const Backend& backend = world_.backends[request.attempts[index].backend];
  if (outcome == AttemptOutcome::kSuccess &&
      world_.service_random.Chance(world_.attempt_faults.lost_response_share)) {
    world_.Trace(slot, "the response is lost");
    return world_.Release(slot);
  }
  const Micros delay = world_.network.Delay(world_.now(), backend.zone(), world_.proxies[request.proxy].zone);
  world_.queue.Push(backend.SendsAt(world_.now()) + delay, EventPriority::kBackend, kResponse,
                    index | static_cast<std::uint32_t>(outcome) << kOutcomeShift, slot);
}

// ---- completed at the proxy --------------------------------------------------------------------------

void AttemptHandler::OnResponse(std::uint32_t slot, std::uint32_t attempt_and_outcome) {
  const std::uint32_t index = attempt_and_outcome & kAttemptMask;
  const auto outcome = static_cast<AttemptOutcome>(attempt_and_outcome >> kOutcomeShift);
  const ClientRequest& request = world_.RequestAt(slot);
  if (request.attempts[index].in_flight && world_.ProxyIsRunning(request)) {
    world_.metrics.server_errors += outcome == AttemptOutcome::kServerError;
    world_.metrics.connection_resets += outcome == AttemptOutcome::kConnectionReset;
    Complete(slot, index, outcome);
  }
  world_.Release(slot);
}

bool AttemptHandler::OnRequestDeadline(std::uint32_t slot) {
  const ClientRequest& request = world_.RequestAt(slot);
  if (request.has_response) return false;
  for (std::uint32_t index = 0; index < request.attempts.size(); ++index) {
    if (request.attempts[index].in_flight) OnTimeout(slot, index);
  }
  return !request.has_response;
}

void AttemptHandler::OnTimeout(std::uint32_t slot, std::uint32_t index) {
  ClientRequest& request = world_.RequestAt(slot);
  if (!request.attempts[index].in_flight || !world_.ProxyIsRunning(request)) return;
  ++world_.metrics.attempt_timeouts;
  const Backend& backend = world_.backends[request.attempts[index].backend];
  if (backend.type().cancelled != "runs_on") {
    ++request.references;
    const Micros request_delay =
        world_.network.Delay(world_.now(), world_.proxies[request.proxy].zone, backend.zone());
    world_.queue.Push(world_.now() + request_delay, EventPriority::kBackend, kAttemptCancelled, index, slot);
  }
  Complete(slot, index, AttemptOutcome::kTimeout);
}

void AttemptHandler::OnCancelled(std::uint32_t slot, std::uint32_t index) {
  if (backends_.Cancel(slot, index)) {
    const std::uint32_t backend = world_.RequestAt(slot).attempts[index].backend;
    world_.Trace(slot, "backend {} drops the cancelled attempt", backend);
    world_.Release(slot);
    backends_.RunQueued(backend);
  }
  world_.Release(slot);
}

// Completes an attempt at its proxy: the request is served if it succeeded, and the policy gets the outcome.
void AttemptHandler::Complete(std::uint32_t slot, std::uint32_t index, AttemptOutcome outcome) {
  ClientRequest& request = world_.RequestAt(slot);
  Attempt& attempt = request.attempts[index];
  attempt.in_flight = false;
  attempt.may_have_run = !ProvesNotExecuted(outcome);
  world_.Trace(slot, "attempt {} completed: {}", index, Describe(outcome));
  LogCompleted(slot, index, outcome);
  ReleaseConnection(request.proxy, attempt, outcome);
  if (outcome == AttemptOutcome::kSuccess && !request.has_response) {
    world_.metrics.useful_ms += attempt.executed_ms;
    requests_.OnServed(slot);
  }
  AttemptCompleted event;
  event.request = World::IdOf(slot, request);
  event.attempt = static_cast<int>(index);
  event.backend = attempt.backend;
  event.request_completed = request.has_response;
  event.outcome = outcome;
  event.duration = Duration(ToMs(world_.now() - attempt.sent));
  proxies_.Deliver(request.proxy, event);
}

void AttemptHandler::LogCompleted(std::uint32_t slot, std::uint32_t index, AttemptOutcome outcome) {
  const ClientRequest& request = world_.RequestAt(slot);
  const Attempt& attempt = request.attempts[index];
  world_.LogTo(request.proxy, log::events::kAttemptCompleted,
               {{log::fields::kRequest, World::IdOf(slot, request)},
                {"attempt", index},
                {log::fields::kBackend, attempt.backend},
                {log::fields::kOutcome, LogName(outcome)},
                {log::fields::kDurationMs, ToMs(world_.now() - attempt.sent)}});
}

void AttemptHandler::ReleaseConnection(std::uint32_t proxy, const Attempt& attempt, AttemptOutcome outcome) {
  if (!attempt.connected) return;
  auto& connections = world_.proxies[proxy].connections;
  const auto found = connections.find(attempt.backend);
  if (found == connections.end() || found->second.incarnation != attempt.incarnation) return;
  ConnectionPool& pool = found->second;
  if (LeavesConnectionUsable(outcome)) {
    ++pool.idle;
    return;
  }
  --pool.open;
  Backend& backend = world_.backends[attempt.backend];
  if (backend.incarnation() == attempt.incarnation) backend.CloseConnections();
}

}  // namespace copperpoint::simulation
