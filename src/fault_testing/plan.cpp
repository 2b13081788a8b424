// SPDX-License-Identifier: Apache-2.0
#include "fault_testing/plan.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <set>
#include <stdexcept>
#include <utility>

#include "config/read.h"
#include "simulation/core/random.h"

namespace copperpoint::fault_testing {
namespace {

const std::vector<std::pair<std::string, FaultKind>> kFaultKinds{{"loss", FaultKind::kLoss},
                                                                 {"delay", FaultKind::kDelay},
                                                                 {"duplicate", FaultKind::kDuplicate},
                                                                 {"reorder", FaultKind::kReorder},
                                                                 {"corrupt", FaultKind::kCorrupt},
                                                                 {"bandwidth", FaultKind::kBandwidth},
                                                                 {"cut", FaultKind::kCut},
                                                                 {"stop", FaultKind::kStop},
                                                                 {"starve", FaultKind::kStarve},
                                                                 {"kill", FaultKind::kKill},
                                                                 {"leave", FaultKind::kLeave},
                                                                 {"replace", FaultKind::kReplace},
                                                                 {"start", FaultKind::kStart},
                                                                 {"slow_start", FaultKind::kSlowStart},
                                                                 {"change", FaultKind::kChange},
                                                                 {"abort", FaultKind::kAbort},
                                                                 {"reload", FaultKind::kReload},
                                                                 {"jump", FaultKind::kJump},
                                                                 {"freeze", FaultKind::kFreeze},
                                                                 {"fail", FaultKind::kFail},
                                                                 {"slow", FaultKind::kSlow},
                                                                 {"reset", FaultKind::kReset},
                                                                 {"drain", FaultKind::kDrain},
                                                                 {"restart", FaultKind::kRestart},
                                                                 {"cut_service", FaultKind::kCutService}};
const std::vector<std::pair<std::string, PropertyKind>> kPropertyKinds{
    {"settles_within", PropertyKind::kSettlesWithin},  {"known_within", PropertyKind::kKnownWithin},
    {"never_removed", PropertyKind::kNeverRemoved},    {"bytes_at_most", PropertyKind::kBytesAtMost},
    {"served_at_least", PropertyKind::kServedAtLeast}, {"refused_some", PropertyKind::kRefusedSome},
    {"holders_even", PropertyKind::kHoldersEven},      {"traffic_share", PropertyKind::kTrafficShare},
    {"runs_at_end", PropertyKind::kRunsAtEnd},         {"ever_ran", PropertyKind::kEverRan}};

template <typename Kind>
std::string NameIn(const std::vector<std::pair<std::string, Kind>>& names, Kind kind) {
  for (const auto& [name, one] : names)
    if (one == kind) return name;
  return "unknown";
}

// Parses an index: "p7" is 6 if `prefix` is 'p'. Returns -1 if `word` is not one of "p1" to "p`count`".
int ParseIndex(char prefix, int count, std::string_view word) {
  int number = 0;
  if (word.size() < 2 || word.front() != prefix) return -1;
  const auto [end, failed] = std::from_chars(word.data() + 1, word.data() + word.size(), number);
  if (failed != std::errc() || end != word.data() + word.size() || number < 1 || number > count) return -1;
  return number - 1;
}

// The indexes below `count` that `word` selects as a number, a range or a share; empty if it is none of
// these.
std::vector<int> ParseSelector(char prefix, int count, const std::string& word, std::uint64_t seed) {
  std::vector<int> selected;
  const std::size_t dash = word.find('-');
  if (word.starts_with("share:")) {
    const double share = std::strtod(word.c_str() + 6, nullptr);
    simulation::Random random(seed, word);
    std::vector<int> all;
    for (int i = 0; i < count; ++i) all.push_back(i);
    const auto wanted = std::min(static_cast<double>(count), share * count + 0.5);
    for (int n = 0; share > 0 && n < static_cast<int>(wanted); ++n) {
      const std::size_t pick = random.Below(all.size());
      selected.push_back(all[pick]);
      all[pick] = all.back();
      all.pop_back();
    }
  } else if (dash != std::string::npos) {
    const int first = ParseIndex(prefix, count, std::string_view(word).substr(0, dash));
    const int last = ParseIndex(prefix, count, std::string_view(word).substr(dash + 1));
    for (int i = first; first >= 0 && i <= last; ++i) selected.push_back(i);
  } else if (const int one = ParseIndex(prefix, count, word); one >= 0) {
    selected.push_back(one);
  }
  return selected;
}

}  // namespace

std::string NameOf(FaultKind kind) { return NameIn(kFaultKinds, kind); }
std::string NameOf(PropertyKind kind) { return NameIn(kPropertyKinds, kind); }
std::string MemberName(int number) { return fmt::format("p{}", number + 1); }
std::string ZoneName(const Plan& plan, int number) {
  return std::string(1, static_cast<char>('a' + number % plan.zones));
}

void Fault::Describe(config::FieldVisitor& v) {
  v.Enum("kind", kind, kFaultKinds, {.text = "kind of fault"});
  v.Number("at_s", at_s, {.text = "start, after the start of the run", .unit = "s", .max = 86400});
  v.Number("for_s", for_s, {.text = "duration; 0: until the end", .unit = "s", .max = 86400});
  v.Text("when", when, {},
         {.text = "condition from whose first occurrence at_s counts: `settled`, or `EVENT` or "
                  "`EVENT:MEMBER` of a log, as "
                  "`fleet_suspected:p3`; empty: from the start"});
  v.TextList(
      "who", who,
      {.text = "members: `all`, `p3`, `p3-p9`, `zone:a`, `seeds`, `share:0.1`; link faults: the senders; "
               "freeze, fail, slow, reset: `backends`, `b1`, `b1-b3`, `share:0.5`; fail: `discovery` too"});
  v.TextList(
      "to", to,
      {.text =
           "link faults: receivers; empty: all that are not in `who`; cut_service: backends, `discovery`"});
  v.Boolean("both", both, {.text = "link faults: the reverse direction too"});
  v.Number("amount", amount,
           {.text = "share of datagrams or requests; delay: milliseconds; bandwidth: bytes a second; "
                    "slow_start, jump: "
                    "seconds; slow: factor",
            .max = 1e9});
  v.Number("least_ms", least_ms, {.text = "starve: shortest pause", .unit = "ms", .min = 1, .max = 1e5});
  v.Number("most_ms", most_ms, {.text = "starve: longest pause", .unit = "ms", .min = 1, .max = 1e5});
  v.Text("file", file, {},
         {.text = "change: a rollout plan (docs/rollout.md), relative to this file's folder"});
  v.Require("most_ms", most_ms >= least_ms, "is less than least_ms");
}

void Property::Describe(config::FieldVisitor& v) {
  v.Enum("kind", kind, kPropertyKinds, {.text = "kind of property"});
  v.Number("bound", bound,
           {.text = "seconds, count, bytes a second or share, depending on the kind", .max = 1e9});
  v.Number("after_s", after_s,
           {.text = "start of the measurement; -1: the default of the kind", .unit = "s", .min = -1});
  v.Number("until_s", until_s,
           {.text = "traffic_share: end of the measurement; -1: the end of the run", .unit = "s", .min = -1});
  v.TextList("who", who, {.text = "traffic_share: backends"});
  v.Text("version", version, {}, {.text = "runs_at_end, ever_ran: the version"});
}

void Network::Describe(config::FieldVisitor& v) {
  v.Number("delay_ms", delay_ms, {.text = "one way", .unit = "ms", .min = 0.01, .max = 1e4});
  v.Number("jitter", jitter, {.text = "coefficient of variation of the delay", .max = 5});
  v.Number("loss", loss, {.text = "share of datagrams that is always lost", .max = 0.9});
}

void Service::Describe(config::FieldVisitor& v) {
  v.Int32("backends", backends, {.text = "stand-ins", .min = 1, .max = 500});
  v.Number("work_ms", work_ms, {.text = "duration of a request", .unit = "ms", .max = 1e4});
  v.Int32("slots", slots, {.text = "concurrent requests; more are rejected", .min = 1, .max = 10000});
  v.Number("rate", rate, {.text = "requests a second over all proxies; 0: no clients", .max = 1e5});
  v.Boolean("polled_discovery", polled_discovery,
            {.text = "proxies have to poll discovery where they have no watch"});
  v.Number("cold_from", slow_start_min_capacity,
           {.text = "share of full capacity right after a start", .min = 0.01, .max = 1});
  v.Number("warm_up_s", warm_up_s, {.text = "time until full capacity", .unit = "s", .max = 600});
  v.Number("fall_multiple", overload_factor,
           {.text = "a cold backend fails at this multiple of its present capacity", .min = 1, .max = 100});
  v.Number("fall_ms", fall_ms,
           {.text = "time over which that load is measured", .unit = "ms", .min = 1, .max = 1e5});
}

void Plan::Describe(config::FieldVisitor& v) {
  v.Text("about", about, {}, {.text = "one-line description for `fault-test list`"});
  v.Int32("members", members, {.text = "proxies", .min = 1, .max = 10000});
  v.Int32("zones", zones, {.text = "members are assigned in turn", .min = 1, .max = 26});
  v.Int32("seeds", seeds,
          {.text = "the first members, which are the seed addresses of all", .min = 1, .max = 100});
  v.Number("length_s", length_s, {.text = "length of the run", .unit = "s", .min = 0.1, .max = 86400});
  v.Number("start_spread_s", start_spread_s,
           {.text = "time over which members start", .unit = "s", .max = 600});
  v.Boolean("keep", keep,
            {.text = "run each process under a supervisor with v1 (this program) and v2 (`--other`)"});
  v.Section("network", "In virtual time.", network);
  v.Section("service", "With processes: the backends and clients.", service);
  v.ItemList("fault", "The faults to inject.", faults);
  v.ItemList("property", "The properties that must hold.", properties);
  v.Require("property", !properties.empty(), "is missing: a plan without properties cannot fail");
  for (const Property& property : properties) {
    if (property.kind != PropertyKind::kTrafficShare) continue;
    try {
      SelectBackends(*this, property.who, 1);
    } catch (const std::invalid_argument& error) {
      v.Require("property", false, error.what());
    }
  }
  for (const Fault& fault : faults) {
    try {
      const bool of_backends = fault.AffectsService() && fault.kind != FaultKind::kCutService;
      of_backends ? SelectBackends(*this, fault.who, 1) : SelectMembers(*this, fault.who, 1);
      fault.AffectsService() ? SelectBackends(*this, fault.to, 1) : SelectMembers(*this, fault.to, 1);
    } catch (const std::invalid_argument& error) {
      v.Require("fault", false, error.what());
    }
  }
}

Plan ReadPlan(const std::string& file) {
  Plan plan = config::LoadFile<Plan>(file);
  const std::size_t slash = file.rfind('/');
  plan.folder = slash == std::string::npos ? "." : file.substr(0, slash);
  return plan;
}

std::vector<int> SelectMembers(const Plan& plan, const std::vector<std::string>& words, std::uint64_t seed) {
  std::set<int> selected_set;
  for (const std::string& word : words) {
    std::vector<int> selected = ParseSelector('p', plan.members, word, seed);
    for (int i = 0; i < plan.members; ++i) {
      if (word == "all" || (word == "seeds" && i < plan.seeds) ||
          (word.starts_with("zone:") && ZoneName(plan, i) == word.substr(5)))
        selected.push_back(i);
    }
    if (selected.empty()) throw std::invalid_argument("'" + word + "' selects no member");
    selected_set.insert(selected.begin(), selected.end());
  }
  return {selected_set.begin(), selected_set.end()};
}

std::vector<int> SelectBackends(const Plan& plan, const std::vector<std::string>& words, std::uint64_t seed) {
  std::set<int> selected_set;
  for (const std::string& word : words) {
    std::vector<int> selected = ParseSelector('b', plan.service.backends, word, seed);
    if (word == "discovery") selected.push_back(kDiscovery);
    for (int i = 0; word == "backends" && i < plan.service.backends; ++i) selected.push_back(i);
    if (selected.empty()) throw std::invalid_argument("'" + word + "' selects no backend");
    selected_set.insert(selected.begin(), selected.end());
  }
  return {selected_set.begin(), selected_set.end()};
}

std::vector<std::pair<double, double>> PauseIntervals(const Plan& plan, const Fault& fault,
                                                      simulation::Random& random) {
  std::vector<std::pair<double, double>> stops;
  const double until = fault.for_s > 0 ? fault.at_s + fault.for_s : plan.length_s;
  for (double at = fault.at_s + random.Between(0, fault.most_ms) / 1000; at < until;) {
    const double stop = random.Between(fault.least_ms, fault.most_ms) / 1000;
    stops.emplace_back(at, at + stop);
    at += stop + random.Between(fault.least_ms, fault.most_ms) / 1000;
  }
  return stops;
}

double LastFaultEnd(const Plan& plan) {
  double over = plan.start_spread_s;
  for (const Fault& fault : plan.faults)
    if (fault.when.empty()) over = std::max(over, fault.at_s + fault.for_s);
  return over;
}

}  // namespace copperpoint::fault_testing
