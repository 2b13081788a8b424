// SPDX-License-Identifier: Apache-2.0
#include "simulation/run/compare.h"

#include <fmt/format.h>

#include <cmath>
#include <mutex>
#include <optional>
#include <utility>

#include "simulation/run/parallel.h"

namespace copperpoint::simulation {
namespace {

constexpr double kJsonPrecision = 1e6;

std::string TableHeader() {
  return fmt::format("{:<22}{:>8}{:>9}{:>9}{:>9}{:>9}{:>8}{:>8}{:>8}{:>7}{:>8}\n", "policy", "goodput",
                     "p50 ms", "p99 ms", "p99.9 ms", "attempts", "wasted", "class", "account", "broken",
                     "oracle");
}

std::string TableRow(const nlohmann::ordered_json& run, std::optional<double> share_of_oracle) {
  return fmt::format("{:<22}{:>8.4f}{:>9.1f}{:>9.1f}{:>9.1f}{:>9.3f}{:>8.3f}{:>8.3f}{:>8.3f}{:>7}{:>8}\n",
                     run["policy"].get<std::string>(), run["goodput"].get<double>(),
                     run["p50_ms"].get<double>(), run["p99_ms"].get<double>(), run["p999_ms"].get<double>(),
                     run["attempts_per_request"].get<double>(), run["wasted_work"].get<double>(),
                     run["worst_class"].get<double>(), run["worst_account"].get<double>(),
                     run["rules_broken"].get<std::int64_t>(),
                     share_of_oracle ? fmt::format("{:.3f}", *share_of_oracle) : "-");
}

std::vector<RunResult> RunAll(const Scenario& scenario, const std::vector<std::string>& policies,
                              std::uint64_t seed, unsigned threads, const std::function<void()>& on_done) {
  std::vector<RunResult> runs(policies.size());
  std::mutex mutex;
  RunInParallel(policies.size(), threads, [&](std::size_t i) {
    RunOptions options;
    options.policy = policies[i];
    options.seed = seed;
    RunResult result = policies[i] == "ours" ? RunWithTrace(scenario, options) : Run(scenario, options);
    const std::lock_guard lock(mutex);
    runs[i] = std::move(result);
    if (on_done) on_done();
  });
  return runs;
}

}  // namespace

std::vector<std::string> AllPolicies() {
  std::vector<std::string> all = {"ours", "oracle"};
  for (const std::string& policy : ReferencePolicyNames()) {
    for (const char* retries : {"", "+3", "+budget"}) all.push_back(policy + retries);
  }
  return all;
}

Comparison Compare(const Scenario& scenario, const std::vector<std::string>& policies, std::uint64_t seed,
                   unsigned threads, const std::function<void()>& on_done) {
  Comparison comparison;
  comparison.runs = RunAll(scenario, policies, seed, threads, on_done);
  double oracle_goodput = 0;
  for (std::size_t i = 0; i < policies.size(); ++i) {
    if (policies[i] == "oracle") oracle_goodput = comparison.runs[i].goodput;
    if (policies[i] == "ours") comparison.violations += comparison.runs[i].violations;
  }
  comparison.json = {{"scenario", scenario.title}, {"seed", seed}};
  auto& runs = comparison.json["runs"] = nlohmann::ordered_json::array();
  comparison.table = TableHeader();
  for (RunResult& run : comparison.runs) {
    std::optional<double> share;
    if (oracle_goodput > 0) share = run.goodput / oracle_goodput;
    comparison.table += TableRow(run.json, share);
    if (share) run.json["share_of_oracle"] = std::round(*share * kJsonPrecision) / kJsonPrecision;
    runs.push_back(run.json);
  }
  return comparison;
}

}  // namespace copperpoint::simulation
