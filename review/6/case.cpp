// SPDX-License-Identifier: Apache-2.0
//
// Bad clients send hundreds of requests at once on each of hundreds of connections. The proxy has to stay
// within its memory limit, over which the platform kills it.
#include <signal.h>

#include <algorithm>
#include <atomic>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "standin.h"

namespace review {
namespace {

constexpr int kMemoryMb = 32,
              kSockets = 1024;  // DAYS: "from 32 to 192 MB [...] and 256 to 1,024 descriptors"
constexpr int kBadClients = 400, kRequestsAtOnce = 300;
constexpr double kRunMs = 20000;

std::string RequestsAtOnce() {
  std::string all;
  for (int i = 0; i < kRequestsAtOnce; ++i) {
    RequestSpec spec;
    spec.klass = "call-lookup";
    spec.id = FreshId();
    spec.deadline_ms = 2500;
    all += RequestText(spec);
  }
  return all;
}

// Sends the same again as soon as its connection ends.
void RunBadClient(int port, const std::atomic<bool>& stop) {
  const std::string all = RequestsAtOnce();
  while (!stop) {
    const Socket socket = Connect(port, 1000);
    if (!socket.valid()) {
      SleepMs(50);
      continue;
    }
    socket.Send(all, 1000);
    std::string answers;
    const double until = NowMs() + 3000;
    while (!stop && NowMs() < until) {
      const long count = socket.Receive(&answers, 100);
      if (count == 0 || count == -1) break;
      answers.clear();
    }
    SleepMs(20);
  }
}

int Main(const char* record) {
  RecordTo(record);
  TemporaryFolder folder;
  Discovery discovery;
  std::vector<std::unique_ptr<Backend>> backends;
  std::vector<Member> members;
  for (int i = 0; i < 6; ++i) {
    backends.push_back(std::make_unique<Backend>(
        "s-" + std::to_string(i), [](Backend&, const Socket& socket, Reader&, const Message& request) {
          SleepMs(60);
          return socket.Send(Ok("answer to " + request.Field("req-id")));
        }));
    members.push_back({.id = backends.back()->name(), .port = backends.back()->port()});
  }
  discovery.Set(1, members);
  ProxyOptions options;
  options.listen = FreePort();
  options.discovery = discovery.port();
  options.operator_port = FreePort();
  options.memory_mb = kMemoryMb;
  options.sockets = kSockets;
  options.known = members;
  const std::string config = folder.path() + "/config.json";
  WriteFile(config, ConfigText(options));
  ProxyProcess proxy(PlatformEnvironment(options, config, folder.path()), folder.path() + "/proxy.log");
  if (!WaitReady(options.listen, 30000)) CannotRun("the proxy is not ready");
  const long at_start = proxy.ResidentKb();
  if (at_start == 0) CannotRun("the memory of the proxy cannot be read");

  std::atomic<bool> stop{false};
  std::atomic<int> answered{0}, lost{0};
  std::vector<std::thread> clients;
  for (int i = 0; i < 4; ++i) {
    clients.emplace_back([&] {
      while (!stop) {
        RequestSpec spec;
        spec.klass = "call-lookup";
        spec.id = FreshId();
        spec.deadline_ms = 2500;
        (Ask(options.listen, spec, 3000).result == ReadResult::kComplete ? answered : lost) += 1;
        SleepMs(50);
      }
    });
  }
  SleepMs(1000);
  if (Trouble()) {
    Record(Format("%d clients send %d requests at once", kBadClients, kRequestsAtOnce));
    for (int i = 0; i < kBadClients; ++i) clients.emplace_back([&] { RunBadClient(options.listen, stop); });
  }

  // The platform: "Over `memory_mb` the proxy is killed."
  long highest = 0;
  bool killed = false;
  const double end = NowMs() + kRunMs;
  for (double next_record = 0; NowMs() < end && !killed; SleepMs(20)) {
    std::string how;
    if (proxy.Ended(&how)) {
      Record("BROKEN: the proxy ended " + how, true);
      killed = true;
      break;
    }
    const long resident = proxy.ResidentKb();
    highest = std::max(highest, resident);
    if (NowMs() >= next_record) {
      Record(Format("the proxy has %ld kB", resident));
      next_record = NowMs() + 200;
    }
    if (resident <= 1024L * kMemoryMb) continue;
    Record(Format("BROKEN: the proxy has %ld kB and is killed", resident));
    proxy.Signal(SIGKILL);
    killed = true;
  }
  if (killed) SleepMs(500);
  stop = true;
  for (std::thread& client : clients) client.join();
  Record(Format("memory at the start %ld kB, at most %ld kB, limit %d kB; %s; usual requests answered %d, "
                "without an "
                "answer %d",
                at_start, highest, 1024 * kMemoryMb, killed ? "killed" : "not killed", answered.load(),
                lost.load()),
         true);
  if (answered.load() == 0) CannotRun("nothing was answered");
  return killed ? 1 : 0;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) { return argc == 2 ? review::Main(argv[1]) : 2; }
