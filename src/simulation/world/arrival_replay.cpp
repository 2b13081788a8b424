// SPDX-License-Identifier: Apache-2.0
#include "simulation/world/arrival_replay.h"

#include <fmt/format.h>

#include <boost/algorithm/string/classification.hpp>
#include <boost/algorithm/string/split.hpp>
#include <boost/lexical_cast.hpp>
#include <fstream>
#include <optional>
#include <stdexcept>
#include <string>
#include <utility>

#include "config/read.h"

namespace copperpoint::simulation {
namespace {

enum Column : std::size_t { kAtMs, kClass, kAccount, kKey, kWorkMs, kColumns };

template <typename Items>
std::optional<std::uint16_t> IndexOf(const Items& items, const std::string& name) {
  for (std::size_t i = 0; i < items.size(); ++i) {
    if (items[i].name == name) return static_cast<std::uint16_t>(i);
  }
  return std::nullopt;
}

// `earliest`: the time of the arrival before, or 0. Throws std::invalid_argument, or boost::bad_lexical_cast
// on a malformed number.
Arrival ParseLine(const Scenario& scenario, const std::string& line, Micros earliest) {
  std::vector<std::string> columns;
  boost::algorithm::split(columns, line, boost::algorithm::is_any_of(","));
  if (columns.size() != kColumns)
    throw std::invalid_argument(fmt::format(
        "at_ms,class,account,key,work_ms are expected, but there are {} columns", columns.size()));
  const auto at_ms = boost::lexical_cast<double>(columns[kAtMs]);
  const auto request_class = IndexOf(scenario.classes, columns[kClass]);
  const auto tenant = IndexOf(scenario.tenants, columns[kAccount]);
  if (!(at_ms >= 0) || FromMs(at_ms) < earliest)
    throw std::invalid_argument(fmt::format(
        "at_ms is {}, but must be at least {}, the time of the arrival before or 0", at_ms, ToMs(earliest)));
  if (!request_class)
    throw std::invalid_argument("no class of the scenario is named '" + columns[kClass] + "'");
  if (!tenant) throw std::invalid_argument("no account of the scenario is named '" + columns[kAccount] + "'");
  Arrival arrival;
  arrival.at = FromMs(at_ms);
  arrival.request_class = *request_class;
  arrival.tenant = *tenant;
  arrival.key = boost::lexical_cast<std::uint64_t>(columns[kKey]);
  arrival.work_ms = boost::lexical_cast<float>(columns[kWorkMs]);
  if (!(arrival.work_ms > 0))
    throw std::invalid_argument(fmt::format("work_ms is {}, but must be over 0", arrival.work_ms));
  return arrival;
}

}  // namespace

std::vector<Arrival> ReadArrivalReplay(const Scenario& scenario) {
  const std::string& file = scenario.load.replay;
  std::ifstream in(file);
  if (!in) throw config::InvalidFile(file, {{0, 0, "", "cannot be read"}});
  std::vector<Arrival> arrivals;
  std::vector<config::Diagnostic> errors;
  std::string line;
  for (int number = 1; std::getline(in, line); ++number) {
    if (line.empty() || line[0] == '#') continue;
    try {
      arrivals.push_back(ParseLine(scenario, line, arrivals.empty() ? 0 : arrivals.back().at));
    } catch (const boost::bad_lexical_cast&) {
      errors.push_back(
          {number, 1, "",
           "at_ms, key or work_ms is malformed: decimal numbers are expected, for key a whole one"});
    } catch (const std::invalid_argument& error) {
      errors.push_back({number, 1, "", error.what()});
    }
  }
  if (!errors.empty()) throw config::InvalidFile(file, std::move(errors));
  return arrivals;
}

}  // namespace copperpoint::simulation
