// SPDX-License-Identifier: Apache-2.0
#include "log_analysis/log_counter.h"

#include <algorithm>
#include <cmath>

#include "log/event_names.h"

namespace copperpoint::log_analysis {
namespace {

namespace events = log::events;
namespace fields = log::fields;

constexpr double kMsPerSecond = 1000;
constexpr std::string_view kCachedList = "cached";  // kind of the list that a process starts with

std::int64_t SecondOf(const LogRecord& record) {
  return static_cast<std::int64_t>(std::floor(record.at_ms / kMsPerSecond));
}

Counts Sum(const std::map<std::int64_t, SecondCounts>& seconds, Counts SecondCounts::*counts) {
  Counts sum;
  for (const auto& [at, second] : seconds) {
    for (const auto& [name, count] : second.*counts) sum[name] += count;
  }
  return sum;
}

}  // namespace

void LogCounter::StartProxy(std::string proxy) {
  EndProcess();
  ++proxies_;
  proxy_ = std::move(proxy);
  up_since_.clear();
  traced_.clear();
}

// Counts the current process as one without a list if discovery had sent it none when it or its log ended.
void LogCounter::EndProcess() {
  without_list_ += started_ms_ >= 0 ? 1 : 0;
  started_ms_ = -1;
}

void LogCounter::AddLine(std::string_view line) {
  ++lines_;
  const auto record = ParseLine(line);
  if (!record) {
    ++unreadable_;
    return;
  }
  Count(*record);
  Collect(*record, line);
}

void LogCounter::Count(const LogRecord& record) {
  const std::string& event = record.event;
  if (event == events::kRequestReceived) {
    TraceStart(record);
  } else if (event == events::kRequestCompleted) {
    CountRequest(record, &seconds_[SecondOf(record)]);
  } else if (event == events::kAttemptStarted) {
    CountAttemptStart(record, &seconds_[SecondOf(record)]);
  } else if (event == events::kAttemptCompleted) {
    CountAttemptEnd(record, &seconds_[SecondOf(record)]);
  } else if (event == events::kConnectionOpened) {
    ++backends_[std::string(record.Text(fields::kBackend))].connections;
  } else if (event == events::kEndpointListed) {
    up_since_[std::string(record.Text(fields::kBackend))] = record.Number(fields::kUpSinceMs);
  } else if (event == events::kEndpointListReceived) {
    CountEndpointList(record);
  } else if (event == events::kDiscoveryPolled) {
    ++discovery_polls_;
  } else if (event == events::kDiscoveryFailed) {
    ++discovery_failures_;
  } else if (event == events::kDecision) {
    CountDecision(record.Text(fields::kText));
  } else if (event == events::kLogLinesDropped) {
    dropped_lines_ += static_cast<std::int64_t>(record.Number(fields::kCount));
  }
}

void LogCounter::CountRequest(const LogRecord& record, SecondCounts* second) {
  std::string name(record.Text(fields::kResult));
  if (const std::string_view reason = record.Text(fields::kReason); !reason.empty()) {
    name += ':';
    name += reason;
  }
  ++second->requests[name];
}

void LogCounter::CountAttemptStart(const LogRecord& record, SecondCounts* second) {
  const std::string name(record.Text(fields::kBackend));
  const double work_ms = record.Number(fields::kWorkMs);
  BackendCounts& backend = backends_[name];
  ++backend.attempts;
  backend.work_ms += work_ms;
  const auto listed = up_since_.find(name);
  const bool slow_start = listed != up_since_.end() && listed->second > 0 &&
                          record.at_ms - listed->second < options_.slow_start_ms;
  LoadCounts& load = slow_start ? second->slow_start : second->warm;
  ++load.attempts;
  load.work_ms += work_ms;
  load.backends.insert(name);
  if (slow_start) backend.slow_start_work_ms[SecondOf(record)] += work_ms;
}

void LogCounter::CountAttemptEnd(const LogRecord& record, SecondCounts* second) {
  const std::string outcome(record.Text(fields::kOutcome));
  ++second->attempts[outcome];
  ++backends_[std::string(record.Text(fields::kBackend))].outcomes[outcome];
}

void LogCounter::CountEndpointList(const LogRecord& record) {
  if (record.Text(fields::kKind) == kCachedList) {
    EndProcess();
    traced_.clear();
    started_ms_ = record.at_ms;
  } else if (started_ms_ >= 0) {
    first_list_after_ms_.push_back(record.at_ms - started_ms_);
    started_ms_ = -1;
  }
}

// Counts an ejection if `text` is "backend N ejected: ..."; other decisions are not counted.
void LogCounter::CountDecision(std::string_view text) {
  constexpr std::string_view kBackend = "backend ";
  const std::size_t verb = text.find(" ejected");
  if (!text.starts_with(kBackend) || verb == std::string_view::npos) return;
  ++ejections_;
  backends_[std::string(text.substr(kBackend.size(), verb - kBackend.size()))].ejected_by.insert(proxy_);
}

void LogCounter::TraceStart(const LogRecord& record) {
  if (options_.request.empty()) return;
  const bool traced =
      record.Text(fields::kId) == options_.request || record.Text(fields::kFingerprint) == options_.request;
  if (traced) traced_.emplace(record.Text(fields::kRequest));
}

void LogCounter::Collect(const LogRecord& record, std::string_view line) {
  if (traced_.empty()) return;
  const std::string request(record.Text(fields::kRequest));
  if (!traced_.contains(request)) return;
  if (trace_.size() < kMaxTraceLines) trace_.emplace_back(record.at_ms, proxy_ + "  " + std::string(line));
  if (record.event == events::kRequestCompleted) traced_.erase(request);
}

Counts LogCounter::Requests() const { return Sum(seconds_, &SecondCounts::requests); }
Counts LogCounter::Attempts() const { return Sum(seconds_, &SecondCounts::attempts); }

std::int64_t LogCounter::connections() const {
  std::int64_t sum = 0;
  for (const auto& [name, backend] : backends_) sum += backend.connections;
  return sum;
}

std::vector<std::string> LogCounter::Trace() const {
  auto by_time = trace_;
  std::stable_sort(by_time.begin(), by_time.end(),
                   [](const auto& a, const auto& b) { return a.first < b.first; });
  std::vector<std::string> lines;
  lines.reserve(by_time.size());
  for (auto& [at, line] : by_time) lines.push_back(std::move(line));
  return lines;
}

}  // namespace copperpoint::log_analysis
