// SPDX-License-Identifier: Apache-2.0
//
// Pickers that look at most at the requests in flight.
#ifndef COPPERPOINT_SIMULATION_POLICIES_SIMPLE_PICKERS_H_
#define COPPERPOINT_SIMULATION_POLICIES_SIMPLE_PICKERS_H_

#include <cstdint>
#include <vector>

#include "simulation/core/random.h"
#include "simulation/policies/pickers.h"

namespace copperpoint::simulation {

// A ready backend at random.
class RandomPicker : public Picker {
 public:
  explicit RandomPicker(std::uint64_t seed);
  int Pick(TimePoint now, const std::vector<Candidate>& all, const std::vector<int>& ready,
           const std::vector<int>& tried) override;

 protected:
  // One of `ready` that is not in `tried`, if a few draws find one; below 0 if there is none ready.
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

// The least requests of one's own in flight, over all; ties at random.
class LeastRequest : public RandomPicker {
 public:
  using RandomPicker::RandomPicker;
  int Pick(TimePoint now, const std::vector<Candidate>& all, const std::vector<int>& ready,
           const std::vector<int>& tried) override;
};

// Power of two choices (Mitzenmacher 2001): of two drawn at random, the one of less cost, which is the number
// of requests in flight.
class TwoChoices : public RandomPicker {
 public:
  using RandomPicker::RandomPicker;
  int Pick(TimePoint now, const std::vector<Candidate>& all, const std::vector<int>& ready,
           const std::vector<int>& tried) override;

 protected:
  virtual double Cost(TimePoint now, const Candidate& backend, int index) const;
};

// Whether a backend is among those tried.
bool WasTried(const std::vector<int>& tried, int index);

}  // namespace copperpoint::simulation

#endif  // COPPERPOINT_SIMULATION_POLICIES_SIMPLE_PICKERS_H_
