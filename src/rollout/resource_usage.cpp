// SPDX-License-Identifier: Apache-2.0
#include "rollout/resource_usage.h"

#include <fmt/format.h>

#include <cmath>
#include <cstddef>
#include <numeric>
#include <vector>

#include "rollout/cohort.h"

namespace copperpoint::rollout {
namespace {

constexpr double kMinRequests = 200;  // A member with fewer requests is left out of the processor time.
constexpr double kMinDeviations = 6;  // In standard errors: the canaries must exceed the baseline by as much.
// Smaller differences are ignored.
constexpr double kMinMemoryDifferenceKb = 16384, kMinProcessorDifferenceUs = 20;

struct Sample {
  std::size_t size = 0;
  double mean = 0, standard_deviation = 0;
};

Sample SampleOf(const std::vector<double>& values) {
  Sample sample{values.size()};
  if (values.empty()) return sample;
  const auto size = static_cast<double>(values.size());
  sample.mean = std::accumulate(values.begin(), values.end(), 0.0) / size;
  double squares = 0;
  for (const double value : values) squares += (value - sample.mean) * (value - sample.mean);
  sample.standard_deviation = values.size() > 1 ? std::sqrt(squares / (size - 1)) : 0;
  return sample;
}

struct UsageLimits {
  double min_increase = 0;    // Relative to the baseline's mean.
  double min_difference = 0;  // In the unit of the values.
};

// Returns the means of both cohorts if the canaries' mean is too high.
std::optional<PerCohort<double>> FindIncrease(const PerCohort<std::vector<double>>& values,
                                              const UsageLimits& limits) {
  const Sample baseline = SampleOf(values.baseline), canary = SampleOf(values.canary);
  if (baseline.size < 2 || canary.size < 1) return std::nullopt;
  if (canary.mean - baseline.mean < limits.min_difference) return std::nullopt;
  const double standard_error =
      baseline.standard_deviation *
      std::sqrt(1.0 / static_cast<double>(canary.size) + 1.0 / static_cast<double>(baseline.size));
  if (canary.mean < baseline.mean * (1 + limits.min_increase) ||
      canary.mean < baseline.mean + kMinDeviations * standard_error)
    return std::nullopt;
  return PerCohort<double>{baseline.mean, canary.mean};
}

}  // namespace

std::optional<StopCause> FindResourceRegression(const MemberTable& members, std::uint32_t admitted_members,
                                                const Guardrails& guardrails) {
  PerCohort<std::vector<double>> processor_us, memory_kb;
  for (std::size_t rank = 0; rank < members.size(); ++rank) {
    const ObservedMember& member = members[rank];
    const bool admitted = rank < admitted_members;
    if (!member.has_reported || (admitted && !members.IsUpgraded(rank))) continue;
    const Cohort cohort = admitted ? Cohort::kCanary : Cohort::kBaseline;
    const auto requests = static_cast<double>(member.requests);
    if (requests >= kMinRequests)
      processor_us[cohort].push_back(static_cast<double>(member.processor_us) / requests);
    if (member.report.memory_kb() > 0) memory_kb[cohort].push_back(member.report.memory_kb());
  }
  if (const auto means =
          FindIncrease(processor_us, {guardrails.processor_increase, kMinProcessorDifferenceUs}))
    return StopCause{
        StopReason::kProcessorTime,
        fmt::format("the canaries use {:.0f} us of processor time per request, the baseline {:.0f} us",
                    means->canary, means->baseline)};
  if (const auto means = FindIncrease(memory_kb, {guardrails.memory_increase, kMinMemoryDifferenceKb}))
    return StopCause{StopReason::kMemory,
                     fmt::format("the canaries use {:.0f} kB of memory, the baseline {:.0f} kB",
                                 means->canary, means->baseline)};
  return std::nullopt;
}

}  // namespace copperpoint::rollout
