// SPDX-License-Identifier: Apache-2.0
#include "simulation/world/backend_runtime.h"

#include <utility>

namespace copperpoint::simulation {
namespace {

constexpr double kPoisonCrashShare = 0.5;  // share of a poison request's service time after which it crashes
constexpr double kLatencySmoothing = 0.2;  // weight of the latest latency in the moving average

}  // namespace

BackendRuntime::BackendRuntime(World& world, RespondFn respond, std::function<void(std::uint32_t)> on_crash)
    : world_(world),
      respond_(std::move(respond)),
      on_crash_(std::move(on_crash)),
      unresponsive_(world.backends.size()),
      recent_ms_(world.backends.size(), 0) {}

void BackendRuntime::EnqueueUnresponsive(std::uint32_t slot, std::uint32_t index) {
  const std::uint32_t backend = world_.RequestAt(slot).attempts[index].backend;
  world_.Trace(slot, "backend {} is unresponsive", backend);
  unresponsive_[backend].push_back({slot, index});
}

bool BackendRuntime::Cancel(std::uint32_t slot, std::uint32_t index) {
  const Attempt& attempt = world_.RequestAt(slot).attempts[index];
  Backend& backend = world_.backends[attempt.backend];
  if (backend.health() != Backend::Health::kUp || attempt.incarnation != backend.incarnation()) return false;
  return backend.Cancel(slot, static_cast<std::uint8_t>(index));
}

void BackendRuntime::Enqueue(std::uint32_t slot, std::uint32_t index, const Job& job) {
  const std::uint32_t id = world_.RequestAt(slot).attempts[index].backend;
  Backend& backend = world_.backends[id];
  StartedJob started;
  switch (backend.Arrive(world_.now(), job, &started)) {
    case ArrivalResult::kStarted:
      return Run(id, started);
    case ArrivalResult::kQueued:
      return world_.Trace(slot, "queued at backend {}, which now has {} requests", id, backend.requests());
    case ArrivalResult::kRejected:
      ++world_.metrics.backend_rejections;
      return respond_(slot, index, AttemptOutcome::kBackendRejected);
  }
}

void BackendRuntime::Run(std::uint32_t id, const StartedJob& started) {
  const Backend& backend = world_.backends[id];
  const Job& job = backend.job(started.slot);
  ClientRequest& request = world_.RequestAt(job.request_slot);
  world_.metrics.executed_ms += job.work_ms;
  request.attempts[job.attempt].executed_ms = job.work_ms;
  world_.Trace(job.request_slot, "starts to run at backend {}", id);
  if (!world_.scenario.classes[request.arrival.request_class].idempotent) {
    world_.rules.OnExecution(world_.now(), World::IdOf(job.request_slot, request), id, ++request.executions);
  }
  Micros ends_at = started.ends_at;
  if (world_.attempt_faults.poison_active && job.key == world_.drawn.poison_key) {
    const auto work = static_cast<double>(ends_at - world_.now());
    ends_at = world_.now() + static_cast<Micros>(kPoisonCrashShare * work);
  }
  world_.queue.Push(ends_at, EventPriority::kBackend, kWorkCompleted, id,
                    WithIncarnation(started.slot, backend.incarnation()));
}

void BackendRuntime::RunQueued(std::uint32_t backend) {
  while (const auto next = world_.backends[backend].StartNext(world_.now())) Run(backend, *next);
}

void BackendRuntime::OnWorkCompleted(std::uint32_t id, std::uint64_t job_and_incarnation) {
  Backend& backend = world_.backends[id];
  if (backend.incarnation() != IncarnationOf(job_and_incarnation)) return;
  Micros postponed_to = 0;
  const auto job = backend.Finish(world_.now(), LowHalf(job_and_incarnation), &postponed_to);
  if (!job) {
    if (postponed_to > 0)
      world_.queue.Push(postponed_to, EventPriority::kBackend, kWorkCompleted, id, job_and_incarnation);
    return;
  }
  if (world_.IsPoison(job->key)) {
    respond_(job->request_slot, job->attempt, AttemptOutcome::kConnectionReset);
    return on_crash_(id);
  }
  const Attempt& attempt = world_.RequestAt(job->request_slot).attempts[job->attempt];
  const double per_request = ToMs(world_.now() - attempt.sent) / (backend.requests() + 1);
  recent_ms_[id] += kLatencySmoothing * (per_request - recent_ms_[id]);
  const bool fails = world_.service_random.Chance(backend.type().error_rate);
  respond_(job->request_slot, job->attempt, fails ? AttemptOutcome::kServerError : AttemptOutcome::kSuccess);
  RunQueued(id);
}

double BackendRuntime::RecentLatencyMs(std::uint32_t backend) const {
  return recent_ms_[backend] * (world_.backends[backend].requests() + 1);
}

void BackendRuntime::Stop(std::uint32_t backend, Backend::Health health) {
  for (const Job& job : world_.backends[backend].Stop(health)) {
    if (health == Backend::Health::kUnresponsive) {
      unresponsive_[backend].push_back({job.request_slot, job.attempt});
    } else {
      respond_(job.request_slot, job.attempt, AttemptOutcome::kConnectionReset);
    }
  }
}

// A machine that was unresponsive answers all attempts that it had received, or that TCP retransmits now,
// with a connection reset.
void BackendRuntime::Start(std::uint32_t backend) {
  world_.backends[backend].Start(world_.now());
  recent_ms_[backend] = 0;
  for (const AttemptRef& attempt : std::exchange(unresponsive_[backend], {}))
    respond_(attempt.slot, attempt.index, AttemptOutcome::kConnectionReset);
}

}  // namespace copperpoint::simulation
