// SPDX-License-Identifier: Apache-2.0
#include "simulation/world/client_population.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace copperpoint::simulation {
namespace {

constexpr double kImmediateRetryMs = 5;              // of clients with short timeouts
constexpr std::uint8_t kMaxRefusedConnections = 50;  // then the request counts as rejected
constexpr Micros kMinReconnect = 1000;

}  // namespace

ClientPopulation::ClientPopulation(World& world, std::uint64_t seed,
                                   std::function<void(std::uint32_t)> deliver)
    : world_(world),
      arrivals_(world.scenario, world.drawn),
      random_(seed, "crowd"),
      deliver_(std::move(deliver)) {
  front_end_proxies_.resize(static_cast<std::size_t>(world_.scenario.fleet.zones));
  for (std::uint32_t p = 0; p < world_.proxies.size(); ++p)
    front_end_proxies_[static_cast<std::size_t>(world_.proxies[p].zone)].push_back(p);
}

void ClientPopulation::Start() { ScheduleNextArrival(); }

void ClientPopulation::SetShortTimeouts(double share, Micros timeout) {
  short_timeout_share_ = share;
  short_timeout_ = timeout;
}

void ClientPopulation::ScheduleNextArrival() {
  next_arrival_ = arrivals_.Next();
  if (next_arrival_) world_.queue.Push(next_arrival_->at, EventPriority::kClient, kArrival, 0, 0);
}

void ClientPopulation::OnArrival() {
  const Arrival arrival = *next_arrival_;
  ScheduleNextArrival();
  const RequestClass& request_class = world_.scenario.classes[arrival.request_class];
  const std::uint32_t slot = world_.NewRequest();
  ClientRequest& request = world_.RequestAt(slot);
  request.arrival = arrival;
  const bool has_short_timeout = short_timeout_share_ > 0 && random_.Chance(short_timeout_share_);
  request.short_timeout = has_short_timeout ? short_timeout_ : 0;
  request.client_deadline = arrival.at + FromMs(request_class.deadline_ms);
  request.retries_left = world_.MaxClientRetries();
  world_.metrics.OnArrival(arrival.at, arrival.request_class, arrival.tenant, ValueOf(arrival));
  world_.queue.Push(world_.now() + world_.network.ClientDelay(), EventPriority::kClient, kClientSend, 0,
                    slot);
  SetDeadline(&request, arrival.at);
}

double ClientPopulation::ValueOf(const Arrival& arrival) const {
  return world_.scenario.classes[arrival.request_class].priority_weight * arrival.work_ms *
         (arrival.over_quota ? world_.scenario.rules.over_quota_weight : 1);
}

// A client with retries left gives a request up after a share of its deadline. Its last request may take all
// the time that is left.
void ClientPopulation::SetDeadline(ClientRequest* request, Micros sent) const {
  const RequestClass& request_class = world_.scenario.classes[request->arrival.request_class];
  const Micros timeout = FromMs(request_class.deadline_ms * world_.scenario.clients.request_timeout_share);
  request->deadline = request->retries_left > 0 ? std::min(sent + timeout, request->client_deadline)
                                                : request->client_deadline;
  if (request->short_timeout > 0)
    request->deadline = std::min(sent + request->short_timeout, request->client_deadline);
}

// The reference with which the request was created passes to the event of its timeout.
void ClientPopulation::OnSend(std::uint32_t slot) {
  const ClientRequest& request = world_.RequestAt(slot);
  if (world_.now() >= request.deadline) {
    OnTimeout(slot);
    return world_.Release(slot);
  }
  const auto proxy = ChooseProxy(request.arrival.zone);
  if (proxy && world_.proxies[*proxy].running) return Deliver(slot, *proxy);
  TryAnotherProxy(slot);
}

void ClientPopulation::Deliver(std::uint32_t slot, std::uint32_t proxy) {
  ++world_.metrics.client_requests;
  ClientRequest& request = world_.RequestAt(slot);
  request.proxy = proxy;
  request.proxy_incarnation = world_.proxies[proxy].incarnation;
  request.received = world_.now();
  request.reached_proxy = true;
  world_.queue.Push(request.deadline, EventPriority::kTimeout, kClientTimeout, 0, slot);
  world_.Trace(slot, "client request reaches proxy {}, timeout in {:.3f} ms", proxy,
               ToMs(request.deadline - world_.now()));
  deliver_(slot);
}

void ClientPopulation::TryAnotherProxy(std::uint32_t slot) {
  ++world_.metrics.unreachable_proxies;
  ClientRequest& request = world_.RequestAt(slot);
  if (++request.refused_connections >= kMaxRefusedConnections) {
    Retry(slot, RequestResult::kRejected, world_.now(), Duration(0));
    world_.RequestAt(slot).client_done = true;
    return world_.Release(slot);
  }
  const Micros wait = std::max(kMinReconnect, FromMs(world_.scenario.clients.reconnect_ms));
  world_.queue.Push(world_.now() + wait, EventPriority::kClient, kClientSend, 0, slot);
}

