// SPDX-License-Identifier: Apache-2.0
#include "log_analysis/count.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>

namespace copperpoint::log_analysis {
namespace {

constexpr std::size_t kServersTold = 12;

Counts Sum(const std::map<std::int64_t, Second>& seconds, Counts Second::*of) {
  Counts sum;
  for (const auto& [at, second] : seconds) {
    for (const auto& [name, n] : second.*of) sum[name] += n;
  }
  return sum;
}

std::int64_t Get(const Counts& counts, std::string_view name) {
  const auto found = counts.find(name);
  return found == counts.end() ? 0 : found->second;
}

// All whose name is this, or begins with it and a colon.
std::int64_t GetAll(const Counts& counts, const std::string& how) {
  std::int64_t n = 0;
  for (const auto& [name, count] : counts) n += name == how || name.starts_with(how + ":") ? count : 0;
  return n;
}

double At(std::vector<double> values, double share) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  const auto place = static_cast<std::size_t>(std::ceil(share * static_cast<double>(values.size())));
  return values[std::max<std::size_t>(place, 1) - 1];
}

double Per(double sum, std::size_t n) { return n > 0 ? sum / static_cast<double>(n) : 0; }

}  // namespace

void Counter::Begin(std::string proxy) {
  EndLife();
  ++proxies_;
  proxy_ = std::move(proxy);
  up_since_.clear();
  wanted_.clear();
}

// A process that ended, or a log that did, before discovery had told it anything.
void Counter::EndLife() {
  never_fresh_ += started_ms_ >= 0;
  started_ms_ = -1;
}

void Counter::Add(std::string_view line) {
  ++lines_;
  if (const auto record = ParseLine(line)) {
    On(*record, line);
  } else {
    ++unreadable_;
  }
}

void Counter::On(const Record& record, std::string_view line) {
  const auto at_s = static_cast<std::int64_t>(std::floor(record.at_ms / 1000));
  const std::string& event = record.event;
  if (event == "request_taken") {
    const bool wanted = !options_.request.empty() &&
                        (record.Text("id") == options_.request || record.Text("wish") == options_.request);
    if (wanted) wanted_.emplace(record.Text("request"));
  } else if (event == "request_ended") {
    std::string how(record.Text("how"));
    if (!record.Text("why").empty()) how += ':', how += record.Text("why");
    ++seconds_[at_s].requests[how];
  } else if (event == "attempt_sent") {
    OnSent(record, seconds_[at_s]);
  } else if (event == "attempt_ended") {
    ++seconds_[at_s].attempts[std::string(record.Text("outcome"))];
    ++servers_[std::string(record.Text("server"))].outcomes[std::string(record.Text("outcome"))];
  } else if (event == "connection_opened") {
    ++servers_[std::string(record.Text("server"))].connections;
  } else if (event == "server_listed") {
    up_since_[std::string(record.Text("server"))] = record.Number("up_since_ms");
  } else if (event == "list_taken") {
    if (record.Text("kind") == "cached") {
      EndLife();
      wanted_.clear();
      started_ms_ = record.at_ms;
    } else if (started_ms_ >= 0) {
      fresh_after_ms_.push_back(record.at_ms - started_ms_);
      started_ms_ = -1;
    }
  } else if (event == "discovery_called") {
    ++discovery_calls_;
  } else if (event == "discovery_failed") {
    ++discovery_failures_;
  } else if (event == "decision") {
    OnDecision(record.Text("text"));
  } else if (event == "log_lines_left_out") {
    left_out_ += static_cast<std::int64_t>(record.Number("count"));
  }
  Keep(record, line);
}

void Counter::OnSent(const Record& record, Second& second) {
  const std::string name(record.Text("server"));
  const double work = record.Number("work_ms");
  ServerCount& server = servers_[name];
  ++server.sent;
  server.work_ms += work;
  const auto known = up_since_.find(name);
  const bool cold =
      known != up_since_.end() && known->second > 0 && record.at_ms - known->second < options_.cold_for_ms;
  ++(cold ? second.cold_sent : second.warm_sent);
  (cold ? second.cold_work_ms : second.warm_work_ms) += work;
  (cold ? second.cold_servers : second.warm_servers).insert(name);
  if (cold) server.cold_work[static_cast<std::int64_t>(std::floor(record.at_ms / 1000))] += work;
}

// "backend N ejected: ...", of the version before "server N ejected: ..."
void Counter::OnDecision(std::string_view text) {
  const std::size_t verb = text.find(" ejected");
  for (const std::string_view subject : {"backend ", "server "}) {
    if (!text.starts_with(subject) || verb == std::string_view::npos) continue;
    ++ejections_;
    servers_[std::string(text.substr(subject.size(), verb - subject.size()))].ejected_by.insert(proxy_);
  }
}

void Counter::Keep(const Record& record, std::string_view line) {
  if (wanted_.empty() || !wanted_.contains(std::string(record.Text("request")))) return;
  if (story_.size() < kMostStory) story_.emplace_back(record.at_ms, proxy_ + "  " + std::string(line));
  if (record.event == "request_ended") wanted_.erase(std::string(record.Text("request")));
}

Counts Counter::Requests() const { return Sum(seconds_, &Second::requests); }
Counts Counter::Attempts() const { return Sum(seconds_, &Second::attempts); }

