// SPDX-License-Identifier: Apache-2.0
//
// Counts what a fleet of proxies did, in one pass over their logs: how requests and attempts ended, by
// second; what each backend was sent, separately while it was warming up; connections, polls of discovery
// and the time to the first endpoint list. Does no I/O. Memory grows with the number of seconds times reasons
// and with the number of backends, not with the number of lines.
#ifndef COPPERPOINT_LOG_ANALYSIS_LOG_COUNTER_H_
#define COPPERPOINT_LOG_ANALYSIS_LOG_COUNTER_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

#include "log_analysis/log_record.h"

namespace copperpoint::log_analysis {

// Number of occurrences by name.
using Counts = std::map<std::string, std::int64_t, std::less<>>;

struct CountOptions {
  double slow_start_ms = 20000;  // a backend younger than this counts as warming up
  std::string request;           // a Req-Id or a fingerprint: the lines about it are collected
};

// Everything that a backend was sent by all proxies.
struct BackendCounts {
  Counts outcomes;
  std::int64_t attempts = 0, connections = 0;
  double work_ms = 0;                                 // estimated, of all attempts
  std::map<std::int64_t, double> slow_start_work_ms;  // by second, while it was warming up
  std::unordered_set<std::string> ejected_by;         // proxies that ejected it at some time
};

// What a group of backends was sent within one second.
struct LoadCounts {
  std::int64_t attempts = 0;
  double work_ms = 0;
  std::unordered_set<std::string> backends;  // that were sent at least one attempt
};

struct SecondCounts {
  Counts requests;  // by result, or "result:reason"
  Counts attempts;  // by outcome
  LoadCounts warm, slow_start;
};

// Owns all counts. The lines of one proxy are added in the order in which they were written; proxies are
// added one after the other, in any order.
class LogCounter {
 public:
  static constexpr std::size_t kMaxTraceLines = 10000;

  explicit LogCounter(CountOptions options) : options_(std::move(options)) {}

  // The lines added from now on are those of `proxy`.
  void StartProxy(std::string proxy);
  void AddLine(std::string_view line);

  std::int64_t proxies() const { return proxies_; }
  std::int64_t lines() const { return lines_; }
  std::int64_t unreadable() const { return unreadable_; }        // lines that are not from a proxy's log
  std::int64_t dropped_lines() const { return dropped_lines_; }  // dropped by proxies over their line limit
  const std::map<std::int64_t, SecondCounts>& seconds() const { return seconds_; }  // by Unix time
  const std::map<std::string, BackendCounts>& backends() const { return backends_; }
  Counts Requests() const;
  Counts Attempts() const;
  std::int64_t connections() const;
  std::int64_t discovery_polls() const { return discovery_polls_; }
  std::int64_t discovery_failures() const { return discovery_failures_; }
  std::int64_t ejections() const { return ejections_; }
  // Time from a process's start to its first list from discovery, for each process that received one.
  const std::vector<double>& first_list_after_ms() const { return first_list_after_ms_; }
  // Number of processes that received no list from discovery.
  std::int64_t without_list() const { return without_list_ + (started_ms_ >= 0 ? 1 : 0); }
  // The lines about CountOptions::request in order of time, each preceded by the name of its proxy.
  std::vector<std::string> Trace() const;

 private:
  void Count(const LogRecord& record);
  void CountRequest(const LogRecord& record, SecondCounts* second);
  void CountAttemptStart(const LogRecord& record, SecondCounts* second);
  void CountAttemptEnd(const LogRecord& record, SecondCounts* second);
  void CountEndpointList(const LogRecord& record);
  void CountDecision(std::string_view text);
  void TraceStart(const LogRecord& record);
  void Collect(const LogRecord& record, std::string_view line);
  void EndProcess();

  CountOptions options_;
  std::string proxy_;
  std::unordered_map<std::string, double> up_since_;  // in ms, by backend, from this proxy; 0: long ago
  std::unordered_set<std::string> traced_;            // numbers of this proxy's requests that are traced
  double started_ms_ = -1;  // start of this proxy's process, in ms, until it has a list; then negative
  std::map<std::int64_t, SecondCounts> seconds_;
  std::map<std::string, BackendCounts> backends_;
  std::vector<std::pair<double, std::string>> trace_;
  std::vector<double> first_list_after_ms_;
  std::int64_t lines_ = 0, unreadable_ = 0, dropped_lines_ = 0;
  std::int64_t discovery_polls_ = 0, discovery_failures_ = 0;
  std::int64_t ejections_ = 0, without_list_ = 0, proxies_ = 0;
};

}  // namespace copperpoint::log_analysis

#endif  // COPPERPOINT_LOG_ANALYSIS_LOG_COUNTER_H_
