// SPDX-License-Identifier: Apache-2.0
//
// The process of a proxy is replaced while discovery is down. Backends that the proxy was told to be
// draining, long before, must get nothing new from the new process either.
#include <signal.h>

#include <atomic>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "standin.h"

namespace review {
namespace {

constexpr double kDrainAtMs = 2000;
constexpr double kDownAtMs = 5000, kDownForMs = 8000;  // STANDING, herd+mass: "discovery is down for 8 s"
constexpr double kUpgradeAtMs = 5200;
constexpr int kBackends = 6, kDraining = 2;
// DAYS: "News from discovery counts as told 2 s after the yes"; rules.drainGraceMs of the settings; PROTOCOL:
// "every time limit is 50 ms longer"; and 150 ms for a proxy that is held up.
constexpr double kToldAfterYesMs = 2000, kGraceMs = 500, kSlackMs = 200;

int Main(const char* record) {
  RecordTo(record);
  TemporaryFolder folder;
  auto discovery = std::make_unique<Discovery>();
  std::vector<std::unique_ptr<Backend>> backends;
  std::vector<Member> members;
  for (int i = 0; i < kBackends; ++i) {
    backends.push_back(std::make_unique<Backend>(
        "s-" + std::to_string(i), [](Backend&, const Socket& socket, Reader&, const Message& request) {
          // A draining backend too: STANDING, "what a whole list doesn't name is gone, also where it still
          // answers".
          SleepMs(60);
          return socket.Send(Ok("answer to " + request.Field("req-id")));
        }));
    members.push_back({.id = backends.back()->name(), .port = backends.back()->port()});
  }
  discovery->Set(1, members);
  const int discovery_port = discovery->port();
  ProxyOptions options;
  options.listen = FreePort();
  options.discovery = discovery_port;
  options.operator_port = FreePort();
  options.known = members;
  const std::string config = folder.path() + "/config.json";
  WriteFile(config, ConfigText(options));
  const std::string log = folder.path() + "/proxy.log";
  auto proxy = std::make_unique<ProxyProcess>(PlatformEnvironment(options, config, folder.path()), log);
  if (!WaitReady(options.listen, 30000)) CannotRun("the proxy is not ready");
  const double start = NowMs();

  std::atomic<bool> stop{false};
  std::atomic<int> served{0}, other{0};
  std::vector<std::thread> clients;
  for (int i = 0; i < 8; ++i) {
    clients.emplace_back([&] {
      while (!stop) {
        RequestSpec spec;
        spec.klass = "call-lookup";
        spec.id = FreshId();
        spec.deadline_ms = 2500;
        const Outcome outcome = Ask(options.listen, spec, 3000);
        (outcome.result == ReadResult::kComplete && outcome.status == 200 ? served : other) += 1;
        SleepMs(20);
      }
    });
  }

  SleepUntilMs(start + kDrainAtMs);
  const double told_at = NowMs();
  std::vector<Member> with_drain = members;
  for (int i = 0; i < kDraining; ++i) with_drain[i].phase = "terminating";
  discovery->Set(2, with_drain);

  SleepUntilMs(start + kDownAtMs);
  if (Trouble()) {
    Record("discovery goes down");
    discovery.reset();
  }
  SleepUntilMs(start + kUpgradeAtMs);
  ProxyOptions next = options;  // a new second address, everything else unchanged
  next.operator_port = FreePort();
  auto successor = std::make_unique<ProxyProcess>(PlatformEnvironment(next, config, folder.path()), log);
  const double started_at = NowMs(), due = started_at + 6000;
  while (NowMs() < due && OperatorCall(next.operator_port, "GET", "/ready") != 200) SleepMs(20);
  const double yes_at = NowMs();
  if (yes_at >= due) CannotRun("the new process did not say yes within 6 s");
  Record("the new process says yes");
  proxy->Signal(SIGTERM);

  SleepUntilMs(start + kDownAtMs + kDownForMs);
  if (Trouble()) Record("the time without discovery is over; the check ends here");
  const double checked_until = NowMs();
  stop = true;
  for (std::thread& client : clients) client.join();
  std::string how;
  if (successor->Ended(&how)) CannotRun("the new process ended " + how);

  int by_old = 0, excused = 0, late = 0;
  for (int i = 0; i < kDraining; ++i) {
    for (const Run& run : backends[i]->runs()) {
      if (run.at <= told_at + kGraceMs + kSlackMs || run.at > checked_until) continue;
      if (run.at < started_at) {
        ++by_old;
      } else if (run.at <= yes_at + kToldAfterYesMs + kGraceMs + kSlackMs) {
        ++excused;
      } else {
        ++late;
        Record(Format(
            "BROKEN: id=%s reached s-%d %.0f ms after the proxy was told that it drains, %.0f ms after the "
            "yes of its new process",
            run.id.c_str(), i, run.at - told_at, run.at - yes_at));
      }
    }
  }
  Record(Format("served %d, not served %d; yes after %.0f ms; requests sent to draining backends: by the old "
                "process %d, by the new one up to 2.7 s after its yes %d, later %d",
                served.load(), other.load(), yes_at - started_at, by_old, excused, late),
         true);
  if (served.load() < 50) CannotRun("too few requests were served");
  return by_old + late > 0 ? 1 : 0;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) { return argc == 2 ? review::Main(argv[1]) : 2; }