std::int64_t Counter::connections() const {
  std::int64_t n = 0;
  for (const auto& [name, server] : servers_) n += server.connections;
  return n;
}

std::vector<std::string> Counter::Story() const {
  auto story = story_;
  std::stable_sort(story.begin(), story.end(),
                   [](const auto& a, const auto& b) { return a.first < b.first; });
  std::vector<std::string> lines;
  for (auto& [at, line] : story) lines.push_back(std::move(line));
  return lines;
}

nlohmann::ordered_json Counter::Json() const {
  nlohmann::ordered_json json{{"proxies", proxies_},
                              {"lines", lines_},
                              {"unreadable", unreadable_},
                              {"left_out", left_out_},
                              {"requests", Requests()},
                              {"attempts", Attempts()},
                              {"connections", connections()},
                              {"discovery_calls", discovery_calls_},
                              {"discovery_failures", discovery_failures_},
                              {"ejections_told", ejections_},
                              {"fresh_list_ms_p95", At(fresh_after_ms_, 0.95)},
                              {"never_fresh", never_fresh()}};
  auto& seconds = json["seconds"] = nlohmann::ordered_json::array();
  for (const auto& [at, second] : seconds_) {
    seconds.push_back({{"at_s", at},
                       {"requests", second.requests},
                       {"attempts", second.attempts},
                       {"warm_sent", second.warm_sent},
                       {"warm_servers", second.warm_servers.size()},
                       {"warm_work_ms", second.warm_work_ms},
                       {"cold_sent", second.cold_sent},
                       {"cold_servers", second.cold_servers.size()},
                       {"cold_work_ms", second.cold_work_ms}});
  }
  auto& servers = json["servers"] = nlohmann::ordered_json::object();
  for (const auto& [name, server] : servers_) {
    double most = 0;
    for (const auto& [at, work] : server.cold_work) most = std::max(most, work);
    servers[name] = {{"sent", server.sent},
                     {"work_ms", server.work_ms},
                     {"outcomes", server.outcomes},
                     {"connections", server.connections},
                     {"cold_work_ms_in_a_second", most},
                     {"ejected_by", server.ejected_by.size()}};
  }
  return json;
}

std::string Counter::Table() const {
  std::string out = fmt::format("{} proxies, {} lines, {} of them none of ours, {} left out by proxies\n",
                                proxies_, lines_, unreadable_, left_out_);
  out +=
      "second   served refused  failed | attempts ok timeout connect   reset    full   error | to each warm, "
      "each cold server: sent, work ms\n";
  const std::int64_t first = seconds_.empty() ? 0 : seconds_.begin()->first;
  for (const auto& [at, s] : seconds_) {
    out += fmt::format(
        "{:6} {:8} {:7} {:7} | {:11} {:7} {:7} {:7} {:7} {:7} | {:6.1f} {:6.0f}  {:6.1f} {:6.0f}\n",
        at - first, Get(s.requests, "served"), GetAll(s.requests, "refused"), GetAll(s.requests, "failed"),
        Get(s.attempts, "ok"), Get(s.attempts, "timeout"), Get(s.attempts, "connect_failed"),
        Get(s.attempts, "reset"), Get(s.attempts, "full"), Get(s.attempts, "error"),
        Per(static_cast<double>(s.warm_sent), s.warm_servers.size()),
        Per(s.warm_work_ms, s.warm_servers.size()),
        Per(static_cast<double>(s.cold_sent), s.cold_servers.size()),
        Per(s.cold_work_ms, s.cold_servers.size()));
  }
  out += "requests:";
  for (const auto& [name, n] : Requests()) out += fmt::format(" {} {}", name, n);
  out += "\nattempts:";
  for (const auto& [name, n] : Attempts()) out += fmt::format(" {} {}", name, n);
  std::int64_t most = 0;
  for (const auto& [name, server] : servers_) most = std::max(most, server.connections);
  out += fmt::format("\nconnections opened: {}, {:.1f} a server, {} at the most\n", connections(),
                     Per(static_cast<double>(connections()), servers_.size()), most);
  out += fmt::format(
      "calls of discovery: {}, {} ended in failure; first list after {:.0f} ms at the median, {:.0f} "
      "for 95%; none for {}\n",
      discovery_calls_, discovery_failures_, At(fresh_after_ms_, 0.5), At(fresh_after_ms_, 0.95),
      never_fresh());
  std::vector<const std::pair<const std::string, ServerCount>*> worst;
  for (const auto& server : servers_) worst.push_back(&server);
  const auto lost = [](const ServerCount& s) { return s.sent - Get(s.outcomes, "ok"); };
  std::sort(worst.begin(), worst.end(),
            [&](const auto* a, const auto* b) { return lost(a->second) > lost(b->second); });
  worst.resize(std::min(worst.size(), kServersTold));
  out += "servers that lost most:\n";
  for (const auto* server : worst) {
    out += fmt::format("  {:>12} sent {:6}, ejected by {} proxies;", server->first, server->second.sent,
                       server->second.ejected_by.size());
    for (const auto& [name, n] : server->second.outcomes) out += fmt::format(" {} {}", name, n);
    out += '\n';
  }
  return out;
}

}  // namespace copperpoint::log_analysis
