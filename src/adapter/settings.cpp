// SPDX-License-Identifier: Apache-2.0
#include "adapter/settings.h"

#include <charconv>
#include <cmath>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "adapter/wire_names.h"

namespace copperpoint::adapter {
namespace {

using Kind = BadSettings::Kind;

namespace keys = wire::keys;
namespace words = wire::words;

constexpr double kMaxValue = 1e12;       // upper bound of counts, times and rates
constexpr double kMaxListItems = 65536;  // the protocol has 16 bits for the index of a class or tenant

// The path=value lines of the settings. Lines without "=" are ignored. Doesn't own the text.
class PathValueLines {
 public:
  explicit PathValueLines(std::string_view text) {
    while (!text.empty()) {
      const std::size_t end = text.find('\n');
      std::string_view line = text.substr(0, end);
      text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
      if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
      const std::size_t equals = line.find('=');
      if (equals != std::string_view::npos) values_[line.substr(0, equals)] = line.substr(equals + 1);
    }
  }

  double Number(const std::string& key, double min = 0, double max = kMaxValue) const {
    const auto found = values_.find(key);
    if (found == values_.end()) throw BadSettings(Kind::kAbsent, key);
    return Checked(key, found->second, min, max);
  }
  double NumberOr(const std::string& key, double fallback, double min = 0, double max = kMaxValue) const {
    return values_.count(key) ? Number(key, min, max) : fallback;
  }
  int Integer(const std::string& key, double min, double max) const {
    const double value = Number(key, min, max);
    if (value != std::floor(value)) throw BadSettings(Kind::kNotAWholeNumber, key);
    return static_cast<int>(value);
  }
  Duration Time(const std::string& key) const { return Duration(Number(key)); }
  std::string_view Word(const std::string& key, std::string_view fallback) const {
    const auto found = values_.find(key);
    return found == values_.end() ? fallback : found->second;
  }
  std::string_view Word(const std::string& key) const {
    const auto found = values_.find(key);
    if (found == values_.end()) throw BadSettings(Kind::kAbsent, key);
    return found->second;
  }

 private:
  static double Checked(const std::string& key, std::string_view text, double min, double max) {
    double value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end != text.data() + text.size() || !std::isfinite(value))
      throw BadSettings(Kind::kNotANumber, key);
    if (value < min || value > max) throw BadSettings(Kind::kOutOfRange, key);
    return value;
  }

  std::map<std::string_view, std::string_view, std::less<>> values_;
};

Idempotency IdempotencyOf(const PathValueLines& lines, const std::string& key) {
  const std::string_view word = lines.Word(key);
  if (word == words::kIdempotent) return Idempotency::kIdempotent;
  if (word == words::kIdempotencyKey) return Idempotency::kIdempotencyKey;
  if (word == words::kNonIdempotent) return Idempotency::kNonIdempotent;
  throw BadSettings(Kind::kUnknownWord, key);
}

DeduplicationScope DeduplicationScopeOf(const PathValueLines& lines, const std::string& key) {
  const std::string_view word = lines.Word(key);
  if (word == words::kScopeAll) return DeduplicationScope::kAll;
  if (word == words::kScopeZone) return DeduplicationScope::kZone;
  if (word == words::kScopeCell) return DeduplicationScope::kCell;
  throw BadSettings(Kind::kUnknownWord, key);
}

const char* Problem(Kind kind) {
  switch (kind) {
    case Kind::kAbsent:
      return "absent";
    case Kind::kNotANumber:
      return "not a number";
    case Kind::kNotAWholeNumber:
      return "not a whole number";
    case Kind::kOutOfRange:
      return "out of range";
    case Kind::kUnknownWord:
      return "of unknown meaning";
  }
  return "bad";
}

}  // namespace

BadSettings::BadSettings(Kind kind, std::string key)
    : std::runtime_error(std::string("setting ") + Problem(kind) + ": " + key),
      kind_(kind),
      key_(std::move(key)) {}

Settings ParseSettings(std::string_view text) {
  const PathValueLines lines(text);
  Settings settings;
  settings.proxy_count = lines.Integer(keys::kProxyCount, 1, kMaxListItems);
  settings.proxy_index = static_cast<int>(lines.NumberOr(keys::kProxyIndex, 0, 0, kMaxListItems));
  settings.zone = lines.Integer(keys::kZone, 0, kMaxListItems);

  const int classes = lines.Integer(keys::kClassCount, 1, kMaxListItems);
  for (int i = 0; i < classes; ++i) {
    const std::string at = "classes." + std::to_string(i) + ".";
    ClassSettings c;
    c.idempotency = IdempotencyOf(lines, at + keys::kIdempotency);
    if (c.idempotency == Idempotency::kIdempotencyKey) {
      c.deduplication_scope = DeduplicationScopeOf(lines, at + keys::kDeduplicationScope);
      c.deduplication_window = lines.Time(at + keys::kDeduplicationWindow);
    }
    c.latency_objective = lines.Time(at + keys::kLatencyObjective);
    c.deadline = lines.Time(at + keys::kDeadline);
    c.priority_weight = lines.NumberOr(at + keys::kPriorityWeight, 1);
    c.late_weight_fraction = lines.NumberOr(at + keys::kLateWeightFraction, 0, 0, 1);
    settings.classes.push_back(c);
  }

  const int tenants = static_cast<int>(lines.NumberOr(keys::kTenantCount, 0, 0, kMaxListItems));
  for (int i = 0; i < tenants; ++i) {
    const std::string at = "tenants." + std::to_string(i) + ".";
    TenantSettings tenant;
    tenant.quota_per_s = lines.NumberOr(at + keys::kQuotaPerSecond, 0);
    settings.tenants.push_back(tenant);
  }

  settings.service_objective.overall = lines.NumberOr(keys::kObjectiveOverall, 1, 0, 1);
  settings.service_objective.worst_class = lines.NumberOr(keys::kObjectiveWorstClass, 0, 0, 1);
  settings.service_objective.worst_tenant = lines.NumberOr(keys::kObjectiveWorstTenant, 0, 0, 1);
  settings.over_quota_weight = lines.NumberOr(keys::kOverQuotaWeight, 1, 0, 1);
  settings.cross_zone_cost = lines.NumberOr(keys::kCrossZoneCost, 0);
  settings.key_affinity = lines.Word(keys::kKeyAffinity, words::kFalse) == words::kTrue;

  const std::string_view mode = lines.Word(keys::kDiscoveryMode, words::kDiscoveryPushes);
  if (mode != words::kDiscoveryPushes && mode != words::kDiscoveryIsPolled)
    throw BadSettings(Kind::kUnknownWord, keys::kDiscoveryMode);
  settings.polls_endpoints = mode == words::kDiscoveryIsPolled;
  if (settings.polls_endpoints) settings.max_poll_interval = lines.Time(keys::kMaxPollInterval);
  settings.max_attempts = lines.Integer(keys::kMaxAttempts, 1, 255);
  if (lines.Word(keys::kRetryAfterAllowed, words::kFalse) == words::kTrue)
    settings.max_retry_after = Duration(lines.NumberOr(keys::kMaxRetryAfter, 0));
  settings.tick = Duration(lines.NumberOr(keys::kTick, 1));

  settings.slow_start_min_capacity = lines.Number(keys::kSlowStartMinCapacity, 0, 1);
  settings.slow_start_window = lines.Time(keys::kSlowStartWindow);
  settings.overload_factor = lines.Number(keys::kOverloadFactor);
  settings.overload_window = lines.Time(keys::kOverloadWindow);
  return settings;
}

}  // namespace copperpoint::adapter
