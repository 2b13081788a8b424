// SPDX-License-Identifier: Apache-2.0
#include <fmt/format.h>
#include <sys/resource.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <iostream>
#include <memory>
#include <string>
#include <vector>

#include "cli/commands.h"
#include "config/edit.h"
#include "config/read.h"
#include "simulation/report/plot.h"
#include "simulation/run/compare.h"
#include "simulation/run/run.h"
#include "simulation/run/sweep.h"
#include "simulation/world/day.h"

namespace copperpoint::cli {
namespace {

struct Options {
  std::string scenario, policy = "ours", json, folder, input, out, logs;
  bool json_logs = false;
  std::vector<std::string> set, vary, policies;
  std::uint64_t seed = 1, trace = 0;
  std::vector<std::uint64_t> seeds;
  unsigned threads = 0;
};

std::string TextOf(const Options& options) {
  std::string text = config::Contents(options.scenario);
  for (const std::string& set : options.set) {
    const std::size_t equals = set.find('=');
    if (equals == std::string::npos) throw std::invalid_argument("--set " + set + ": KEY=VALUE is wanted");
    text = config::WithKey(text, options.scenario, set.substr(0, equals), set.substr(equals + 1));
  }
  return text;
}

simulation::Scenario Load(const Options& options) {
  if (options.set.empty()) return simulation::ReadScenario(options.scenario);
  return config::ReadFrom<simulation::Scenario>(TextOf(options), options.scenario);
}

// On a terminal, one line that is written over.
void Progress(std::size_t done, std::size_t all) {
  if (!::isatty(STDERR_FILENO)) return;
  constexpr std::size_t kWidth = 40;
  const std::size_t filled = all > 0 ? done * kWidth / all : kWidth;
  std::cerr << fmt::format("\r[{:<{}}] {}/{}{}", std::string(filled, '#'), kWidth, done, all,
                           done == all ? "\n" : "")
            << std::flush;
}

void TellCost(std::uint64_t events, double busy_s) {
  rusage usage{};
  ::getrusage(RUSAGE_SELF, &usage);
  std::cout << fmt::format("{} events, {:.0f} a second of a core; peak memory {:.0f} MB\n", events,
                           static_cast<double>(events) / std::max(busy_s, 1e-9),
                           static_cast<double>(usage.ru_maxrss) / 1024);
}

void TellBroken(const simulation::RunResult& run) {
  std::size_t told = 0;
  for (const auto& broken : run.json["broken"]) {
    if (++told > 5) break;
    std::cout << fmt::format("rule {} broken at {:.3f} ms, request {}, proxy {}, backend {}: {}\n",
                             broken["rule"].get<int>(), broken["at_ms"].get<double>(),
                             broken["request"].get<std::uint64_t>(), broken["proxy"].get<std::uint64_t>(),
                             broken["backend"].get<std::uint64_t>(), broken["what"].get<std::string>());
  }
  if (run.broken > static_cast<std::int64_t>(told)) std::cout << run.broken << " in all\n";
  if (run.story.empty()) return;
  std::cout << "the story of request " << run.first_broken << ":\n";
  for (const std::string& line : run.story) std::cout << line << '\n';
}

int RunOne(const Options& options) {
  const simulation::Scenario scenario = Load(options);
  simulation::RunOptions run;
  run.policy = options.policy;
  run.seed = options.seed;
  run.trace = options.trace;
  run.logs = options.logs;
  run.log_format = options.json_logs ? log::Format::kJson : log::Format::kText;
  const simulation::RunResult result = simulation::RunAndTell(scenario, run);
  if (!options.json.empty()) Write(options.json, result.json.dump(1) + '\n');
  nlohmann::ordered_json brief = result.json;
  for (const char* key : {"windows", "broken"}) brief.erase(key);
  std::cout << brief.dump(1) << '\n';
  if (options.trace != 0) {
    for (const std::string& line : result.story) std::cout << line << '\n';
  }
  if (result.broken > 0) TellBroken(result);
  TellCost(result.events, result.wall_s);
  return result.broken > 0 ? kFault : kDone;
}

int CompareAll(const Options& options) {
  const simulation::Scenario scenario = Load(options);
  const auto policies = options.policies.empty() ? simulation::AllPolicies() : options.policies;
  std::size_t done = 0;
  const simulation::Comparison comparison = simulation::Compare(
      scenario, policies, options.seed, options.threads, [&] { Progress(++done, policies.size()); });
  if (!options.json.empty()) Write(options.json, comparison.json.dump(1) + '\n');
  std::cout << scenario.title << ", seed " << options.seed << '\n' << comparison.table;
  std::uint64_t events = 0;
  double busy_s = 0;
  for (std::size_t i = 0; i < policies.size(); ++i) {
    events += comparison.runs[i].events;
    busy_s += comparison.runs[i].wall_s;
    if (policies[i] == "ours" && comparison.runs[i].broken > 0) TellBroken(comparison.runs[i]);
  }
  TellCost(events, busy_s);
  return comparison.broken > 0 ? kFault : kDone;
}

int SweepAll(const Options& options) {
  simulation::SweepPlan plan;
  plan.scenario_file = options.scenario;
  plan.scenario_text = TextOf(options);
  for (const std::string& vary : options.vary) plan.varied.push_back(simulation::ParseVaried(vary));
  plan.policies = options.policies.empty() ? std::vector<std::string>{"ours"} : options.policies;
  plan.seeds = options.seeds.empty() ? std::vector<std::uint64_t>{1} : options.seeds;
  const simulation::SweepReport report = simulation::Sweep(plan, options.folder, options.threads, Progress);
  std::cout << simulation::SweepTable(simulation::ReadSweep(options.folder));
  std::cout << fmt::format("{} points, {} of them done before, {} torn and done anew; in {}\n", report.points,
                           report.done_before, report.torn, options.folder);
  if (report.broken > 0) std::cout << report.broken << " rules broken\n";
  TellCost(report.events, report.busy_s);
  return report.broken > 0 ? kFault : kDone;
}

void PlotAll(const Options& options) {
  std::vector<simulation::Chart> charts;
  std::string title = "Sweep", table;
  const bool sweep = std::filesystem::is_directory(options.input);
  if (sweep) {
    charts = simulation::ChartsOfSweep(simulation::ReadSweep(options.input));
  } else {
    const auto json = nlohmann::ordered_json::parse(config::Contents(options.input), nullptr, false);
    if (!json.is_object() || !(json.contains("runs") || json.contains("windows")))
      throw std::invalid_argument(options.input + ": is no result of lab run or lab compare");
    charts = simulation::ChartsOfComparison(json);
    title =
        fmt::format("{}, seed {}", json["scenario"].get<std::string>(), json["seed"].get<std::uint64_t>());
  }
  const std::string out = !options.out.empty() ? options.out
                          : sweep              ? options.input
                                               : options.input + ".plots";
  std::cout << simulation::WriteCharts(charts, title, table, out) << '\n';
}

CLI::App* Sub(CLI::App* lab, const char* name, const char* what, const char* example) {
  CLI::App* sub = lab->add_subcommand(name, what);
  sub->footer(std::string("Example: copperpoint lab ") + example);
  return sub;
}

void AddScenario(CLI::App* sub, Options& options) {
  sub->add_option("SCENARIO", options.scenario, "A scenario file (docs/lab.md)")->required();
  sub->add_option("--set", options.set, "KEY=VALUE in place of the file's, as in load.rate=500")
      ->allow_extra_args(false);
}

}  // namespace

void Write(const std::string& file, const std::string& text) {
  std::ofstream out(file, std::ios::binary);
  out << text;
  if (!out.flush()) throw std::runtime_error(file + ": cannot be written");
}

void AddLab(CLI::App& app, int* exit_code) {
  auto options = std::make_shared<Options>();
  CLI::App* lab =
      app.add_subcommand("lab", "Emulate the service in virtual time: run, compare, sweep, plot, draw");
  lab->require_subcommand(1);
  lab->footer("Example: copperpoint lab compare lab/scenarios/ordinary.toml --seed 1 --json out.json");

  CLI::App* run = Sub(lab, "run", "Run one policy; exit code 1 and a request's story if a rule is broken",
                      "run lab/scenarios/ordinary.toml --seed 3");
  AddScenario(run, *options);
  run->add_option("--policy", options->policy, "ours, oracle, or a rival such as p2c, p2c+3, p2c+budget");
  run->add_option("--seed", options->seed, "The day and its arrivals");
  run->add_option("--json", options->json, "Write the whole result here");
  run->add_option("--trace", options->trace, "Tell the story of this request");
  run->add_option("--logs", options->logs, "Write the log of each proxy into this folder (fleet count)");
  run->add_flag("--json-logs", options->json_logs, "As JSON, a line each");
  run->callback([options, exit_code] { *exit_code = RunOne(*options); });

  CLI::App* compare = Sub(lab, "compare", "All policies on the same arrivals, in one table",
                          "compare lab/scenarios/ordinary.toml --seed 1 --json out.json");
  AddScenario(compare, *options);
  compare->add_option("--policies", options->policies, "These only, separated by commas")->delimiter(',');
  compare->add_option("--seed", options->seed, "The day and its arrivals");
  compare->add_option("--json", options->json, "Write all results here");
  compare->add_option("--threads", options->threads, "Runs at a time; 0: one a core");
  compare->callback([options, exit_code] { *exit_code = CompareAll(*options); });

  CLI::App* sweep = Sub(lab, "sweep", "Vary keys over ranges; a sweep that was stopped goes on",
                        "sweep lab/scenarios/ordinary.toml --vary load.of_capacity=0.2:1.4:0.1 "
                        "--policies ours,p2c,oracle --out found/load");
  AddScenario(sweep, *options);
  sweep->add_option("--vary", options->vary, "KEY=FIRST:LAST:STEP or KEY=VALUE,VALUE; may be given again")
      ->allow_extra_args(false);
  sweep->add_option("--policies", options->policies, "Separated by commas; ours without it")->delimiter(',');
  sweep->add_option("--seeds", options->seeds, "Separated by commas")->delimiter(',');
  sweep->add_option("--out", options->folder, "The folder of results")->required();
  sweep->add_option("--threads", options->threads, "Runs at a time; 0: one a core");
  sweep->callback([options, exit_code] { *exit_code = SweepAll(*options); });

  CLI::App* plot = Sub(lab, "plot", "Draw a sweep's folder or a result file: SVG, and one HTML page",
                       "plot out.json --out found/plots");
  plot->add_option("RESULT", options->input, "A folder of lab sweep, or a file of lab run or lab compare")
      ->required()
      ->check(CLI::ExistingPath);
  plot->add_option("--out", options->out, "The folder of the pictures; RESULT, or RESULT.plots, without it");
  plot->callback([options] { PlotAll(*options); });

  CLI::App* reference = Sub(lab, "reference", "Print the page of a scenario's keys, in Markdown",
                            "reference > docs/scenarios.md");
  reference->callback([] {
    std::cout << "# Scenario files\n\nTOML, read by `copperpoint lab`. docs/lab.md says what each model "
                 "does; this page is written by\n"
                 "`copperpoint lab reference`. Unknown keys and values out of range are refused, all of them "
                 "at once.\n\n"
              << simulation::ScenarioReference();
  });

  CLI::App* draw = Sub(lab, "draw", "Print the day that a seed draws: backends, speeds, whom troubles befall",
                       "draw lab/scenarios/ordinary.toml --seed 3");
  AddScenario(draw, *options);
  draw->add_option("--seed", options->seed, "The day");
  draw->callback([options] {
    const simulation::Scenario scenario = Load(*options);
    std::cout << simulation::Json(scenario, simulation::Draw(scenario, options->seed)).dump(1) << '\n';
  });
}

}  // namespace copperpoint::cli
