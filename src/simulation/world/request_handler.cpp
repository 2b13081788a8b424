// SPDX-License-Identifier: Apache-2.0
#include "simulation/world/request_handler.h"

#include "decision/client_retry_detector.h"
#include "decision/log_names.h"
#include "log/event_names.h"

namespace copperpoint::simulation {
namespace {

constexpr std::size_t kVisitedProxyBits = 64;

const char* NameOf(RequestResult result) {
  switch (result) {
    case RequestResult::kServed:
      return "served";
    case RequestResult::kRejected:
      return "rejected";
    default:
      return "failed";
  }
}

}  // namespace

RequestHandler::RequestHandler(World& world, ProxyRuntime& proxies, ClientPopulation& clients)
    : world_(world), proxies_(proxies), clients_(clients) {}

void RequestHandler::OnReceived(std::uint32_t slot) {
  ClientRequest& request = world_.RequestAt(slot);
  const Arrival& arrival = request.arrival;
  RequestReceived event;
  event.request = World::IdOf(slot, request);
  event.deadline = World::Time(request.deadline);
  event.request_class = arrival.request_class;
  event.tenant = arrival.tenant;
  event.key = arrival.key;
  event.has_work_estimate = arrival.estimated_work_ms > 0;
  event.estimated_work_ms = arrival.estimated_work_ms;
  event.client_retry = world_.scenario.clients.marks_retry && world_.IsClientRetry(request);
  DetectClientRetry(&request, event);
  LogReceived(request.proxy, event);
  proxies_.Deliver(request.proxy, event);
}

void RequestHandler::LogReceived(std::uint32_t proxy, const RequestReceived& event) {
  if (!world_.logs) return;
  world_.LogTo(proxy, log::events::kRequestReceived,
               {{log::fields::kRequest, event.request},
                {log::fields::kId, log::Hex(event.request)},
                {log::fields::kFingerprint, log::Hex(FingerprintOf(event))},
                {"class", event.request_class},
                {log::fields::kWorkMs, event.estimated_work_ms}});
}

// Retry detection is measured only on fleets of up to 64 proxies: the set of proxies that a request has
// visited has 64 bits, and on a larger fleet a client retry rarely reaches the same proxy again.
bool RequestHandler::MeasuresRetryDetection() const { return world_.proxies.size() <= kVisitedProxyBits; }

void RequestHandler::DetectClientRetry(ClientRequest* request, const RequestReceived& event) {
  if (!MeasuresRetryDetection()) return;
  const std::uint64_t proxy_bit = std::uint64_t{1} << request->proxy;
  const bool seen_here = (request->visited_proxies & proxy_bit) != 0;
  request->detected = world_.proxies[request->proxy].retry_accuracy.OnReceived(
      world_.time(), event, world_.IsClientRetry(*request), seen_here, &world_.metrics);
  request->visited_proxies |= proxy_bit;
}

std::optional<std::uint32_t> RequestHandler::SlotOf(std::uint32_t proxy, RequestId id) const {
  const std::uint32_t slot = LowHalf(id);
  if (slot >= world_.requests.size()) return std::nullopt;
  const ClientRequest& request = world_.requests[slot];
  const bool same = request.references > 0 && World::IdOf(slot, request) == id && request.proxy == proxy &&
                    request.proxy_incarnation == world_.proxies[proxy].incarnation;
  return same ? std::optional(slot) : std::nullopt;
}

AttemptHistory RequestHandler::HistoryOf(const ClientRequest& request) const {
  AttemptHistory history;
  history.idempotent = world_.scenario.classes[request.arrival.request_class].idempotent;
  for (const Attempt& attempt : request.attempts)
    history.may_have_run |= attempt.in_flight || attempt.may_have_run;
  return history;
}

void RequestHandler::Reject(std::uint32_t proxy, const RejectRequest& action) {
  const auto slot = SlotOf(proxy, action.request);
  if (!slot || world_.RequestAt(*slot).has_response) return;
  ++world_.metrics.rejected;
  world_.rules.OnRejected(world_.now(), action.request, proxy, HistoryOf(world_.RequestAt(*slot)));
  Complete(*slot, RequestResult::kRejected, LogName(action.reason), action.retry_after);
}

void RequestHandler::Fail(std::uint32_t proxy, const FailRequest& action) {
  const auto slot = SlotOf(proxy, action.request);
  if (!slot || world_.RequestAt(*slot).has_response) return;
  ++world_.metrics.failed;
  Complete(*slot, RequestResult::kFailed, LogName(action.reason), Duration(0));
}

void RequestHandler::OnServed(std::uint32_t slot) { Complete(slot, RequestResult::kServed, "", Duration(0)); }

void RequestHandler::Complete(std::uint32_t slot, RequestResult result, const char* reason,
                              Duration retry_after) {
  ClientRequest& request = world_.RequestAt(slot);
  LogCompleted(slot, NameOf(result), reason);
  world_.rules.OnResponse(world_.now(), World::IdOf(slot, request), request.proxy, request.has_response);
  request.has_response = true;
  if (MeasuresRetryDetection()) {
    const RequestClass& request_class = world_.scenario.classes[request.arrival.request_class];
    const bool may_retry =
        result == RequestResult::kRejected || (result == RequestResult::kFailed && request_class.idempotent);
    world_.proxies[request.proxy].retry_accuracy.OnCompleted(world_.time(), request.detected, may_retry,
                                                             Duration(request_class.deadline_ms));
  }
  world_.Trace(slot, "final response: {}", NameOf(result));
  clients_.OnResponse(slot, result, retry_after);
}

void RequestHandler::LogCompleted(std::uint32_t slot, const char* result, const char* reason) {
  const ClientRequest& request = world_.RequestAt(slot);
  world_.LogTo(request.proxy, log::events::kRequestCompleted,
               {{log::fields::kRequest, World::IdOf(slot, request)},
                {"class", request.arrival.request_class},
                {log::fields::kResult, result},
                {log::fields::kReason, reason},
                {"attempts", static_cast<std::int64_t>(request.attempts.size())},
                {log::fields::kDurationMs, ToMs(world_.now() - request.received)},
                {log::fields::kDeadlineMs, ToMs(request.deadline - request.received)}});
}

void RequestHandler::OnResponseOverdue(std::uint32_t slot) {
  ClientRequest& request = world_.RequestAt(slot);
  if (request.has_response) return;
  const RequestId id = World::IdOf(slot, request);
  world_.Trace(slot, "still without a final response");
  world_.rules.OnResponseOverdue(world_.now(), id, request.proxy);
  request.has_response = true;
  if (world_.ProxyIsRunning(request)) proxies_.Deliver(request.proxy, ClientDisconnected{id});
}

void RequestHandler::OnProxyStopped(std::uint32_t proxy) {
  const std::uint32_t incarnation = world_.proxies[proxy].incarnation;
  for (std::uint32_t slot = 0; slot < world_.requests.size(); ++slot) {
    ClientRequest& request = world_.requests[slot];
    const bool at_proxy = request.references > 0 && request.reached_proxy && request.proxy == proxy &&
                          request.proxy_incarnation == incarnation;
    if (!at_proxy || request.has_response) continue;
    request.has_response = true;  // no response will follow, and the rules require none
    world_.Trace(slot, "the proxy stops before its final response");
    clients_.OnResponse(slot, RequestResult::kLost, Duration(0));
  }
}

}  // namespace copperpoint::simulation
