// SPDX-License-Identifier: Apache-2.0
//
// `copperpoint fleet count`: counts requests, attempts and ejections over the logs of all proxies.
#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <memory>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include "cli/commands.h"
#include "cli/output_file.h"
#include "cli/subcommands.h"
#include "log_analysis/log_counter.h"
#include "log_analysis/log_report.h"
#include "simulation/report/plot.h"

namespace copperpoint::cli {
namespace {

using log_analysis::LogCounter;
using simulation::Chart;
using simulation::Curve;

struct CountCommandOptions {
  std::string log_folder;
  std::string json_file;
  std::string plot_folder;
  log_analysis::CountOptions count;
};

std::vector<std::filesystem::path> LogFiles(const std::string& folder) {
  std::vector<std::filesystem::path> files;
  for (const auto& entry : std::filesystem::directory_iterator(folder)) {
    if (entry.is_regular_file()) files.push_back(entry.path());
  }
  if (files.empty()) throw std::invalid_argument(folder + ": no log files in this folder");
  std::sort(files.begin(), files.end());
  return files;
}

// Throws std::invalid_argument if a file can't be read or no line is from a proxy's log.
void CountLogs(const std::string& folder, LogCounter* counter) {
  for (const auto& file : LogFiles(folder)) {
    std::ifstream in(file, std::ios::binary);
    if (!in) throw std::invalid_argument(file.string() + ": cannot be read");
    counter->StartProxy(file.stem().string());
    for (std::string line; std::getline(in, line);) counter->AddLine(line);
  }
  if (counter->lines() == counter->unreadable())
    throw std::invalid_argument(folder + ": no line of its files is from a proxy's log");
}

// Adds a curve for each name to `chart`: its count in each second of the logs.
Chart CountsChart(Chart chart, const LogCounter& counter, const log_analysis::Counts& totals,
                  log_analysis::Counts log_analysis::SecondCounts::*counts_of_second) {
  const auto& seconds = counter.seconds();
  for (const auto& [name, total] : totals) {
    Curve curve{name, {}};
    for (const auto& [at, second] : seconds) {
      const log_analysis::Counts& counts = second.*counts_of_second;
      const auto found = counts.find(name);
      const double count = found == counts.end() ? 0.0 : static_cast<double>(found->second);
      curve.points.emplace_back(at - seconds.begin()->first, count);
    }
    chart.curves.push_back(std::move(curve));
  }
  return chart;
}

void AddMeanLoad(Curve* curve, double second, const log_analysis::LoadCounts& counts) {
  if (counts.backends.empty()) return;
  const auto backends = static_cast<double>(counts.backends.size());
  curve->points.emplace_back(second, static_cast<double>(counts.attempts) / backends);
}

// Attempts per backend in each second, of backends in slow start and of the others.
Chart LoadChart(const LogCounter& counter) {
  Curve warm{"warm", {}};
  Curve slow_start{"warming up", {}};
  for (const auto& [at, counts] : counter.seconds()) {
    const auto second = static_cast<double>(at - counter.seconds().begin()->first);
    AddMeanLoad(&warm, second, counts.warm);
    AddMeanLoad(&slow_start, second, counts.slow_start);
  }
  Chart load{"load", "Sent to each backend", "second", "requests per second", {}, {}};
  for (Curve* curve : {&warm, &slow_start}) {
    if (!curve->points.empty()) load.curves.push_back(std::move(*curve));
  }
  return load;
}

std::vector<Chart> CountCharts(const LogCounter& counter) {
  using log_analysis::SecondCounts;
  const Chart requests{"requests", "How requests ended", "second", "per second", {}, {}};
  const Chart attempts{"attempts", "How attempts ended", "second", "per second", {}, {}};
  std::vector<Chart> charts;
  charts.push_back(CountsChart(requests, counter, counter.Requests(), &SecondCounts::requests));
  charts.push_back(CountsChart(attempts, counter, counter.Attempts(), &SecondCounts::attempts));
  charts.push_back(LoadChart(counter));
  std::erase_if(charts, [](const Chart& chart) { return chart.curves.empty(); });
  return charts;
}

int PrintTrace(const LogCounter& counter, const std::string& request) {
  const auto trace = counter.Trace();
  for (const std::string& line : trace) std::cout << line << '\n';
  if (!trace.empty()) return kSuccess;
  std::cerr << "copperpoint: " << request << ": found in none of these logs\n";
  return kFailure;
}

int Count(const CountCommandOptions& options) {
  LogCounter counter(options.count);
  CountLogs(options.log_folder, &counter);
  if (!options.json_file.empty()) WriteOutputFile(options.json_file, JsonReport(counter).dump(1) + '\n');
  if (!options.plot_folder.empty()) {
    std::cout << simulation::WriteCharts(CountCharts(counter), "A fleet, counted over its logs", "",
                                         options.plot_folder)
              << '\n';
  }
  if (!options.count.request.empty()) return PrintTrace(counter, options.count.request);
  std::cout << TableReport(counter);
  return kSuccess;
}

}  // namespace

void AddFleetCountCommand(CLI::App& fleet, int* exit_code) {
  auto options = std::make_shared<CountCommandOptions>();
  CLI::App* count = fleet.add_subcommand(
      "count", "Count requests and attempts in the logs of all proxies, one file per proxy (docs/fleet.md)");
  count->footer("Example: copperpoint fleet count logs --json counted.json");
  count->add_option("LOGDIR", options->log_folder, "A folder of logs of level debug, text or JSON")
      ->required()
      ->check(CLI::ExistingDirectory);
  count->add_option(
      "--request", options->count.request,
      "Print the lines about this Req-Id, or about this fingerprint of a logical request, of every proxy");
  count
      ->add_option("--slow-start-ms", options->count.slow_start_ms,
                   "Age below which a backend counts as warming up")
      ->check(CLI::NonNegativeNumber);
  count->add_option("--json", options->json_file, "Write all counts to this file");
  count->add_option("--plot", options->plot_folder, "Plot into this folder: SVG, and one HTML page");
  count->callback([options, exit_code] { *exit_code = Count(*options); });
}

}  // namespace copperpoint::cli
