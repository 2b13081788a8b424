// SPDX-License-Identifier: Apache-2.0
//
// How well repeats are recognised by what clients say the same of in each try: what ClientRetryDetector makes
// of one proxy's requests, held against the truth, which only the emulator knows. It changes nothing.
#ifndef COPPERPOINT_SIMULATION_WORLD_RECOGNITION_H_
#define COPPERPOINT_SIMULATION_WORLD_RECOGNITION_H_

#include <cstdint>

#include "decision/client_retry_detector.h"
#include "simulation/report/metrics.h"

namespace copperpoint::simulation {

// What is known of one try; held with it.
struct Recognised {
  std::uint64_t fingerprint = 0;
  LogicalRequest logical_request;
};

class Recognition {
 public:
  // A try reaches the proxy; `repeat`: it is not its wish's first, `was_here`: an earlier one came to this
  // proxy.
  Recognised Arrived(TimePoint now, const RequestReceived& submit, bool repeat, bool was_here,
                     Metrics* metrics) {
    Recognised r{FingerprintOf(submit), {}};
    r.logical_request = detector_.OnReceived(r.fingerprint, now);
    metrics->repeats_here += was_here;
    metrics->recognised += r.logical_request.client_attempts > 1 && repeat;
    metrics->mistaken += r.logical_request.client_attempts > 1 && !repeat;
    return r;
  }
  // Its end: `may_return` as clients do after a refusal, and where it is safe after any failure.
  void Ended(TimePoint now, const Recognised& r, bool may_return, Duration deadline) {
    may_return
        ? detector_.OnUnserved(r.fingerprint, r.logical_request, r.logical_request.first_received + deadline)
        : detector_.OnServed(r.fingerprint, now + deadline);
  }

 private:
  ClientRetryDetector detector_;
};

}  // namespace copperpoint::simulation

#endif  // COPPERPOINT_SIMULATION_WORLD_RECOGNITION_H_
