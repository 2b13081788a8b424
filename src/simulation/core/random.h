// SPDX-License-Identifier: Apache-2.0
//
// Streams of pseudo-random numbers. Each part of the simulation draws from its own stream, so that a draw
// in one part does not change the numbers that another part gets. Boost's engines and distributions give the
// same numbers on every platform.
#ifndef COPPERPOINT_SIMULATION_CORE_RANDOM_H_
#define COPPERPOINT_SIMULATION_CORE_RANDOM_H_

#include <xxhash.h>

#include <boost/random/discrete_distribution.hpp>
#include <boost/random/exponential_distribution.hpp>
#include <boost/random/mersenne_twister.hpp>
#include <boost/random/normal_distribution.hpp>
#include <boost/random/uniform_01.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <cmath>
#include <cstdint>
#include <string_view>
#include <vector>

namespace copperpoint::simulation {

// One stream. Its numbers depend only on the seed, the stream's name and its index among those of that name.
class Random {
 public:
  Random(std::uint64_t seed, std::string_view stream, std::uint64_t index = 0)
      : engine_(XXH64(stream.data(), stream.size(), seed ^ (index * 0x9e3779b97f4a7c15u))) {}

  double Unit() { return boost::random::uniform_01<double>()(engine_); }  // in [0, 1)
  // True with probability `p`.
  bool Chance(double p) { return p > 0 && Unit() < p; }
  double Between(double a, double b) { return a + (b - a) * Unit(); }  // in [a, b)
  // An integer in [0, n); `n` must not be 0.
  std::uint64_t Below(std::uint64_t n) {
    return boost::random::uniform_int_distribution<std::uint64_t>(0, n - 1)(engine_);
  }
  double Exponential(double mean) {
    return mean * boost::random::exponential_distribution<double>(1)(engine_);
  }
  // Of mean 0 and standard deviation 1.
  double Normal() { return boost::random::normal_distribution<double>()(engine_); }
  // `cv`: the coefficient of variation, which is the standard deviation over the mean.
  double Lognormal(double mean, double cv) {
    if (cv <= 0) return mean;
    const double variance = std::log1p(cv * cv);
    return mean * std::exp(std::sqrt(variance) * Normal() - variance / 2);
  }
  std::uint64_t Bits() { return engine_(); }
  boost::random::mt19937_64& engine() { return engine_; }

 private:
  boost::random::mt19937_64 engine_;
};

// Draws an index with a probability proportional to its weight, in constant time.
class WeightedChoice {
 public:
  explicit WeightedChoice(const std::vector<double>& weights) : pick_(weights.begin(), weights.end()) {}
  std::uint32_t operator()(Random& random) { return pick_(random.engine()); }

 private:
  boost::random::discrete_distribution<std::uint32_t, double> pick_;
};

// The weights of Zipf's law for `n` ranks: 1 / (k + 1)^s for rank k, counted from 0.
inline std::vector<double> ZipfWeights(std::int64_t n, double s) {
  std::vector<double> weights(static_cast<std::size_t>(n));
  for (std::size_t k = 0; k < weights.size(); ++k) weights[k] = std::pow(static_cast<double>(k + 1), -s);
  return weights;
}

}  // namespace copperpoint::simulation

#endif  // COPPERPOINT_SIMULATION_CORE_RANDOM_H_
