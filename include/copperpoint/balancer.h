// SPDX-License-Identifier: Apache-2.0
//
// The interface of the decision module: settings, events, actions, and the Balancer that maps events to
// actions.
//
// A Balancer is pure and deterministic. It has no clock, I/O, threads or globals: each event carries its time
// and all randomness derives from the seed. Classes, tenants, zones and machine kinds are indices into the
// lists of the settings, so that no decision can depend on a name.
#ifndef COPPERPOINT_BALANCER_H_
#define COPPERPOINT_BALANCER_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace copperpoint {

// The caller's clock, in milliseconds. Its origin is arbitrary and it only advances.
struct Clock {
  using duration = std::chrono::duration<double, std::milli>;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<Clock>;
  static constexpr bool is_steady = true;
};
using Duration = Clock::duration;
using TimePoint = Clock::time_point;

// Identifies a logical request over all of its attempts. The caller chooses it; unique while it is open.
using RequestId = std::uint64_t;
// Identifies a backend. The caller chooses it; stable while the backend is in the endpoint list.
using BackendId = std::uint32_t;

// ---- settings -----------------------------------------------------------------------------------------

// Whether a request may be executed more than once.
enum class Idempotency {
  kIdempotent,      // any number of executions has the effect of one
  kIdempotencyKey,  // backends drop a duplicate that carries the same key, within a scope and a time
  kNonIdempotent,   // an attempt that may have been executed must not be repeated
};

// The backends that recognise each other's duplicates of a request with an idempotency key.
enum class DeduplicationScope { kAll, kZone, kCell };

struct ClassSettings {
  Idempotency idempotency = Idempotency::kNonIdempotent;
  DeduplicationScope deduplication_scope = DeduplicationScope::kAll;  // for kIdempotencyKey
  Duration deduplication_window{0};  // for kIdempotencyKey: how long backends remember a key
  Duration latency_objective{0};     // an answer within this time earns the full priority weight
  Duration deadline{0};              // clients usually give up after this time
  double priority_weight = 1;        // value of one answer within the latency objective
  double late_weight_fraction =
      0;  // part of the weight that an answer after the objective still earns, 0 to 1
};

struct TenantSettings {
  double quota_per_s = 0;  // requests per second with full priority weight, summed over all proxies
};

// How service is measured: the weights of three fractions of served priority weight: over all requests, in
// the worst-served class, and for the worst-served tenant within its quota.
struct ServiceObjective {
  double overall = 1, worst_class = 0, worst_tenant = 0;
};

// Each default is the documented meaning of an absent optional setting, not a tuning value.
struct Settings {
  int proxy_count = 1;
  int proxy_index = 0;  // index of this proxy, 0 to proxy_count - 1
  int zone = 0;         // zone of this proxy
  std::vector<ClassSettings> classes;
  std::vector<TenantSettings> tenants;
  ServiceObjective service_objective;
  double over_quota_weight = 1;   // factor on the priority weight of a request over its tenant's quota
  double cross_zone_cost = 0;     // part of a request's weight that an attempt in another zone costs, 0 to 1
  bool key_affinity = false;      // a backend that served a key lately serves it again with less work
  bool polls_endpoints = false;   // the proxy polls the endpoint list; otherwise discovery pushes changes
  Duration max_poll_interval{0};  // for polls_endpoints: discovery requires a poll at least this often
  int max_attempts = 1;           // attempts for one request, the first included
  Duration max_retry_after{0};    // longest Retry-After that clients follow; 0: they follow none
  Duration tick{1};               // granularity of the caller's timers
  double slow_start_min_capacity = 1;  // fraction of its full capacity that a backend has when it starts
  Duration slow_start_window{0};       // a backend reaches its full capacity this long after its start
  double overload_factor = 1;   // a starting backend fails when sent more than this multiple of its capacity
  Duration overload_window{0};  // time over which the work sent is summed for that
};

// ---- endpoints ----------------------------------------------------------------------------------------

// The state of a backend as discovery reports it. The simulator's protocol has the states in this order.
enum class EndpointState { kRemoved, kReady, kDraining };

// How an endpoint list was obtained. The simulator's protocol has the kinds up to kFailed, in this order.
enum class EndpointUpdateKind {
  kIncremental,  // only the endpoints that changed
  kSnapshot,     // all endpoints; a backend that isn't among them is removed
  kCached,       // all endpoints as they were before this process started; may be out of date
  kFailed,       // the poll or watch failed; no endpoints
  // These two say nothing about the poll or watch.
  kHandedOver,  // all endpoints, from the other process of this proxy
  kOperator,    // only the endpoints that an operator has disabled or enabled
};

// Returns whether an update of this kind names every endpoint, so that a backend it does not name is removed.
constexpr bool ListsAllEndpoints(EndpointUpdateKind kind) {
  return kind == EndpointUpdateKind::kSnapshot || kind == EndpointUpdateKind::kCached ||
         kind == EndpointUpdateKind::kHandedOver;
}

struct Endpoint {
  BackendId backend = 0;
  int zone = 0;
  int kind = 0;  // machine kind
  int cell = 0;
  EndpointState state = EndpointState::kReady;
  double weight = 1;
  TimePoint up_since{};  // when the backend's process started; zero: long ago
};

// How an attempt ended. After kBackendRejected, kConnectFailure and kNotSent it is certain that the backend
// did not execute the request.
enum class AttemptOutcome {
  kSuccess,
  kServerError,
  kBackendRejected,
  kTimeout,
  kConnectFailure,  // no connection, or the request was not written completely
  kConnectionReset,
  kCancelled,
  kNotSent,
  kUnknown,  // the backend found the request invalid (4xx), which says nothing about the backend's health
};

