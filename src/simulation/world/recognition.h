// SPDX-License-Identifier: Apache-2.0
//
// How well repeats are recognised by what clients say the same of in each try: what overload::Repeats makes
// of one proxy's requests, held against the truth, which only the emulator knows. It changes nothing.
#ifndef COPPERPOINT_SIMULATION_WORLD_RECOGNITION_H_
#define COPPERPOINT_SIMULATION_WORLD_RECOGNITION_H_

#include <cstdint>

#include "overload/repeats.h"
#include "simulation/report/metrics.h"

namespace copperpoint::simulation {

// What is known of one try; held with it.
struct Recognised {
  std::uint64_t fingerprint = 0;
  overload::Wish wish;
};

class Recognition {
 public:
  // A try reaches the proxy; `repeat`: it is not its wish's first, `was_here`: an earlier one came to this
  // proxy.
  Recognised Arrived(TimePoint now, const RequestReceived& submit, bool repeat, bool was_here,
                     Metrics* metrics) {
    Recognised r{overload::FingerprintOf(submit), {}};
    r.wish = repeats_.Arrived(r.fingerprint, now);
    metrics->repeats_here += was_here;
    metrics->recognised += r.wish.tries > 1 && repeat;
    metrics->mistaken += r.wish.tries > 1 && !repeat;
    return r;
  }
  // Its end: `may_return` as clients do after a refusal, and where it is safe after any failure.
  void Ended(TimePoint now, const Recognised& r, bool may_return, Duration deadline) {
    may_return ? repeats_.Unserved(r.fingerprint, r.wish, r.wish.since + deadline)
               : repeats_.Final(r.fingerprint, now + deadline);
  }

 private:
  overload::Repeats repeats_;
};

}  // namespace copperpoint::simulation

#endif  // COPPERPOINT_SIMULATION_WORLD_RECOGNITION_H_
