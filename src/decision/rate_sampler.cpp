// SPDX-License-Identifier: Apache-2.0
#include "decision/rate_sampler.h"

#include <utility>

namespace copperpoint {

void RateSampler::Advance() {
  if (state_.now < next_sample_at_) return;
  const Duration elapsed = state_.now - sampled_at_;
  if (state_.capacity.any_warming_up) backend_set_.CountCapacity();
  observer_.MarkOverdueAttempts();
  if (sampled_at_ != TimePoint{} && elapsed > Duration(0)) UpdateRates(elapsed);
  state_.tenant_quotas.Refill(elapsed.count());
  sampled_at_ = state_.now;
  next_sample_at_ = state_.now + kInterval;
  state_.recheck_queue = true;  // slow start budgets have grown since the last sample
}

void RateSampler::UpdateRates(Duration elapsed) {
  state_.traffic.Sample(elapsed.count(), state_.capacity.in_service);
  state_.concurrency_limit.Decay(elapsed);
  state_.load_shedder.Decay(elapsed);
  UpdateSlowStart(elapsed);
  backend_set_.FitToTraffic();
  state_.priority.Decay(elapsed);
  if (state_.overload_monitor.Update(state_.now, elapsed, std::exchange(state_.overload_counts, {})))
    state_.WriteLog(state_.overload_monitor.Describe());
}

void RateSampler::UpdateSlowStart(Duration elapsed) {
  SlowStart::ServiceRates rates;
  rates.served_work = state_.traffic.served_work_rate();
  rates.received_work = state_.traffic.received_work_rate();
  rates.in_service = state_.capacity.in_service;
  rates.mean_in_service = state_.traffic.mean_in_service();
  state_.slow_start.UpdateWarmRate(rates, elapsed);
  for (const BackendIndex index : state_.subset.backends()) {
    const BackendState& backend = state_.endpoints[index];
    if (backend.in_service() && state_.slow_start.CapacityFraction(backend.endpoint, state_.now) >= 1)
      state_.slow_start.OnWarmInService(backend.endpoint.kind, elapsed.count());
  }
  state_.slow_start.DecayKinds(elapsed);
}

}  // namespace copperpoint
