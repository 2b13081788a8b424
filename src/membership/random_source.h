// SPDX-License-Identifier: Apache-2.0
//
// The random numbers that one member uses. They are reproducible from its seed.
#ifndef COPPERPOINT_MEMBERSHIP_RANDOM_SOURCE_H_
#define COPPERPOINT_MEMBERSHIP_RANDOM_SOURCE_H_

#include <boost/random/taus88.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <cstddef>
#include <cstdint>

namespace copperpoint::membership {

class RandomSource {
 public:
  explicit RandomSource(std::uint64_t seed)
      : engine_(static_cast<std::uint32_t>(seed ^ (seed >> 32)) | kMinEngineSeed) {}

  // Returns a number from 0 to n - 1; n must be above 0.
  std::size_t Below(std::size_t n) {
    return boost::random::uniform_int_distribution<std::size_t>(0, n - 1)(engine_);
  }

 private:
  static constexpr std::uint32_t kMinEngineSeed = 4096;  // taus88 needs a bit above its lowest twelve

  boost::random::taus88 engine_;
};

}  // namespace copperpoint::membership

#endif  // COPPERPOINT_MEMBERSHIP_RANDOM_SOURCE_H_
