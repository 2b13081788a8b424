// SPDX-License-Identifier: Apache-2.0
//
// What a fleet of proxies did, counted over their logs in one pass: how requests and attempts ended, by
// second; what each server got, and a cold one beside warm ones; connections, calls of discovery, age of the
// first list. Decides nothing; no I/O. Memory is bounded by seconds times reasons and by servers, not by
// lines.
#ifndef COPPERPOINT_LOG_ANALYSIS_LOG_COUNTER_H_
#define COPPERPOINT_LOG_ANALYSIS_LOG_COUNTER_H_

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "log_analysis/log_record.h"

namespace copperpoint::log_analysis {

using Counts = std::map<std::string, std::int64_t, std::less<>>;

struct Options {
  double cold_for_ms = 20000;  // age of a server below which it counts as cold
  std::string request;         // an id, or what all tries of a wish share: its story is kept
};

// Everything that a server got from all proxies.
struct ServerCount {
  Counts outcomes;
  std::int64_t sent = 0, connections = 0;
  double work_ms = 0;                          // hinted, of what was sent
  std::map<std::int64_t, double> cold_work;    // by second, while it was cold
  std::unordered_set<std::string> ejected_by;  // proxies that took it out at some time
};

struct Second {
  Counts requests;  // "served", or "refused:why"
  Counts attempts;  // by outcome
  std::int64_t warm_sent = 0, cold_sent = 0;
  double warm_work_ms = 0, cold_work_ms = 0;
  std::unordered_set<std::string> warm_servers, cold_servers;  // that were sent something
};

class Counter {
 public:
  static constexpr std::size_t kMostStory = 10000;  // lines of it that are kept

  explicit Counter(Options options) : options_(std::move(options)) {}

  // Lines of one proxy in the order they were written; proxies in any order, one after the other.
  void Begin(std::string proxy);
  void Add(std::string_view line);

  std::int64_t lines() const { return lines_; }
  std::int64_t unreadable() const { return unreadable_; }  // lines that are none of ours
  std::int64_t left_out() const { return left_out_; }      // that a proxy's bound on lines has cost
  const std::map<std::int64_t, Second>& seconds() const { return seconds_; }  // of Unix time
  const std::map<std::string, ServerCount>& servers() const { return servers_; }
  Counts Requests() const;
  Counts Attempts() const;
  std::int64_t connections() const;
  std::int64_t discovery_calls() const { return discovery_calls_; }
  std::int64_t discovery_failures() const { return discovery_failures_; }
  std::int64_t ejections() const { return ejections_; }
  // From a process's start to its first list from discovery, for each that got one; and those that got none.
  const std::vector<double>& fresh_after_ms() const { return fresh_after_ms_; }
  std::int64_t never_fresh() const { return never_fresh_ + (started_ms_ >= 0); }
  // The lines of one request or wish by time, each with its proxy.
  std::vector<std::string> Story() const;

  nlohmann::ordered_json Json() const;
  std::string Table() const;

 private:
  struct Open {
    std::string server;
    bool wanted = false;
  };
  void On(const Record& record, std::string_view line);
  void OnSent(const Record& record, Second& second);
  void OnDecision(std::string_view text);
  void Keep(const Record& record, std::string_view line);
  void EndLife();

  Options options_;
  std::string proxy_;
  std::unordered_map<std::string, double> up_since_;  // of servers, as this proxy was told; 0: long ago
  std::unordered_set<std::string> wanted_;            // this proxy's numbers of requests whose story is kept
  double started_ms_ = -1;  // of this proxy's process; below 0: none waits for a list
  std::map<std::int64_t, Second> seconds_;
  std::map<std::string, ServerCount> servers_;
  std::vector<std::pair<double, std::string>> story_;
  std::vector<double> fresh_after_ms_;
  std::int64_t lines_ = 0, unreadable_ = 0, left_out_ = 0, discovery_calls_ = 0, discovery_failures_ = 0,
               ejections_ = 0, never_fresh_ = 0, proxies_ = 0;
};

}  // namespace copperpoint::log_analysis

#endif  // COPPERPOINT_LOG_ANALYSIS_LOG_COUNTER_H_
