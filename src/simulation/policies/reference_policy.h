// SPDX-License-Identifier: Apache-2.0
//
// A reference policy: a picker from the literature with a limit on retries and an optional admission gate.
#ifndef COPPERPOINT_SIMULATION_POLICIES_REFERENCE_POLICY_H_
#define COPPERPOINT_SIMULATION_POLICIES_REFERENCE_POLICY_H_

#include <memory>
#include <string>

#include "simulation/policies/admission_gates.h"
#include "simulation/policies/endpoint_tracking_policy.h"
#include "simulation/policies/pickers.h"

namespace copperpoint::simulation {

// How often a reference policy retries a request: up to `max_retries` times, or within a retry budget.
struct RetryLimit {
  int max_retries = 0;
  bool has_budget = false;
};

class ReferencePolicy : public EndpointTrackingPolicy {
 public:
  // If `gate` is null, all requests are admitted.
  ReferencePolicy(const std::string& picker, RetryLimit retry_limit, std::unique_ptr<AdmissionGate> gate,
                  PolicyContext context);
  void OnProbe(TimePoint now, BackendId backend, int in_flight, double latency_ms) override;

 private:
  // The retry budget is a fifth of the first attempts, as in Finagle and Linkerd.
  static constexpr double kRetriesPerRequest = 0.2;
  static constexpr double kMaxRetryTokens = 100;
  static constexpr double kInitialRetryTokens = 10;

  int Pick(const OpenRequest& request) override;
  bool MayRetry() override;
  bool Admits(const RequestReceived& request) override;
  void OnResponseOrTimeout(const OpenRequest& request, double duration_ms) override;
  void OnAdmitted() override;
  void OnBackendCount(std::size_t count) override { picker_->Resize(count); }
  void OnSent(int index) override { picker_->OnSent(now(), index); }
  void OnAttemptCompleted(int index, bool success, double duration_ms) override {
    picker_->OnCompleted(now(), index, success, duration_ms);
  }

  RetryLimit retry_limit_;
  std::unique_ptr<Picker> picker_;
  std::unique_ptr<AdmissionGate> gate_;
  double retry_tokens_ = kInitialRetryTokens;
  int attempts_of_picked_ = 0;  // earlier attempts of the request of the latest pick
};

}  // namespace copperpoint::simulation

#endif  // COPPERPOINT_SIMULATION_POLICIES_REFERENCE_POLICY_H_