// Why a request was rejected or failed.
enum class RejectReason {
  kNone,
  kUnknownClass,          // the settings don't have the request's class
  kDeadlineUnreachable,   // its answer would come too late to have any weight
  kLoadShed,              // shed on arrival under overload, by its fingerprint
  kNoCapacity,            // it was queued and no capacity came free in time
  kNotRetriable,          // its last attempt failed and another one is not permitted
  kRetryBudgetExhausted,  // another attempt is permitted, but the retry budget is spent
  kProcessLimit,          // the proxy reached its own limit of connections or memory
  kRequestBodyConsumed,   // part of its body has been forwarded and is no longer in memory
};

// ---- events -------------------------------------------------------------------------------------------

// The endpoint list, or a failure to get it.
struct EndpointUpdate {
  EndpointUpdateKind kind = EndpointUpdateKind::kIncremental;
  std::vector<Endpoint> endpoints;
};

// A client's request. It gets exactly one final answer: a successful attempt, RejectRequest or FailRequest.
struct RequestReceived {
  RequestId request = 0;
  TimePoint deadline{};                    // when the client gives up
  TimePoint answer_by = TimePoint::max();  // when the proxy must have answered because it shuts down
  int request_class = 0;
  int tenant = 0;
  std::uint64_t key = 0;           // key for affinity; 0: none
  bool has_work_estimate = false;  // the client gave estimated_work_ms
  bool client_retry = false;       // the client marked the request as a retry
  double estimated_work_ms = 0;    // time on a standard core, in milliseconds
};

// The response to an attempt has begun: the request has its answer.
struct ResponseStarted {
  RequestId request = 0;
  int attempt = 0;  // counted from 0 over the request's attempts
};

// An attempt ended. Each StartAttempt is followed by exactly one of these.
struct AttemptCompleted {
  RequestId request = 0;
  int attempt = 0;
  BackendId backend = 0;
  bool request_completed = false;  // the request has its final answer
  AttemptOutcome outcome = AttemptOutcome::kUnknown;
  Duration duration{0};
};

// The client has closed its connection: the request needs no answer any more.
struct ClientDisconnected {
  RequestId request = 0;
};

// A timer set by SetTimer is due.
struct TimerFired {
  std::uint64_t token = 0;
};

// What one process has observed of a backend, for its successor.
struct BackendSnapshot {
  BackendId backend = 0;
  int ejection_multiplier = 0;
  Duration ejection_remaining{0};  // time until the ejection ends; 0: not ejected
  double slow_start_work = 0;      // work sent within the overload window while warming up, in ms
};

// The state that the predecessor of this process exported.
struct StateRestored {
  std::vector<BackendSnapshot> backends;
};

// Where this proxy's subset begins on the ring of backends, as agreed among the proxies by gossip. Until such
// an event, the offset follows from Settings::proxy_index.
struct SubsetPosition {
  double ring_offset = 0;  // fraction of the ring, 0 to below 1
};

using Event = std::variant<EndpointUpdate, RequestReceived, ResponseStarted, AttemptCompleted,
                           ClientDisconnected, TimerFired, StateRestored, SubsetPosition>;

// ---- actions ------------------------------------------------------------------------------------------

// Forward the request to a backend.
struct StartAttempt {
  RequestId request = 0;
  BackendId backend = 0;
  Duration timeout{0};  // 0: no timeout but the client's deadline
  // Latest time at which the last byte may be written. An attempt that is not written completely by then ends
  // as kNotSent.
  TimePoint send_by = TimePoint::max();
};

// Final answer: the request had no effect, or repeating it has none, so that a client retry is harmless.
struct RejectRequest {
  RequestId request = 0;
  Duration retry_after{0};  // how long the client should wait before a retry; 0: no advice
  RejectReason reason = RejectReason::kNone;
};

// Final answer: the request may have been executed.
struct FailRequest {
  RequestId request = 0;
  RejectReason reason = RejectReason::kNone;
};

struct SetTimer {  // requests a TimerFired with `token` at time `at`
  TimePoint at{};
  std::uint64_t token = 0;
};

// Poll discovery for the endpoint list, and watch for changes from then on.
struct PollEndpoints {};

// Close this proxy's idle connections to a backend.
struct CloseIdleConnections {
  BackendId backend = 0;
};

// Write a line to the log.
struct Log {
  std::string text;
};

using Action = std::variant<StartAttempt, RejectRequest, FailRequest, SetTimer, PollEndpoints,
                            CloseIdleConnections, Log>;

// ---- the module ---------------------------------------------------------------------------------------

// Makes every decision of one proxy. Owns all state that the decisions depend on. Not thread-safe.
class Balancer {
 public:
  // `seed` determines all random draws.
  Balancer(Settings settings, std::uint64_t seed);
  ~Balancer();
  Balancer(Balancer&&) noexcept;
  Balancer& operator=(Balancer&&) noexcept;

  // Appends to `actions` what the caller has to do at time `now` in response to `event`. `now` must not go
  // back from one call to the next. Events about unknown requests, attempts or backends are ignored; no
  // content of an event makes this throw.
  void Handle(TimePoint now, const Event& event, std::vector<Action>* actions);

  // Returns the state for the StateRestored event of this process's successor.
  std::vector<BackendSnapshot> ExportState(TimePoint now);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace copperpoint

#endif  // COPPERPOINT_BALANCER_H_
