// SPDX-License-Identifier: Apache-2.0
//
// Backends answer bookings with 256 KiB in the chunked coding and stand still for 0.3 s after the first 16
// KiB. What the backend gives may not be cut off.
#include <atomic>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "standin.h"

namespace review {
namespace {

constexpr std::size_t kChunkBytes = 8192;
constexpr int kChunks = 32, kChunksBeforePause = 2;
constexpr double kPauseMs = 300;  // BRIEF: up to 49% of the web nodes stand still for 120 to 500 ms
constexpr int kClients = 4, kRequestsEach = 20;
constexpr int kDeadlineMs = 1200;  // new-booking's in the site file

std::string ChunkBody(const std::string& id, int chunk) {
  return id + std::string(kChunkBytes - id.size(), static_cast<char>('a' + chunk % 26));
}

std::string BodyFor(const std::string& id) {
  std::string body;
  for (int i = 0; i < kChunks; ++i) body += ChunkBody(id, i);
  return body;
}

// @return false if the proxy closed the connection before it had the whole answer.
bool AnswerInChunks(const Socket& socket, const std::string& id, double pause_ms) {
  if (!socket.Send("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nTransfer-Encoding: chunked\r\n\r\n"))
    return false;
  for (int i = 0; i < kChunks; ++i) {
    if (i == kChunksBeforePause) SleepMs(pause_ms);
    if (!socket.Send(ChunkOf(ChunkBody(id, i)))) return false;
  }
  return socket.Send("0\r\n\r\n");
}

int Main(const char* record) {
  RecordTo(record);
  TemporaryFolder folder;
  Discovery discovery;
  std::vector<std::unique_ptr<Backend>> backends;
  std::vector<Member> members;
  for (int i = 0; i < 6; ++i) {
    const bool pauses = Trouble() && i < 2;  // a third of the backends
    backends.push_back(std::make_unique<Backend>(
        "s-" + std::to_string(i),
        [pauses](Backend& backend, const Socket& socket, Reader&, const Message& m) {
          const std::string id = m.Field("req-id");
          SleepMs(70);
          const bool whole = AnswerInChunks(socket, id, pauses ? kPauseMs : 0);
          if (!whole) Record(backend.name() + " could not give the whole answer to id=" + id);
          return whole;
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

  std::atomic<int> served{0}, cut_off{0}, refused{0};
  const auto book = [&] {
    RequestSpec spec;
    spec.klass = "new-booking";
    spec.id = FreshId();
    spec.body = "booking";
    spec.deadline_ms = kDeadlineMs;
    const Outcome outcome = Ask(options.listen, spec, 10000);
    bool ran = false;
    for (const auto& backend : backends) {
      for (const Run& run : backend->runs()) ran |= run.id == spec.id;
    }
    if (outcome.result == ReadResult::kComplete && outcome.status == 200 &&
        outcome.body == BodyFor(spec.id)) {
      ++served;
    } else if (!ran) {
      ++refused;
    } else {
      ++cut_off;
      Record(Format("BROKEN: id=%s ran, its backend gives 256 KiB, its client got %s %d with %zu bytes",
                    spec.id.c_str(), NameOf(outcome.result), outcome.status, outcome.body.size()));
    }
  };
  std::vector<std::thread> clients;
  for (int i = 0; i < kClients; ++i) {
    clients.emplace_back([&] {
      for (int j = 0; j < kRequestsEach; ++j) book();
    });
  }
  for (std::thread& client : clients) client.join();
  std::string how;
  if (proxy.Ended(&how)) CannotRun("the proxy ended " + how);
  Record(Format("bookings %d; served %d; not run %d; run and cut off %d", kClients * kRequestsEach,
                served.load(), refused.load(), cut_off.load()),
         true);
  if (served.load() + cut_off.load() == 0) CannotRun("no booking ran");
  return cut_off.load() > 0 ? 1 : 0;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) { return argc == 2 ? review::Main(argv[1]) : 2; }
