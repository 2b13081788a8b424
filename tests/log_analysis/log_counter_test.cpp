// SPDX-License-Identifier: Apache-2.0
//
// Counts over the logs of a fleet are compared with the simulator's own figures of the same run, and counts
// of logs with old names with those of current logs.
#include "log_analysis/log_counter.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <vector>

#include "lab_testing.h"
#include "log_analysis/log_report.h"

namespace copperpoint::log_analysis {
namespace {

class Folder {
 public:
  Folder() {
    char name[] = "/tmp/copperpoint-fleet-XXXXXX";
    path = ::mkdtemp(name);
  }
  ~Folder() { std::filesystem::remove_all(path); }
  std::string path;
};

// A scenario with timeouts, resets, errors, failed connections, rejections, restarts and overloaded
// discovery.
simulation::Scenario Busy() {
  simulation::Scenario s = simulation::MinimalScenario();
  s.length_s = 8;
  s.load.of_capacity = 1.1;
  s.load.hint_error = 0.2;
  s.load.keys = 50;
  s.classes[0].work_cv = 0.5;
  s.classes[0].distribution = "lognormal";
  s.classes[0].latency_objective_ms = 200;
  s.clients.retry = simulation::ClientRetryMode::kFixed;
  s.fleet = {12, 20, 2, 0, 4};
  s.network = {0.5, 0.3, 2, 0.1, 0, 200, 1, 200, 60};
  s.discovery.polled = true;
  s.discovery.detection_ms = 500;
  s.discovery.calls_per_s = 30;
  s.discovery.call_timeout_ms = 300;
  s.backend_types[0].error_rate = 0.02;
  s.backend_types[0].slow_start_min_capacity = 0.2;
  s.backend_types[0].slow_start_window_s = 5;
  const auto add_fault = [&](simulation::FaultKind kind, double at, double length, double part, double size) {
    simulation::Fault t;
    t.kind = kind, t.at_s = at, t.for_s = length, t.part = part, t.size = size;
    s.faults.push_back(t);
  };
  add_fault(simulation::FaultKind::kUnresponsive, 2, 2, 0.25, 1);
  add_fault(simulation::FaultKind::kRollingRestart, 4, 1, 0.3, 4);
  add_fault(simulation::FaultKind::kDiscoveryDown, 1, 1, 1, 1);
  return s;
}

LogCounter CountOf(const std::string& folder, CountOptions options = {}) {
  std::vector<std::filesystem::path> files;
  for (const auto& entry : std::filesystem::directory_iterator(folder)) files.push_back(entry.path());
  std::sort(files.begin(), files.end());
  LogCounter counter(std::move(options));
  for (const auto& file : files) {
    std::ifstream in(file);
    counter.StartProxy(file.stem().string());
    for (std::string line; std::getline(in, line);) counter.AddLine(line);
  }
  return counter;
}

std::int64_t Of(const Counts& counts, const std::string& name) {
  std::int64_t n = 0;
  for (const auto& [key, count] : counts) n += key == name || key.starts_with(name + ":") ? count : 0;
  return n;
}

class CountedRun : public ::testing::TestWithParam<log::Format> {};

TEST_P(CountedRun, EqualsTheSimulatorsOwnFigures) {
  const Folder folder;
  simulation::RunOptions options;
  options.log_folder = folder.path;
  options.log_format = GetParam();
  const simulation::RunResult run = simulation::Run(Busy(), options);
  const LogCounter counted = CountOf(folder.path);
  const auto truth = [&](const char* name) { return simulation::Count(run, name); };
  EXPECT_EQ(counted.unreadable(), 0);
  EXPECT_EQ(Of(counted.Requests(), "rejected"), truth("refused"));
  EXPECT_EQ(Of(counted.Requests(), "failed"), truth("failed"));
  EXPECT_EQ(Of(counted.Attempts(), "timeout"), truth("timeouts"));
  EXPECT_EQ(Of(counted.Attempts(), "connect_failure"), truth("connect_failed"));
  EXPECT_EQ(Of(counted.Attempts(), "connection_reset"), truth("resets"));
  EXPECT_EQ(Of(counted.Attempts(), "server_error"), truth("errors"));
  EXPECT_EQ(counted.connections(), truth("connections"));
  EXPECT_EQ(counted.discovery_polls(), truth("discovery_calls"));
  std::int64_t sent = 0, ended = 0;
  for (const auto& [name, backend] : counted.backends()) sent += backend.attempts;
  for (const auto& [name, n] : counted.Attempts()) ended += n;
  EXPECT_EQ(sent, truth("attempts"));
  EXPECT_EQ(ended, sent) << "each attempt ends once";
  for (const char* name : {"refused", "timeouts", "connect_failed", "resets", "errors"})
    EXPECT_GT(truth(name), 0) << name << ": the run has none, so nothing was compared";
  EXPECT_GT(counted.discovery_failures(), 0);
  EXPECT_EQ(counted.first_list_after_ms().size() + static_cast<std::size_t>(counted.without_list()), 20u);
}

INSTANTIATE_TEST_SUITE_P(Forms, CountedRun, ::testing::Values(log::Format::kText, log::Format::kJson));

TEST(Count, CountsBackendsInSlowStartSeparately) {
  const Folder folder;
  simulation::RunOptions options;
  options.log_folder = folder.path;
  simulation::Run(Busy(), options);
  const auto cold_sent = [&](double slow_start_ms) {
    CountOptions count;
    count.slow_start_ms = slow_start_ms;
    const LogCounter counter = CountOf(folder.path, count);
    std::int64_t sent = 0;
    for (const auto& [at, second] : counter.seconds()) sent += second.slow_start.attempts;
    return sent;
  };
  const std::int64_t cold = cold_sent(5000), none = cold_sent(0);
  EXPECT_GT(cold, 0) << "four machines were released, three came back";
  EXPECT_EQ(none, 0);
}

std::string Line(const std::string& rest) { return "2026-01-31T12:00:00." + rest; }

TEST(Count, TracesALogicalRequestThroughEveryProxy) {
  LogCounter counter({.request = "00000000000000aa"});
  counter.StartProxy("n1");
  counter.AddLine(Line("100Z debug request_taken request=7 id=x1 wish=00000000000000aa class=0 work_ms=5"));
  counter.AddLine(Line("101Z debug attempt_sent request=7 attempt=0 server=3 work_ms=5"));
  counter.AddLine(Line("102Z debug request_taken request=8 id=x2 wish=00000000000000bb class=0 work_ms=5"));
  counter.AddLine(Line("103Z debug attempt_sent request=8 attempt=0 server=3 work_ms=5"));
  counter.AddLine(Line("300Z debug request_ended request=7 class=0 how=refused why=no_repeat attempts=1"));
  counter.AddLine(Line("301Z debug attempt_sent request=7 attempt=0 server=9 work_ms=5"));
  counter.StartProxy("n0");
  counter.AddLine(Line("050Z debug request_taken request=7 id=x0 wish=00000000000000aa class=0 work_ms=5"));
  const auto story = counter.Trace();
  ASSERT_EQ(story.size(), 4u);
  EXPECT_TRUE(story[0].starts_with("n0  ")) << "in order of time, whichever log the line was in";
  EXPECT_NE(story[2].find("server=3"), std::string::npos);
  EXPECT_NE(story[3].find("no_repeat"), std::string::npos);
}

TEST(Count, ReadsTextAndJsonAfterACollectorsPrefix) {
  const auto text =
      ParseLine("0.244 2026-01-31T12:00:00.250Z info decision text=\"server 5 ejected: 3 of 3 \\\"x\\\"\"");
  ASSERT_TRUE(text.has_value());
  EXPECT_EQ(text->event, "decision");
  EXPECT_EQ(text->Text("text"), "backend 5 ejected: 3 of 3 \"x\"");
  EXPECT_DOUBLE_EQ(text->at_ms, 1769860800250.0);
  const auto json = ParseLine(
      R"([0.3] {"time":"2026-01-31T12:00:00.250Z","level":"debug","event":"attempt_ended","took_ms":3.5,"server":4})");
  ASSERT_TRUE(json.has_value());
  EXPECT_EQ(json->event, "attempt_completed");
  EXPECT_DOUBLE_EQ(json->Number("duration_ms"), 3.5);
  EXPECT_EQ(json->Text("backend"), "4");
  EXPECT_EQ(json->at_ms, text->at_ms);
}

// A log may be truncated anywhere, or contain lines of other programs.
TEST(Count, LinesNotFromAProxysLogAreCountedAndOtherwiseIgnored) {
  const std::string whole =
      Line("100Z debug attempt_ended request=7 attempt=0 server=3 outcome=ok text=\"a b\"");
  LogCounter counter({});
  counter.StartProxy("n1");
  for (std::size_t cut = 0; cut < 25; ++cut) counter.AddLine(whole.substr(0, cut));
  counter.AddLine("{\"time\":7,\"event\":\"request_ended\"}");
  counter.AddLine("{\"time\":\"2026-13-31T12:00:00.250Z\",\"event\":\"request_ended\"}");
  counter.AddLine("terminate called after throwing");
  counter.AddLine(whole.substr(0, whole.size() - 1));
  EXPECT_EQ(counter.lines(), 29);
  EXPECT_EQ(counter.unreadable(), 29);
  EXPECT_TRUE(counter.Attempts().empty());
  counter.AddLine(whole);
  EXPECT_EQ(Of(counter.Attempts(), "success"), 1);
}

// The logs that commit e45f5f7 and the current version wrote in the same runs must give the same counts. The
// same lines of each are saved: the first of each event with each result, outcome, reason and kind, and all
// of a request with two attempts.
TEST(Count, SavedLogsWithOldNamesGiveTheCountsOfCurrentLogs) {
  const std::string folder = SOURCE_DIR "/tests/log_analysis/saved_logs";
  const CountOptions options{.request = "674892184578441a"};
  const LogCounter before = CountOf(folder + "/before", options), now = CountOf(folder + "/now", options);
  EXPECT_EQ(JsonReport(before), JsonReport(now));
  EXPECT_EQ(TableReport(before), TableReport(now));
  EXPECT_EQ(before.Trace().size(), now.Trace().size());
  EXPECT_NE(before.Trace(), now.Trace()) << "equal names: one of the logs was not written by its version";
  // Guards against counts that are equal only because nothing was counted.
  EXPECT_EQ(before.unreadable(), 0);
  EXPECT_GT(before.Trace().size(), 5u);
  for (const char* name : {"served", "failed:not_retriable", "rejected:deadline_unreachable",
                           "rejected:load_shed", "rejected:no_capacity", "rejected:not_retriable"})
    EXPECT_GT(Of(before.Requests(), name), 0) << name;
  for (const char* name :
       {"success", "server_error", "backend_rejected", "timeout", "connect_failure", "connection_reset"})
    EXPECT_GT(Of(before.Attempts(), name), 0) << name;
  EXPECT_GT(before.connections(), 0);
  EXPECT_GT(before.discovery_polls(), 0);
  EXPECT_GT(before.discovery_failures(), 0);
  EXPECT_GT(before.ejections(), 0);
  EXPECT_FALSE(before.first_list_after_ms().empty());
  EXPECT_GT(before.without_list(), 0);
  std::int64_t slow_start = 0;
  for (const auto& [at, second] : before.seconds()) slow_start += second.slow_start.attempts;
  EXPECT_GT(slow_start, 0);
}

// Logs of a proxy process of that commit and of the current version, which were sent the same requests. They
// contain what the simulation doesn't write. Their times differ, so only sums are compared.
TEST(Count, SavedLogsOfAProxyWithOldNamesGiveTheCountsOfCurrentLogs) {
  const std::string folder = SOURCE_DIR "/tests/log_analysis/saved_logs";
  const LogCounter before = CountOf(folder + "/proxy_before"), now = CountOf(folder + "/proxy_now");
  EXPECT_EQ(before.Requests(), now.Requests());
  EXPECT_EQ(before.Attempts(), now.Attempts());
  EXPECT_EQ(before.unreadable() + now.unreadable(), 0);
  for (const char* name : {"client_error", "client_disconnected", "rejected:request_body_consumed"})
    EXPECT_EQ(Of(before.Requests(), name), 1) << name;
  EXPECT_EQ(before.dropped_lines(), 18);
  EXPECT_EQ(now.dropped_lines(), 19);
}

TEST(Count, CountsEjectionsUnderOldAndCurrentNames) {
  LogCounter counter({});
  counter.StartProxy("n1");
  counter.AddLine(Line("200Z info decision text=\"backend 5 ejected: 3 of 3 attempts failed\""));
  counter.AddLine(Line("300Z info decision text=\"backend 5 returned to service\""));
  counter.AddLine(Line("400Z info decision text=\"server 6 ejected: 3 of 3 attempts failed\""));
  EXPECT_EQ(counter.ejections(), 2);
  EXPECT_EQ(counter.backends().at("5").ejected_by.size(), 1u);
  EXPECT_EQ(counter.backends().at("6").ejected_by.size(), 1u);
}

TEST(Count, CountsEjectionsPerProxyAndProcessesWithoutAList) {
  LogCounter counter({});
  for (const char* proxy : {"n1", "n2"}) {
    counter.StartProxy(proxy);
    counter.AddLine(Line("100Z debug list_taken kind=cached revision=0 members=3"));
    counter.AddLine(Line("200Z info decision text=\"server 5 ejected: 3 of 3 attempts failed\""));
    counter.AddLine(Line("300Z info decision text=\"server 5 returns to service\""));
  }
  counter.AddLine(Line("400Z debug list_taken kind=delta revision=4 members=3"));
  counter.AddLine(Line("500Z debug list_taken kind=cached revision=0 members=3"));
  counter.StartProxy("n3");
  EXPECT_EQ(counter.ejections(), 2);
  EXPECT_EQ(counter.backends().at("5").ejected_by.size(), 2u);
  EXPECT_EQ(counter.without_list(), 2) << "n1's only process, and n2's second";
  ASSERT_EQ(counter.first_list_after_ms().size(), 1u);
  EXPECT_DOUBLE_EQ(counter.first_list_after_ms()[0], 300);
}

}  // namespace
}  // namespace copperpoint::log_analysis