// A random proxy in the client's zone, or else in the next zone that has one.
std::optional<std::uint32_t> ClientPopulation::ChooseProxy(int zone) {
  const std::size_t zones = front_end_proxies_.size();
  for (std::size_t k = 0; k < zones; ++k) {
    const auto& proxies = front_end_proxies_[(static_cast<std::size_t>(zone) + k) % zones];
    if (!proxies.empty()) return proxies[random_.Below(proxies.size())];
  }
  return std::nullopt;
}

void ClientPopulation::OnFrontEndUpdate(std::uint32_t proxy, bool up) {
  const ProxyState& state = world_.proxies[proxy];
  // The proxy has restarted before the front end detected its crash.
  if (!up && state.running && !state.draining) return;
  auto& proxies = front_end_proxies_[static_cast<std::size_t>(state.zone)];
  std::erase(proxies, proxy);
  if (up) proxies.push_back(proxy);
  std::sort(proxies.begin(), proxies.end());
}

void ClientPopulation::OnTimeout(std::uint32_t slot) {
  ClientRequest& request = world_.RequestAt(slot);
  if (request.client_done) return;
  request.client_done = true;
  world_.Trace(slot, "the client gives this request up");
  const RequestResult result = request.reached_proxy ? RequestResult::kFailed : RequestResult::kRejected;
  Retry(slot, result, world_.now(), Duration(0));
}

void ClientPopulation::OnResponse(std::uint32_t slot, RequestResult result, Duration retry_after) {
  ClientRequest& request = world_.RequestAt(slot);
  if (request.client_done) return;
  const Micros received = world_.now() + world_.network.ClientDelay();
  if (received > request.deadline) return;  // the client times out first, see OnTimeout
  request.client_done = true;
  if (result != RequestResult::kServed) return Retry(slot, result, received, retry_after);
  const Arrival& arrival = request.arrival;
  ServedResponse response;
  response.arrived_at = arrival.at;
  response.request_class = arrival.request_class;
  response.tenant = arrival.tenant;
  response.value = ValueOf(arrival);
  response.latency_ms = ToMs(received - arrival.at);
  response.in_time =
      response.latency_ms <= world_.scenario.classes[arrival.request_class].latency_objective_ms;
  response.is_retry = world_.IsClientRetry(request);
  world_.metrics.OnServed(response);
}

// A client retries an idempotent request after any failure, and any other request only after a rejection. A
// client with short timeouts retries until its deadline, without a limit on the number of retries.
bool ClientPopulation::MayRetry(const ClientRequest& request, RequestResult result) const {
  if (request.retries_left <= 0 && request.short_timeout == 0) return false;
  return world_.scenario.classes[request.arrival.request_class].idempotent ||
         result == RequestResult::kRejected;
}

void ClientPopulation::Retry(std::uint32_t slot, RequestResult result, Micros received,
                             Duration retry_after) {
  const ClientRequest& request = world_.RequestAt(slot);
  if (!MayRetry(request, result)) return;
  const Micros at = received + Backoff(request, retry_after);
  if (at >= request.client_deadline) return;
  const std::uint32_t retry_slot = world_.NewRequest();
  const ClientRequest& previous = world_.RequestAt(slot);
  ClientRequest& retry = world_.RequestAt(retry_slot);
  retry.arrival = previous.arrival;
  retry.client_deadline = previous.client_deadline;
  retry.retries_left = std::max(0, previous.retries_left - 1);
  retry.short_timeout = previous.short_timeout;
  retry.visited_proxies = previous.visited_proxies;
  SetDeadline(&retry, at);
  world_.queue.Push(at + world_.network.ClientDelay(), EventPriority::kClient, kClientSend, 0, retry_slot);
}

Micros ClientPopulation::Backoff(const ClientRequest& request, Duration retry_after) {
  if (request.short_timeout > 0) return FromMs(kImmediateRetryMs);
  const ClientSettings& clients = world_.scenario.clients;
  const int retries = clients.retries - request.retries_left;
  double ms = 0;
  if (clients.retry == ClientRetryMode::kFixed) ms = clients.backoff_ms;
  if (clients.retry == ClientRetryMode::kExponential)
    ms = random_.Unit() * clients.backoff_ms * std::pow(2, retries);
  if (request.arrival.follows_retry_after && clients.max_retry_after_ms > 0)
    ms = std::max(ms, std::min(retry_after.count(), clients.max_retry_after_ms));
  return FromMs(ms);
}

}  // namespace copperpoint::simulation
