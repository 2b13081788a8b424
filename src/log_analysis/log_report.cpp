// SPDX-License-Identifier: Apache-2.0
#include "log_analysis/log_report.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

namespace copperpoint::log_analysis {
namespace {

constexpr std::size_t kMaxBackendsShown = 12;

std::int64_t CountOf(const Counts& counts, std::string_view name) {
  const auto found = counts.find(name);
  return found == counts.end() ? 0 : found->second;
}

// The sum of all counts whose name is `result` or begins with `result` and a colon.
std::int64_t CountWithReasons(const Counts& counts, const std::string& result) {
  std::int64_t sum = 0;
  for (const auto& [name, count] : counts) {
    if (name == result || name.starts_with(result + ":")) sum += count;
  }
  return sum;
}

// Percentile by nearest rank; 0 if there are no values. `fraction` is from 0 to 1.
double Percentile(std::vector<double> values, double fraction) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  const auto rank = static_cast<std::size_t>(std::ceil(fraction * static_cast<double>(values.size())));
  return values[std::max<std::size_t>(rank, 1) - 1];
}

double Mean(double sum, std::size_t count) { return count > 0 ? sum / static_cast<double>(count) : 0; }

std::string SecondLine(std::int64_t second, const SecondCounts& counts) {
  const Counts& attempts = counts.attempts;
  const LoadCounts &warm = counts.warm, &slow_start = counts.slow_start;
  return fmt::format(
      "{:6} {:8} {:8} {:7} | {:11} {:7} {:7} {:7} {:8} {:7} | {:6.1f} {:6.0f}  {:6.1f} {:6.0f}\n", second,
      CountOf(counts.requests, "served"), CountWithReasons(counts.requests, "rejected"),
      CountWithReasons(counts.requests, "failed"), CountOf(attempts, "success"), CountOf(attempts, "timeout"),
      CountOf(attempts, "connect_failure"), CountOf(attempts, "connection_reset"),
      CountOf(attempts, "backend_rejected"), CountOf(attempts, "server_error"),
      Mean(static_cast<double>(warm.attempts), warm.backends.size()),
      Mean(warm.work_ms, warm.backends.size()),
      Mean(static_cast<double>(slow_start.attempts), slow_start.backends.size()),
      Mean(slow_start.work_ms, slow_start.backends.size()));
}

std::string CountsLine(const char* title, const Counts& counts) {
  std::string line = title;
  for (const auto& [name, count] : counts) line += fmt::format(" {} {}", name, count);
  return line + '\n';
}

std::string ConnectionsLine(const LogCounter& counter) {
  std::int64_t max = 0;
  for (const auto& [name, backend] : counter.backends()) max = std::max(max, backend.connections);
  return fmt::format("connections opened: {}, {:.1f} per backend, {} at most to one\n", counter.connections(),
                     Mean(static_cast<double>(counter.connections()), counter.backends().size()), max);
}

std::string DiscoveryLine(const LogCounter& counter) {
  return fmt::format(
      "polls of discovery: {}, {} failed; first list after {:.0f} ms (median), {:.0f} ms (p95); "
      "{} processes without one\n",
      counter.discovery_polls(), counter.discovery_failures(), Percentile(counter.first_list_after_ms(), 0.5),
      Percentile(counter.first_list_after_ms(), 0.95), counter.without_list());
}

std::string BackendLines(const LogCounter& counter) {
  std::vector<const std::pair<const std::string, BackendCounts>*> backends;
  for (const auto& backend : counter.backends()) backends.push_back(&backend);
  const auto failed = [](const BackendCounts& counts) {
    return counts.attempts - CountOf(counts.outcomes, "success");
  };
  std::sort(backends.begin(), backends.end(),
            [&](const auto* a, const auto* b) { return failed(a->second) > failed(b->second); });
  backends.resize(std::min(backends.size(), kMaxBackendsShown));
  std::string lines = "backends with the most failed attempts:\n";
  for (const auto* backend : backends) {
    lines += fmt::format("  {:>12} attempts {:6}, ejected by {} proxies;", backend->first,
                         backend->second.attempts, backend->second.ejected_by.size());
    lines += CountsLine("", backend->second.outcomes);
  }
  return lines;
}

}  // namespace

nlohmann::ordered_json JsonReport(const LogCounter& counter) {
  nlohmann::ordered_json json{{"proxies", counter.proxies()},
                              {"lines", counter.lines()},
                              {"unreadable", counter.unreadable()},
                              {"left_out", counter.dropped_lines()},
                              {"requests", counter.Requests()},
                              {"attempts", counter.Attempts()},
                              {"connections", counter.connections()},
                              {"discovery_calls", counter.discovery_polls()},
                              {"discovery_failures", counter.discovery_failures()},
                              {"ejections_told", counter.ejections()},
                              {"fresh_list_ms_p95", Percentile(counter.first_list_after_ms(), 0.95)},
                              {"never_fresh", counter.without_list()}};
  auto& seconds = json["seconds"] = nlohmann::ordered_json::array();
  for (const auto& [at, second] : counter.seconds()) {
    seconds.push_back({{"at_s", at},
                       {"requests", second.requests},
                       {"attempts", second.attempts},
                       {"warm_sent", second.warm.attempts},
                       {"warm_servers", second.warm.backends.size()},
                       {"warm_work_ms", second.warm.work_ms},
                       {"cold_sent", second.slow_start.attempts},
                       {"cold_servers", second.slow_start.backends.size()},
                       {"cold_work_ms", second.slow_start.work_ms}});
  }
  auto& backends = json["servers"] = nlohmann::ordered_json::object();
  for (const auto& [name, backend] : counter.backends()) {
    double max_ms = 0;
    for (const auto& [at, work_ms] : backend.slow_start_work_ms) max_ms = std::max(max_ms, work_ms);
    backends[name] = {{"sent", backend.attempts},           {"work_ms", backend.work_ms},
                      {"outcomes", backend.outcomes},       {"connections", backend.connections},
                      {"cold_work_ms_in_a_second", max_ms}, {"ejected_by", backend.ejected_by.size()}};
  }
  return json;
}

std::string TableReport(const LogCounter& counter) {
  std::string out =
      fmt::format("{} proxies, {} lines, {} of them not from a proxy's log, {} dropped by proxies\n",
                  counter.proxies(), counter.lines(), counter.unreadable(), counter.dropped_lines());
  out +=
      "second   served rejected  failed | attempts ok timeout connect   reset rejected   error | to each "
      "warm, "
      "each warming up backend: attempts, work ms\n";
  const std::int64_t first = counter.seconds().empty() ? 0 : counter.seconds().begin()->first;
  for (const auto& [at, second] : counter.seconds()) out += SecondLine(at - first, second);
  out += CountsLine("requests:", counter.Requests());
  out += CountsLine("attempts:", counter.Attempts());
  return out + ConnectionsLine(counter) + DiscoveryLine(counter) + BackendLines(counter);
}

}  // namespace copperpoint::log_analysis
