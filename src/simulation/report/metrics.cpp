// SPDX-License-Identifier: Apache-2.0
//
// The JSON keys are part of the format of saved results.
#include "simulation/report/metrics.h"

#include <algorithm>
#include <cmath>

namespace copperpoint::simulation {
namespace {

constexpr double kMsPerSecond = 1000;
constexpr double kJsonPrecision = 1e6;
constexpr double kMedian = 0.5;
constexpr double kP99 = 0.99;
constexpr double kP999 = 0.999;

// Rounds to six decimals, the precision of the figures, so that reports are identical byte for byte.
double Rounded(double x) { return std::round(x * kJsonPrecision) / kJsonPrecision; }

nlohmann::ordered_json RecoveryJson(const Recovery& recovery, double length_s) {
  return {{"from_s", Rounded(recovery.from_s)},
          {"to_s", Rounded(recovery.to_s)},
          {"before", Rounded(recovery.before)},
          {"during", Rounded(recovery.during)},
          {"after", Rounded(recovery.after)},
          // If goodput did not recover within the run, this is the time from the last fault to the end of the
          // run.
          {"back_s", Rounded(recovery.recovered_after_s.value_or(length_s - recovery.to_s))},
          {"back", recovery.recovered_after_s.has_value()}};
}

}  // namespace

Metrics::Metrics(const Scenario& scenario)
    : scenario_(scenario), classes_(scenario.classes.size()), tenants_(scenario.tenants.size()) {
  windows_.resize(static_cast<std::size_t>(std::ceil(scenario.length_s / scenario.window_s)));
}

Metrics::Window& Metrics::WindowAt(Micros at) {
  const auto index = static_cast<std::size_t>(ToMs(at) / kMsPerSecond / scenario_.window_s);
  return windows_[std::min(index, windows_.size() - 1)];
}

void Metrics::OnArrival(Micros at, int request_class, int tenant, double value) {
  ++first_requests;
  overall_.requested += value;
  classes_[static_cast<std::size_t>(request_class)].requested += value;
  tenants_[static_cast<std::size_t>(tenant)].requested += value;
  WindowAt(at).value.requested += value;
}

void Metrics::OnServed(const ServedResponse& response) {
  ++served;
  latency_.Add(response.latency_ms);
  Window& window = WindowAt(response.arrived_at);
  window.latency.Add(response.latency_ms);
  if (!response.in_time) {
    ++late;
    late_retries += response.is_retry;
    return;
  }
  ++in_time;
  overall_.served += response.value;
  classes_[static_cast<std::size_t>(response.request_class)].served += response.value;
  tenants_[static_cast<std::size_t>(response.tenant)].served += response.value;
  window.value.served += response.value;
}

double Metrics::WorstOf(const std::vector<ServedValue>& parts) {
  double worst = 1;
  for (const ServedValue& part : parts) worst = std::min(worst, part.Fraction());
  return worst;
}

double Metrics::ObjectiveScore() const {
  const ObjectiveWeights& weights = scenario_.objective;
  const double sum = weights.overall + weights.worst_class + weights.worst_tenant;
  if (sum <= 0) return Goodput();
  return (weights.overall * Goodput() + weights.worst_class * WorstClass() +
          weights.worst_tenant * WorstTenant()) /
         sum;
}

double Metrics::AttemptsPerRequest() const {
  return first_requests > 0 ? static_cast<double>(attempts) / static_cast<double>(first_requests) : 0;
}

std::vector<GoodputWindow> Metrics::TimeLine() const {
  std::vector<GoodputWindow> line;
  for (std::size_t i = 0; i < windows_.size(); ++i) {
    const ServedValue& value = windows_[i].value;
    line.push_back({static_cast<double>(i) * scenario_.window_s, value.requested, value.served});
  }
  return line;
}

void Metrics::OnConnectionSample(double mean, double mean_square) {
  ++connection_samples_;
  connections_mean_sum_ += mean;
  connections_cv_sum_ += std::sqrt(std::max(0.0, mean_square / (mean * mean) - 1));
}

nlohmann::ordered_json Metrics::CountersJson() const {
  const int samples = std::max(1, connection_samples_);
  return {{"first_tries", first_requests},
          {"tries", client_requests},
          {"served", served},
          {"in_time", in_time},
          {"late", late},
          {"late_repeats", late_retries},
          {"refused", rejected},
          {"failed", failed},
          {"attempts", attempts},
          {"turned_away", backend_rejections},
          {"errors", server_errors},
          {"timeouts", attempt_timeouts},
          {"connect_failed", connect_failures},
          {"resets", connection_resets},
          {"connections", connections},
          {"connections_cv", Rounded(connections_cv_sum_ / samples)},
          {"connections_mean", Rounded(connections_mean_sum_ / samples)},
          {"cross_zone", cross_zone_attempts},
          {"probes", probes},
          {"unreachable", unreachable_proxies},
          {"discovery_calls", discovery_polls},
          {"repeats_here", client_retries_at_same_proxy},
          {"recognised", detected_retries},
          {"mistaken", false_retries}};
}

nlohmann::ordered_json Metrics::WindowsJson() const {
  nlohmann::ordered_json json = nlohmann::ordered_json::array();
  for (std::size_t i = 0; i < windows_.size(); ++i) {
    const Window& window = windows_[i];
    json.push_back({{"at_s", Rounded(static_cast<double>(i) * scenario_.window_s)},
                    {"asked", Rounded(window.value.requested)},
                    {"got", Rounded(window.value.served)},
                    {"p50_ms", Rounded(window.latency.Quantile(kMedian))},
                    {"p99_ms", Rounded(window.latency.Quantile(kP99))}});
  }
  return json;
}

nlohmann::ordered_json Metrics::Json() const {
  nlohmann::ordered_json json{
      {"goodput", Rounded(Goodput())},
      {"goal", Rounded(ObjectiveScore())},
      {"mean_ms", Rounded(latency_.Mean())},
      {"p50_ms", Rounded(latency_.Quantile(kMedian))},
      {"p99_ms", Rounded(latency_.Quantile(kP99))},
      {"p999_ms", Rounded(latency_.Quantile(kP999))},
      {"attempts_per_request", Rounded(AttemptsPerRequest())},
      {"wasted_work", Rounded(WastedWork())},
      {"worst_class", Rounded(WorstClass())},
      {"worst_account", Rounded(WorstTenant())},
  };
  json["counts"] = CountersJson();
  auto& classes = json["classes"] = nlohmann::ordered_json::object();
  for (std::size_t i = 0; i < classes_.size(); ++i)
    classes[scenario_.classes[i].name] = Rounded(classes_[i].Fraction());
  auto& tenants = json["accounts"] = nlohmann::ordered_json::object();
  for (std::size_t i = 0; i < tenants_.size(); ++i)
    tenants[scenario_.tenants[i].name] = Rounded(tenants_[i].Fraction());
  if (const auto recovery = MeasureRecovery(scenario_, TimeLine()))
    json["recovery"] = RecoveryJson(*recovery, scenario_.length_s);
  json["windows"] = WindowsJson();
  return json;
}

}  // namespace copperpoint::simulation
