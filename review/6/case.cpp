// SPDX-License-Identifier: Apache-2.0
//
// Backends send a second copy of some answers 4 ms after the first one, if nothing else waits on the
// connection. No client may get the answer of another one's request, and no booking may run twice.
#include <atomic>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "standin.h"

namespace review {
namespace {

constexpr double kSecondCopyAfterMs = 4;  // STANDING, join+mass: "some milliseconds late"
constexpr int kCopiedAnswers = 5;         // one of so many answers
constexpr double kSameZoneMs = 0.3;       // one way, hobart to hobart (site file, net.same_ms: 0.2 to 0.34)
constexpr double kOtherZoneMs = 2.0;      // one way, hobart to launceston (BRIEF: 1.4 to 2.6 ms)
constexpr double kRunMs = 45000;
constexpr int kClients = 12;

struct Counts {
  std::atomic<int> copies{0}, served{0}, foreign{0}, refused_or_failed{0}, unanswered{0}, twice{0};
};

double WorkMs(const std::string& klass) { return klass == "/new-booking" ? 70 : 50; }

// The load of other proxies keeps the queues near their limit: one request in four finds its queue full.
bool FindsQueueFull() {
  static std::atomic<unsigned> requests{0};
  return ++requests % 4 == 0;
}

Backend::Answer AnswerOf(Counts& counts, std::mutex& mutex, std::multiset<std::string>& executed) {
  return [&](Backend& backend, const Socket& socket, Reader& reader, const Message& request) {
    const std::string id = request.Field("req-id");
    std::string answer;
    if (FindsQueueFull()) {
      answer = "HTTP/1.1 503 Service Unavailable\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n";
      Record(backend.name() + " declines id=" + id);
    } else {
      SleepMs(WorkMs(request.target()));
      const std::lock_guard lock(mutex);
      executed.insert(id);
      answer = Ok("answer to " + id);
    }
    if (!socket.Send(answer)) return false;
    if (!Trouble() || std::hash<std::string>{}(id) % kCopiedAnswers != 0) return true;
    SleepMs(kSecondCopyAfterMs);
    if (!reader.buffered().empty() || socket.Readable(0)) return true;  // another request waits
    ++counts.copies;
    Record(backend.name() + " sends the answer to id=" + id + " again");
    return socket.Send(answer);
  };
}

// Sends one request at a time on a connection that it keeps.
void RunClient(int port, unsigned seed, Counts& counts) {
  std::mt19937 random(seed);
  while (NowMs() < kRunMs) {
    const Socket socket = Connect(port);
    Reader reader(socket);
    while (NowMs() < kRunMs) {
      SleepMs(std::exponential_distribution<double>(1 / 30.0)(random));
      const bool booking = random() % 100 < 31;
      RequestSpec spec;
      spec.klass = booking ? "new-booking" : "call-lookup";
      spec.id = FreshId();
      spec.body = "booking";
      spec.deadline_ms = booking ? 1200 : 2500;
      if (!socket.Send(RequestText(spec))) break;
      Message answer;
      const ReadResult result = reader.Read(&answer, NowMs() + spec.deadline_ms + 500);
      Record("client id=" + spec.id + " " + spec.klass + ": " + NameOf(result) +
             Format(" %d ", answer.status()) + answer.body);
      if (result != ReadResult::kComplete) {
        ++counts.unanswered;
        break;
      }
      if (answer.status() != 200) {
        ++counts.refused_or_failed;
      } else if (answer.body == "answer to " + spec.id) {
        ++counts.served;
      } else {
        ++counts.foreign;
        Record("BROKEN: id=" + spec.id + " was served \"" + answer.body + "\"");
      }
    }
  }
}

int Main(const char* record) {
  RecordTo(record);
  Counts counts;
  std::mutex mutex;
  std::multiset<std::string> executed;
  TemporaryFolder folder;
  Discovery discovery;
  std::vector<std::unique_ptr<Backend>> backends;
  std::vector<std::unique_ptr<DelayLine>> lines;
  std::vector<Member> members;
  for (int i = 0; i < 6; ++i) {
    const bool same_zone = i < 3;
    backends.push_back(
        std::make_unique<Backend>("s-" + std::to_string(i), AnswerOf(counts, mutex, executed)));
    lines.push_back(
        std::make_unique<DelayLine>(backends.back()->port(), same_zone ? kSameZoneMs : kOtherZoneMs));
    members.push_back({.id = backends.back()->name(),
                       .port = lines.back()->port(),
                       .zone = same_zone ? "hobart" : "launceston"});
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
  std::vector<std::thread> clients;
  for (unsigned i = 0; i < kClients; ++i)
    clients.emplace_back([&, i] { RunClient(options.listen, i + 1, counts); });
  for (std::thread& client : clients) client.join();
  std::string how;
  if (proxy.Ended(&how)) CannotRun("the proxy ended " + how);

  std::map<std::string, std::set<std::string>> bookings;
  for (const auto& backend : backends) {
    for (const Run& run : backend->runs()) {
      if (run.target == "/new-booking") bookings[run.id].insert(backend->name());
    }
  }
  for (const auto& [id, where] : bookings) {
    if (executed.count(id) < 2) continue;
    ++counts.twice;
    Record("BROKEN: the booking id=" + id + Format(" ran %zu times", executed.count(id)));
  }
  Record(
      Format("second copies %d; served %d, refused or failed %d, no answer %d; served the answer to another "
             "request %d; bookings run twice %d",
             counts.copies.load(), counts.served.load(), counts.refused_or_failed.load(),
             counts.unanswered.load(), counts.foreign.load(), counts.twice.load()),
      true);
  if (counts.served.load() < 100) CannotRun("too few requests were served");
  return counts.foreign.load() > 0 || counts.twice.load() > 0 ? 1 : 0;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) { return argc == 2 ? review::Main(argv[1]) : 2; }
