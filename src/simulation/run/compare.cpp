// SPDX-License-Identifier: Apache-2.0
#include "simulation/run/compare.h"

#include <fmt/format.h>

#include <algorithm>
#include <atomic>
#include <cmath>
#include <exception>
#include <mutex>
#include <thread>

namespace copperpoint::simulation {
namespace {

std::string Row(const nlohmann::ordered_json& run, double share) {
  return fmt::format(
      "{:<22}{:>8.4f}{:>9.1f}{:>9.1f}{:>9.1f}{:>9.3f}{:>8.3f}{:>8.3f}{:>8.3f}{:>7}{:>8}\n",
      run["policy"].get<std::string>(), run["goodput"].get<double>(), run["p50_ms"].get<double>(),
      run["p99_ms"].get<double>(), run["p999_ms"].get<double>(), run["attempts_per_request"].get<double>(),
      run["wasted_work"].get<double>(), run["worst_class"].get<double>(), run["worst_account"].get<double>(),
      run["rules_broken"].get<std::int64_t>(), std::isnan(share) ? "-" : fmt::format("{:.3f}", share));
}

}  // namespace

void InParallel(std::size_t n, unsigned threads, const std::function<void(std::size_t)>& job) {
  if (threads == 0) threads = std::max(1u, std::thread::hardware_concurrency());
  std::atomic<std::size_t> next{0};
  std::exception_ptr failed;
  std::mutex mutex;
  const auto work = [&] {
    for (std::size_t i = next++; i < n; i = next++) {
      try {
        job(i);
      } catch (...) {
        const std::lock_guard lock(mutex);
        if (!failed) failed = std::current_exception();
        next = n;
      }
    }
  };
  std::vector<std::thread> others;
  for (unsigned t = 1; t < std::min<std::size_t>(threads, n); ++t) others.emplace_back(work);
  work();
  for (std::thread& other : others) other.join();
  if (failed) std::rethrow_exception(failed);
}

std::vector<std::string> AllPolicies() {
  std::vector<std::string> all = {"ours", "oracle"};
  for (const std::string& rival : RivalNames()) {
    for (const char* repeats : {"", "+3", "+budget"}) all.push_back(rival + repeats);
  }
  return all;
}

Comparison Compare(const Scenario& scenario, const std::vector<std::string>& policies, std::uint64_t seed,
                   unsigned threads, const std::function<void()>& done) {
  Comparison comparison;
  comparison.runs.resize(policies.size());
  std::mutex mutex;
  InParallel(policies.size(), threads, [&](std::size_t i) {
    RunOptions options;
    options.policy = policies[i];
    options.seed = seed;
    RunResult result = policies[i] == "ours" ? RunAndTell(scenario, options) : Run(scenario, options);
    const std::lock_guard lock(mutex);
    comparison.runs[i] = std::move(result);
    if (done) done();
  });
  double top = std::nan("");
  for (std::size_t i = 0; i < policies.size(); ++i) {
    if (policies[i] == "oracle") top = comparison.runs[i].goodput;
    if (policies[i] == "ours") comparison.broken += comparison.runs[i].broken;
  }
  comparison.json = {{"scenario", scenario.title}, {"seed", seed}};
  auto& runs = comparison.json["runs"] = nlohmann::ordered_json::array();
  comparison.table =
      fmt::format("{:<22}{:>8}{:>9}{:>9}{:>9}{:>9}{:>8}{:>8}{:>8}{:>7}{:>8}\n", "policy", "goodput", "p50 ms",
                  "p99 ms", "p99.9 ms", "attempts", "wasted", "class", "account", "broken", "oracle");
  for (RunResult& run : comparison.runs) {
    const double share = top > 0 ? run.goodput / top : std::nan("");
    comparison.table += Row(run.json, share);
    if (!std::isnan(share)) run.json["share_of_oracle"] = std::round(share * 1e6) / 1e6;
    runs.push_back(run.json);
  }
  return comparison;
}

}  // namespace copperpoint::simulation
