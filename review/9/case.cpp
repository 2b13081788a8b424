// SPDX-License-Identifier: Apache-2.0
//
// In a burst, clients send bookings of 1.1 MB and leave at once. No attempt may begin for a client that has
// left more than 0.1 s before.
#include <algorithm>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "standin.h"

namespace review {
namespace {

constexpr std::size_t kBodyBytes = 1'100'000;
constexpr int kBurst = 24, kRounds = 5;
constexpr double kLeaveAfterMs = 20;
// STANDING: "more than 0.1 s after the close is a break"; PROTOCOL: "every time limit is 50 ms longer".
constexpr double kAllowedMs = 150;

struct Left {
  std::mutex mutex;
  std::map<std::string, double> at;  // when the client of this request closed its connection
};

void RunClient(int port, Left& left) {
  RequestSpec spec;
  spec.klass = "new-booking";
  spec.id = FreshId();
  spec.body = std::string(kBodyBytes, 'b');
  spec.deadline_ms = 1200;
  if (!Trouble()) {
    Ask(port, spec, 3000);
    return;
  }
  Socket socket = Connect(port);
  const bool sent = socket.Send(RequestText(spec), 1000);
  SleepMs(kLeaveAfterMs);
  socket.Close();
  const double closed_at = NowMs();
  Record("client id=" + spec.id + (sent ? " has sent all and leaves" : " leaves within its request"));
  const std::lock_guard lock(left.mutex);
  left.at[spec.id] = closed_at;
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
          SleepMs(70);
          return socket.Send(Ok("answer to " + request.Field("req-id")));
        }));
    members.push_back({.id = backends.back()->name(), .port = backends.back()->port()});
  }
  discovery.Set(1, members);
  ProxyOptions options;
  options.listen = FreePort();
  options.discovery = discovery.port();
  options.operator_port = FreePort();
  options.known = members;
  const std::string config = folder.path() + "/config.json";
  WriteFile(config, ConfigText(options));
  ProxyProcess proxy(PlatformEnvironment(options, config, folder.path()), folder.path() + "/proxy.log");
  if (!WaitReady(options.listen, 30000)) CannotRun("the proxy is not ready");

  Left left;
  for (int round = 0; round < kRounds; ++round) {
    std::vector<std::thread> clients;
    for (int i = 0; i < kBurst; ++i) clients.emplace_back([&] { RunClient(options.listen, left); });
    for (std::thread& client : clients) client.join();
    SleepMs(2000);
  }
  std::string how;
  if (proxy.Ended(&how)) CannotRun("the proxy ended " + how);

  int ran = 0, begun_late = 0;
  double latest = 0;
  for (const auto& backend : backends) {
    for (const Run& run : backend->runs()) {
      ++ran;
      const auto closed = left.at.find(run.id);
      if (closed == left.at.end()) continue;
      const double after = run.began - closed->second;
      latest = std::max(latest, after);
      if (after <= kAllowedMs) continue;
      ++begun_late;
      Record(Format("BROKEN: the attempt for id=%s began %.0f ms after its client had left, and ran",
                    run.id.c_str(), after));
    }
  }
  Record(
      Format(
          "bookings %d; clients that left %zu; run %d; begun more than %.0f ms after the client had left %d, "
          "at the latest after %.0f ms",
          kRounds * kBurst, left.at.size(), ran, kAllowedMs, begun_late, latest),
      true);
  if (ran == 0 && !Trouble()) CannotRun("no booking ran");
  return begun_late > 0 ? 1 : 0;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) { return argc == 2 ? review::Main(argv[1]) : 2; }
