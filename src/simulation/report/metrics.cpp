// SPDX-License-Identifier: Apache-2.0
#include "simulation/report/metrics.h"

#include <algorithm>
#include <cmath>

namespace copperpoint::simulation {
namespace {

constexpr double kLeastMs = 0.01, kMostMs = 1e6;
constexpr unsigned kBins = 1851;  // each 1% wider than the one below

// Byte-equal reports: no digits beyond what the figures mean.
double Rounded(double x) { return std::round(x * 1e6) / 1e6; }

}  // namespace

Latency::Latency()
    : histogram_(boost::histogram::make_histogram_with(boost::histogram::dense_storage<std::uint64_t>(),
                                                       Axis(kBins, kLeastMs, kMostMs))) {}

std::int64_t Latency::count() const {
  std::uint64_t sum = 0;
  for (const std::uint64_t n : histogram_) sum += n;  // with what lies beyond either end
  return static_cast<std::int64_t>(sum);
}

double Latency::Quantile(double q) const {
  const double target = q * static_cast<double>(count());
  if (target <= 0) return 0;
  double seen = 0;
  const Axis& axis = histogram_.axis();
  for (int i = -1; i <= axis.size(); ++i) {  // the first and the last hold what lies beyond the range
    seen += static_cast<double>(histogram_.at(i));
    if (seen < target) continue;
    const double low = i < 0 ? kLeastMs : axis.value(i);
    const double high = i >= axis.size() ? kMostMs : axis.value(i + 1);
    return std::sqrt(low * high);
  }
  return kMostMs;
}

Metrics::Metrics(const Scenario& scenario)
    : scenario_(scenario), classes_(scenario.classes.size()), accounts_(scenario.accounts.size()) {
  windows_.resize(static_cast<std::size_t>(std::ceil(scenario.length_s / scenario.window_s)));
}

Metrics::Window& Metrics::At(Micros at) {
  const auto index = static_cast<std::size_t>(ToMs(at) / 1000 / scenario_.window_s);
  return windows_[std::min(index, windows_.size() - 1)];
}

void Metrics::Asked(Micros at, int cls, int account, double worth) {
  ++first_tries;
  whole_.asked += worth;
  classes_[static_cast<std::size_t>(cls)].asked += worth;
  accounts_[static_cast<std::size_t>(account)].asked += worth;
  At(at).worth.asked += worth;
}

void Metrics::Served(Micros first_at, int cls, int account, double worth, double took_ms, bool timely,
                     bool repeat) {
  ++served;
  latency_.Add(took_ms);
  Window& window = At(first_at);
  window.latency.Add(took_ms);
  if (!timely) {
    ++late;
    late_repeats += repeat;
    return;
  }
  ++in_time;
  whole_.got += worth;
  classes_[static_cast<std::size_t>(cls)].got += worth;
  accounts_[static_cast<std::size_t>(account)].got += worth;
  window.worth.got += worth;
}

double Metrics::Worst(const std::vector<Worth>& parts) {
  double worst = 1;
  for (const Worth& part : parts) worst = std::min(worst, part.Share());
  return worst;
}

double Metrics::ObjectiveScore() const {
  const Goals& g = scenario_.goal;
  const double all = g.whole + g.worst_class + g.worst_account;
  if (all <= 0) return Goodput();
  return (g.whole * Goodput() + g.worst_class * WorstClass() + g.worst_account * WorstAccount()) / all;
}

double Metrics::AttemptsPerRequest() const {
  return first_tries > 0 ? static_cast<double>(attempts) / static_cast<double>(first_tries) : 0;
}

std::vector<Stretch> Metrics::TimeLine() const {
  std::vector<Stretch> line;
  for (std::size_t i = 0; i < windows_.size(); ++i) {
    const Worth& worth = windows_[i].worth;
    line.push_back({static_cast<double>(i) * scenario_.window_s, worth.asked, worth.got});
  }
  return line;
}

void Metrics::ConnectionsLie(double mean, double mean_square) {
  ++connections_samples_;
  connections_mean_ += mean;
  connections_cv_ += std::sqrt(std::max(0.0, mean_square / (mean * mean) - 1));
}

nlohmann::ordered_json Metrics::Json() const {
  nlohmann::ordered_json json{
      {"goodput", Rounded(Goodput())},
      {"goal", Rounded(ObjectiveScore())},
      {"mean_ms", Rounded(latency_.Mean())},
      {"p50_ms", Rounded(latency_.Quantile(0.5))},
      {"p99_ms", Rounded(latency_.Quantile(0.99))},
      {"p999_ms", Rounded(latency_.Quantile(0.999))},
      {"attempts_per_request", Rounded(AttemptsPerRequest())},
      {"wasted_work", Rounded(Wasted())},
      {"worst_class", Rounded(WorstClass())},
      {"worst_account", Rounded(WorstAccount())},
  };
  json["counts"] = {{"first_tries", first_tries},
                    {"tries", tries},
                    {"served", served},
                    {"in_time", in_time},
                    {"late", late},
                    {"late_repeats", late_repeats},
                    {"refused", refused},
                    {"failed", failed},
                    {"attempts", attempts},
                    {"turned_away", turned_away},
                    {"errors", errors},
                    {"timeouts", timeouts},
                    {"connect_failed", connect_failed},
                    {"resets", resets},
                    {"connections", connections},
                    {"connections_cv", Rounded(connections_cv_ / std::max(1, connections_samples_))},
                    {"connections_mean", Rounded(connections_mean_ / std::max(1, connections_samples_))},
                    {"cross_zone", cross_zone},
                    {"probes", probes},
                    {"unreachable", unreachable},
                    {"discovery_calls", discovery_calls},
                    {"repeats_here", repeats_here},
                    {"recognised", recognised},
                    {"mistaken", mistaken}};
  auto& classes = json["classes"] = nlohmann::ordered_json::object();
  for (std::size_t i = 0; i < classes_.size(); ++i)
    classes[scenario_.classes[i].name] = Rounded(classes_[i].Share());
  auto& accounts = json["accounts"] = nlohmann::ordered_json::object();
  for (std::size_t i = 0; i < accounts_.size(); ++i)
    accounts[scenario_.accounts[i].name] = Rounded(accounts_[i].Share());
  if (const auto r = RecoveryOf(scenario_, TimeLine())) {
    json["recovery"] = {{"from_s", Rounded(r->from_s)},
                        {"to_s", Rounded(r->to_s)},
                        {"before", Rounded(r->before)},
                        {"during", Rounded(r->during)},
                        {"after", Rounded(r->after)},
                        // Never within the run: told as its rest.
                        {"back_s", Rounded(r->back_s.value_or(scenario_.length_s - r->to_s))},
                        {"back", r->back_s.has_value()}};
  }
  auto& windows = json["windows"] = nlohmann::ordered_json::array();
  for (std::size_t i = 0; i < windows_.size(); ++i) {
    const Window& w = windows_[i];
    windows.push_back({{"at_s", Rounded(static_cast<double>(i) * scenario_.window_s)},
                       {"asked", Rounded(w.worth.asked)},
                       {"got", Rounded(w.worth.got)},
                       {"p50_ms", Rounded(w.latency.Quantile(0.5))},
                       {"p99_ms", Rounded(w.latency.Quantile(0.99))}});
  }
  return json;
}

}  // namespace copperpoint::simulation
