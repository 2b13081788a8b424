// SPDX-License-Identifier: Apache-2.0
#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

#include "cli/commands.h"
#include "cli/fleet_view.h"
#include "log_analysis/log_counter.h"
#include "log_analysis/log_report.h"
#include "simulation/report/plot.h"

namespace copperpoint::cli {
namespace {

struct FleetOptions {
  std::string folder, json, plots;
  log_analysis::CountOptions count;
};

std::vector<std::filesystem::path> LogsOf(const std::string& folder) {
  std::vector<std::filesystem::path> files;
  for (const auto& entry : std::filesystem::directory_iterator(folder)) {
    if (entry.is_regular_file()) files.push_back(entry.path());
  }
  if (files.empty()) throw std::invalid_argument(folder + ": no files in it");
  std::sort(files.begin(), files.end());
  return files;
}

std::vector<simulation::Chart> Charts(const log_analysis::LogCounter& counter) {
  simulation::Chart ends{"requests", "How requests ended", "second", "a second", {}, {}};
  simulation::Chart attempts{"attempts", "How attempts ended", "second", "a second", {}, {}};
  simulation::Chart load{"load", "Sent to each backend", "second", "requests a second", {}, {}};
  const auto draw = [&](simulation::Chart& chart, const log_analysis::Counts& names,
                        log_analysis::Counts log_analysis::SecondCounts::*of) {
    for (const auto& [name, all] : names) {
      simulation::Curve curve{name, {}};
      for (const auto& [at, second] : counter.seconds()) {
        const auto found = (second.*of).find(name);
        curve.points.emplace_back(at - counter.seconds().begin()->first,
                                  found == (second.*of).end() ? 0.0 : static_cast<double>(found->second));
      }
      chart.curves.push_back(std::move(curve));
    }
  };
  draw(ends, counter.Requests(), &log_analysis::SecondCounts::requests);
  draw(attempts, counter.Attempts(), &log_analysis::SecondCounts::attempts);
  simulation::Curve warm{"warm", {}}, slow_start{"warming up", {}};
  const auto add = [](simulation::Curve& curve, double second, const log_analysis::LoadCounts& counts) {
    if (counts.backends.empty()) return;
    curve.points.emplace_back(
        second, static_cast<double>(counts.attempts) / static_cast<double>(counts.backends.size()));
  };
  for (const auto& [at, counts] : counter.seconds()) {
    const auto second = static_cast<double>(at - counter.seconds().begin()->first);
    add(warm, second, counts.warm);
    add(slow_start, second, counts.slow_start);
  }
  for (simulation::Curve* curve : {&warm, &slow_start}) {
    if (!curve->points.empty()) load.curves.push_back(std::move(*curve));
  }
  std::vector<simulation::Chart> charts;
  for (simulation::Chart* chart : {&ends, &attempts, &load}) {
    if (!chart->curves.empty()) charts.push_back(std::move(*chart));
  }
  return charts;
}

int Count(const FleetOptions& options) {
  log_analysis::LogCounter counter(options.count);
  for (const auto& file : LogsOf(options.folder)) {
    std::ifstream in(file, std::ios::binary);
    if (!in) throw std::invalid_argument(file.string() + ": cannot be read");
    counter.StartProxy(file.stem().string());
    for (std::string line; std::getline(in, line);) counter.AddLine(line);
  }
  if (counter.lines() == counter.unreadable())
    throw std::invalid_argument(options.folder + ": no line of it is one of a proxy's log");
  if (!options.json.empty()) Write(options.json, JsonReport(counter).dump(1) + '\n');
  if (!options.plots.empty())
    std::cout << simulation::WriteCharts(Charts(counter), "A fleet, counted over its logs", "", options.plots)
              << '\n';
  if (options.count.request.empty()) {
    std::cout << TableReport(counter);
    return kDone;
  }
  const auto trace = counter.Trace();
  for (const std::string& line : trace) std::cout << line << '\n';
  if (trace.empty()) std::cerr << "copperpoint: " << options.count.request << ": in none of these logs\n";
  return trace.empty() ? kFault : kDone;
}

}  // namespace

void AddFleet(CLI::App& app, int* exit_code) {
  auto options = std::make_shared<FleetOptions>();
  CLI::App* group = app.add_subcommand("fleet", "A fleet of proxies: its view of itself, and what it did");
  group->require_subcommand(1);
  CLI::App* count =
      group->add_subcommand("count", "Count over the logs of all proxies, a file each (docs/fleet.md)");
  count->footer("Example: copperpoint fleet count logs --json counted.json");
  count->add_option("LOGDIR", options->folder, "A folder of logs of level debug, text or JSON")
      ->required()
      ->check(CLI::ExistingDirectory);
  count->add_option(
      "--request", options->count.request,
      "Print the lines about this Req-Id, or about this fingerprint of a logical request, of every proxy");
  count
      ->add_option("--cold-for-ms", options->count.slow_start_ms,
                   "Age below which a backend counts as warming up")
      ->check(CLI::NonNegativeNumber);
  count->add_option("--json", options->json, "Write all that was counted here");
  count->add_option("--plot", options->plots, "Draw it into this folder: SVG, and one HTML page");
  count->callback([options, exit_code] { *exit_code = Count(*options); });
  AddFleetView(*group, exit_code);
}

}  // namespace copperpoint::cli
