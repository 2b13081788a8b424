// SPDX-License-Identifier: Apache-2.0
//
// Pseudo-random numbers and the hash that all proxies share.
#ifndef COPPERPOINT_DECISION_RANDOM_H_
#define COPPERPOINT_DECISION_RANDOM_H_

#include <cstdint>
#include <random>

namespace copperpoint {

// A generator whose numbers depend on its seed alone. The standard distributions are not used, since they
// differ between libraries.
class Random {
 public:
  explicit Random(std::uint64_t seed) : engine_(seed) {}
  // Returns a number that is uniform from 0 to below 1.
  double Unit() { return static_cast<double>(engine_() >> 11) * 0x1.0p-53; }
  // Returns an integer that is uniform from 0 to `n` - 1.
  std::uint64_t Below(std::uint64_t n) { return engine_() % n; }

 private:
  std::mt19937_64 engine_;
};

// The finalizer of MurmurHash3: every bit of the result depends on every bit of `x`.
inline std::uint32_t MixBits(std::uint32_t x) {
  x = (x ^ (x >> 16)) * 0x85ebca6bu;
  x = (x ^ (x >> 13)) * 0xc2b2ae35u;
  return x ^ (x >> 16);
}

}  // namespace copperpoint

#endif  // COPPERPOINT_DECISION_RANDOM_H_
