// SPDX-License-Identifier: Apache-2.0
//
// Pickers that use no more information than the number of requests in flight.
#ifndef COPPERPOINT_SIMULATION_POLICIES_SIMPLE_PICKERS_H_
#define COPPERPOINT_SIMULATION_POLICIES_SIMPLE_PICKERS_H_

#include <cstdint>
#include <vector>

#include "simulation/core/random.h"
#include "simulation/policies/pickers.h"

namespace copperpoint::simulation {

// Picks a ready backend at random.
class RandomPicker : public Picker {
 public:
  explicit RandomPicker(std::uint64_t seed);
  int Pick(TimePoint now, const std::vector<Candidate>& all, const std::vector<int>& ready,
           const std::vector<int>& tried) override;

 protected:
  // Returns one of `ready`, which is not in `tried` if a few draws find such a backend; a negative number if
  // `ready` is empty.
  int Draw(const std::vector<int>& ready, const std::vector<int>& tried);
  Random& random() { return random_; }

 private:
  Random random_;
};

class RoundRobin : public Picker {
 public:
  explicit RoundRobin(std::uint64_t seed);
  int Pick(TimePoint now, const std::vector<Candidate>& all, const std::vector<int>& ready,
           const std::vector<int>& tried) override;

 private:
  std::size_t next_;
};

// Picks the backend with the fewest requests of this proxy in flight, among all; breaks ties at random.
class LeastRequest : public RandomPicker {
 public:
  using RandomPicker::RandomPicker;
  int Pick(TimePoint now, const std::vector<Candidate>& all, const std::vector<int>& ready,
           const std::vector<int>& tried) override;
};

// Power of two choices (Mitzenmacher 2001): draws two backends at random and picks the one with the lower
// cost, which is the number of requests in flight.
class TwoChoices : public RandomPicker {
 public:
  using RandomPicker::RandomPicker;
  int Pick(TimePoint now, const std::vector<Candidate>& all, const std::vector<int>& ready,
           const std::vector<int>& tried) override;

 protected:
  virtual double Cost(TimePoint now, const Candidate& backend, int index) const;
};

// Whether the backend is among those that the request was already sent to.
bool WasTried(const std::vector<int>& tried, int index);

}  // namespace copperpoint::simulation

#endif  // COPPERPOINT_SIMULATION_POLICIES_SIMPLE_PICKERS_H_
