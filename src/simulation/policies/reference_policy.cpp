// SPDX-License-Identifier: Apache-2.0
#include "simulation/policies/reference_policy.h"

#include <algorithm>
#include <utility>

namespace copperpoint::simulation {

ReferencePolicy::ReferencePolicy(const std::string& picker, RetryLimit retry_limit,
                                 std::unique_ptr<AdmissionGate> gate, PolicyContext policy_context)
    : EndpointTrackingPolicy(std::move(policy_context)), retry_limit_(retry_limit), gate_(std::move(gate)) {
  picker_ = MakePicker(picker, context().seed, [this](int index) {
    if (context().probe) context().probe(backends()[static_cast<std::size_t>(index)].id);
  });
}

void ReferencePolicy::OnProbe(TimePoint at, BackendId backend, int in_flight, double latency_ms) {
  const int index = IndexOf(backend);
  if (index >= 0) picker_->OnProbe(at, index, in_flight, latency_ms);
}

int ReferencePolicy::Pick(const OpenRequest& request) {
  attempts_of_picked_ = static_cast<int>(request.tried.size());
  return picker_->Pick(now(), backends(), ready(), request.tried);
}

bool ReferencePolicy::MayRetry() {
  if (!retry_limit_.has_budget) return attempts_of_picked_ < retry_limit_.max_retries;
  if (retry_tokens_ < 1) return false;
  retry_tokens_ -= 1;
  return true;
}

bool ReferencePolicy::Admits(const RequestReceived& request) {
  return !gate_ || gate_->Admits(now(), request, attempts_in_flight());
}

void ReferencePolicy::OnResponseOrTimeout(const OpenRequest& request, double duration_ms) {
  if (gate_)
    gate_->OnResponseOrTimeout(now(), duration_ms, request.received.estimated_work_ms, attempts_in_flight());
}

void ReferencePolicy::OnAdmitted() {
  retry_tokens_ = std::min(kMaxRetryTokens, retry_tokens_ + kRetriesPerRequest);
}

}  // namespace copperpoint::simulation
