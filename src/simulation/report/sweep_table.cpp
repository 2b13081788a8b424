// SPDX-License-Identifier: Apache-2.0
#include "simulation/report/sweep_table.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <utility>

#include "simulation/report/recovery.h"

namespace copperpoint::simulation {
namespace {

using nlohmann::ordered_json;

constexpr std::size_t kMinLabelWidth = 8;  // characters

struct MeanScore {
  double sum = 0;
  int runs = 0;
  double Mean() const { return sum / runs; }
};

// The table's lines and columns in the order in which they first occur.
struct Scores {
  std::vector<std::string> lines;
  std::vector<std::string> policies;
  std::map<std::pair<std::string, std::string>, MeanScore> cells;  // by line and policy

  double At(const std::string& line, const std::string& policy) const {
    const auto found = cells.find({line, policy});
    return (found == cells.end() ? MeanScore() : found->second).Mean();
  }
  bool Has(const std::string& policy) const {
    return std::find(policies.begin(), policies.end(), policy) != policies.end();
  }
};

void AddOnce(std::vector<std::string>* names, const std::string& name) {
  if (std::find(names->begin(), names->end(), name) == names->end()) names->push_back(name);
}

std::string LabelOf(const ordered_json& values) {
  std::string label;
  for (const auto& [path, value] : values.items())
    label += fmt::format("{}{}={}", label.empty() ? "" : " ", path, value.get<std::string>());
  return label.empty() ? "seeds" : label;
}

Scores ScoresOf(const std::vector<ordered_json>& results) {
  Scores scores;
  for (const ordered_json& point : results) {
    const std::string line = LabelOf(point["values"]);
    const auto policy = point["policy"].get<std::string>();
    AddOnce(&scores.lines, line);
    AddOnce(&scores.policies, policy);
    const ordered_json& result = point["result"];
    MeanScore& cell = scores.cells[{line, policy}];
    cell.sum += result.value("goal", result["goodput"].get<double>());
    ++cell.runs;
  }
  return scores;
}

// Summarizes how a policy's runs recovered after their faults; empty if none of them has a recovery.
std::string RecoveryLine(const std::vector<ordered_json>& results, const std::string& policy) {
  int runs = 0;
  int recovered = 0;
  double goodput = 0;
  double attempts = 0;
  for (const ordered_json& point : results) {
    const ordered_json& result = point["result"];
    if (point["policy"] != policy || !result.contains("recovery")) continue;
    const ordered_json& recovery = result["recovery"];
    ++runs;
    recovered += recovery["back"].get<bool>() && recovery["back_s"].get<double>() <= Recovery::kAfterS;
    goodput += recovery["after"].get<double>();
    attempts += result["attempts_per_request"].get<double>();
  }
  if (runs == 0) return "";
  return fmt::format(
      "{}: recovered within {:.0f} s in {} of {} runs; goodput in that time {:.4f}; attempts per request "
      "{:.3f}\n",
      policy, Recovery::kAfterS, recovered, runs, goodput / runs, attempts / runs);
}

}  // namespace

std::string SweepTable(const std::vector<ordered_json>& results) {
  const Scores scores = ScoresOf(results);
  std::size_t width = kMinLabelWidth;
  for (const std::string& line : scores.lines) width = std::max(width, line.size());
  std::string table = fmt::format("{:{}}", "goal", width);
  for (const std::string& policy : scores.policies) table += fmt::format("  {:>10}", policy);
  const bool compares = scores.Has("ours") && scores.Has("oracle");
  table += compares ? "   of oracle\n" : "\n";
  for (const std::string& line : scores.lines) {
    table += fmt::format("{:{}}", line, width);
    for (const std::string& policy : scores.policies)
      table += fmt::format("  {:10.4f}", scores.At(line, policy));
    if (compares) {
      const double oracle = scores.At(line, "oracle");
      table += fmt::format("  {:10.4f}", oracle > 0 ? scores.At(line, "ours") / oracle : 1);
    }
    table += '\n';
  }
  for (const std::string& policy : scores.policies) table += RecoveryLine(results, policy);
  return table;
}

}  // namespace copperpoint::simulation
