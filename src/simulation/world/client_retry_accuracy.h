// SPDX-License-Identifier: Apache-2.0
//
// Measures how well ClientRetryDetector recognizes client retries among the requests of one proxy, compared
// with the truth, which only the simulation knows. It does not affect the simulation.
#ifndef COPPERPOINT_SIMULATION_WORLD_CLIENT_RETRY_ACCURACY_H_
#define COPPERPOINT_SIMULATION_WORLD_CLIENT_RETRY_ACCURACY_H_

#include <cstdint>

#include "decision/client_retry_detector.h"
#include "simulation/report/metrics.h"

namespace copperpoint::simulation {

// The detector's result for one request, which is kept with the request.
struct DetectedRequest {
  std::uint64_t fingerprint = 0;
  LogicalRequest logical_request;
};

// Feeds one proxy's requests to a detector of its own, and counts its right and wrong results in the metrics.
class ClientRetryAccuracy {
 public:
  // A request reaches the proxy. `is_retry`: it is not the first of its logical request; `seen_here`: an
  // earlier request of the same logical request reached this proxy.
  DetectedRequest OnReceived(TimePoint now, const RequestReceived& request, bool is_retry, bool seen_here,
                             Metrics* metrics) {
    DetectedRequest detected{FingerprintOf(request), {}};
    detected.logical_request = detector_.OnReceived(detected.fingerprint, now);
    const bool detected_as_retry = detected.logical_request.client_attempts > 1;
    metrics->client_retries_at_same_proxy += seen_here;
    metrics->detected_retries += detected_as_retry && is_retry;
    metrics->false_retries += detected_as_retry && !is_retry;
    return detected;
  }

  // The request is completed. `may_retry`: the client may retry it, because it was rejected, or because it
  // failed and is idempotent.
  void OnCompleted(TimePoint now, const DetectedRequest& detected, bool may_retry, Duration deadline) {
    if (may_retry) {
      detector_.OnUnserved(detected.fingerprint, detected.logical_request,
                           detected.logical_request.first_received + deadline);
    } else {
      detector_.OnServed(detected.fingerprint, now + deadline);
    }
  }

 private:
  ClientRetryDetector detector_;
};

}  // namespace copperpoint::simulation

#endif  // COPPERPOINT_SIMULATION_WORLD_CLIENT_RETRY_ACCURACY_H_
