// SPDX-License-Identifier: Apache-2.0
//
// Clients send the first half of a 20 MB body, stop and stay. They are owed an error or a close within 3 s.
#include <atomic>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "standin.h"

namespace review {
namespace {

constexpr std::size_t kBodyBytes = 20'000'000, kSentBytes = 10'000'000;
constexpr int kStoppingClients = 12;
// STANDING names 3 s. 6 s is what DAYS gives a bad client that has 60 MB to send; counted here from the last
// byte.
constexpr double kOwedWithinMs = 6000;
constexpr double kObservedMs = 40000;

// @return when the connection was answered or closed, after the last byte sent; negative if it was not.
double SendAndWait(int port, int number) {
  const Socket socket = Connect(port);
  RequestSpec spec;
  spec.klass = "new-booking";
  spec.id = FreshId();
  spec.body = std::string(kBodyBytes, 'b');
  spec.deadline_ms = 1200;
  std::string text = RequestText(spec);
  if (Trouble()) text.resize(text.size() - kBodyBytes + kSentBytes);
  socket.Send(text, 30000);
  const double stopped_at = NowMs();
  Record(Format("client %d id=%s has sent %zu bytes", number, spec.id.c_str(), text.size()));
  const bool ended = socket.Readable(kObservedMs);
  const double after = NowMs() - stopped_at;
  std::string answer;
  if (ended) socket.Receive(&answer, 0);
  Record(Format("client %d id=%s: %s after %.0f ms ", number, spec.id.c_str(),
                ended ? "answered or closed" : "nothing", after) +
         answer.substr(0, answer.find('\r')));
  return ended ? after : -1;
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
  options.known = members;
  const std::string config = folder.path() + "/config.json";
  WriteFile(config, ConfigText(options));
  ProxyProcess proxy(PlatformEnvironment(options, config, folder.path()), folder.path() + "/proxy.log");
  if (!WaitReady(options.listen, 30000)) CannotRun("the proxy is not ready");

  std::atomic<int> never{0}, late{0}, in_time{0};
  std::vector<std::thread> clients;
  for (int i = 0; i < kStoppingClients; ++i) {
    clients.emplace_back([&, i] {
      const double after = SendAndWait(options.listen, i);
      (after < 0 ? never : after > kOwedWithinMs ? late : in_time) += 1;
    });
  }
  // The usual clients: their answers are recorded, and are no part of the check.
  int served = 0, other = 0;
  const double end = NowMs() + kObservedMs;
  while (NowMs() < end) {
    RequestSpec spec;
    spec.klass = "call-lookup";
    spec.id = FreshId();
    spec.deadline_ms = 2500;
    const Outcome outcome = Ask(options.listen, spec, 3000);
    (outcome.result == ReadResult::kComplete && outcome.status == 200 ? served : other) += 1;
    SleepMs(100);
  }
  for (std::thread& client : clients) client.join();
  std::string how;
  if (proxy.Ended(&how)) CannotRun("the proxy ended " + how);
  Record(
      Format("clients that send a 20 MB body: answered or closed in time %d, later %d, not within %.0f s %d; "
             "usual requests meanwhile: served %d, not served %d",
             in_time.load(), late.load(), kObservedMs / 1000, never.load(), served, other),
      true);
  return never.load() + late.load() > 0 ? 1 : 0;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) { return argc == 2 ? review::Main(argv[1]) : 2; }
