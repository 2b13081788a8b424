// SPDX-License-Identifier: Apache-2.0
#include "simulation/policies/pickers.h"

#include <map>

#include "simulation/policies/latency_pickers.h"
#include "simulation/policies/outlier_round_robin.h"
#include "simulation/policies/prequal.h"
#include "simulation/policies/simple_pickers.h"

namespace copperpoint::simulation {
namespace {

using ProbeFn = std::function<void(int)>;
using MakePickerFn = std::unique_ptr<Picker> (*)(std::uint64_t, const ProbeFn&);

// A picker that sends no probes.
template <typename T>
std::unique_ptr<Picker> Make(std::uint64_t seed, const ProbeFn& /*probe*/) {
  return std::make_unique<T>(seed);
}

std::unique_ptr<Picker> MakePrequal(std::uint64_t seed, const ProbeFn& probe) {
  return std::make_unique<Prequal>(seed, probe);
}

const std::map<std::string, MakePickerFn>& Pickers() {
  static const std::map<std::string, MakePickerFn> kPickers = {
      {"random", Make<RandomPicker>},        {"round_robin", Make<RoundRobin>},
      {"least_request", Make<LeastRequest>}, {"p2c", Make<TwoChoices>},
      {"peak_ewma", Make<PeakEwma>},         {"latency", Make<LatencyWeighted>},
      {"a50_rr", Make<OutlierRoundRobin>},   {"prequal", MakePrequal},
  };
  return kPickers;
}

}  // namespace

std::unique_ptr<Picker> MakePicker(const std::string& name, std::uint64_t seed, const ProbeFn& probe) {
  const auto found = Pickers().find(name);
  return found == Pickers().end() ? nullptr : found->second(seed, probe);
}

std::vector<std::string> PickerNames() {
  std::vector<std::string> names;
  for (const auto& [name, make] : Pickers()) names.push_back(name);
  return names;
}

}  // namespace copperpoint::simulation
