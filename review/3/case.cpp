// SPDX-License-Identifier: Apache-2.0
//
// A planned restart while half of the backends hang. Some clients are still sending the head of a request
// when SIGTERM comes. Does each of these requests, once the proxy has read it, get its final answer before
// SIGKILL?
#include "common/rig.h"

namespace {

constexpr int kBackends = 4;     // half of them hang
constexpr double kHangMs = 500;  // after SIGTERM
constexpr double kWorkMs = 20;
constexpr int kDeadlineMs = 2500;  // the longest deadline
constexpr double kHeadMs = 1900;   // "a client may spend 2 s on a head"
constexpr double kHeadBeforeTermMs = 100;
constexpr double kLateMs = 700;  // requests that come later than this after SIGTERM
// SIGKILL "no earlier than" the longest deadline plus 0.7 s after SIGTERM, at the most 3 s plus 0.7 s.
constexpr double kKillMs = 3000 + 700 + 50;
constexpr int kSlowClients = 12, kOtherClients = 6;

std::atomic<bool> hanging{false}, others_stop{false};
std::atomic<double> term_ms{1e15};  // when SIGTERM was sent
std::atomic<int> taken_late{0}, answered_late{0}, lost{0}, closed_before{0}, others{0};

void ServeBackend(const std::string& name, bool may_hang, int fd) {
  rig::Reader reader(fd);
  rig::Message request;
  while (reader.Read(&request)) {
    const std::string id = request.Field("req-id");
    RECORD("%s: got %s %s%s", name.c_str(), request.method().c_str(), id.c_str(),
           may_hang && hanging ? ", and hangs" : "");
    while (may_hang && hanging) rig::SleepMs(50);
    rig::SleepMs(kWorkMs);
    if (!rig::SendAll(fd, rig::Answer(200, "answer to " + id))) break;
  }
  ::close(fd);
}

// Sends requests one after the other until told to stop, as the usual clients do.
void RunOtherClient(int port, int number) {
  int fd = -1;
  for (int i = 0; !others_stop; ++i) {
    if (fd < 0) fd = rig::Connect(port);
    const std::string id = "aa" + std::to_string(number) + "-" + std::to_string(i);
    rig::Message answer;
    if (fd < 0 || !rig::SendAll(fd, rig::Request("call-lookup", id, kDeadlineMs, "")) ||
        !rig::Reader(fd).Read(&answer, rig::NowMs() + kDeadlineMs + 600) ||
        answer.Field("connection") == "close") {
      if (fd >= 0) ::close(fd);
      fd = -1;
    }
    others += answer.status() == 200;
    rig::SleepMs(60);
  }
  if (fd >= 0) ::close(fd);
}

// Sends one request and takes kHeadMs for its head.
void RunSlowClient(int port, int number) {
  const std::string id = "5c7e2d41-" + std::to_string(number);
  const std::string request = rig::Request("call-lookup", id, kDeadlineMs, "");
  const std::size_t end = request.size() - 2;
  const int fd = rig::Connect(port);
  const double begin = rig::NowMs();
  RECORD("slow client: begins %s", id.c_str());
  constexpr int kPieces = 8;
  bool open = fd >= 0;
  for (int i = 0; open && i < kPieces; ++i) {
    const std::size_t from = end * i / kPieces, to = end * (i + 1) / kPieces;
    open = rig::SendAll(fd, request.substr(from, to - from));
    pollfd closed{fd, POLLIN, 0};
    const double next = begin + kHeadMs * (i + 1) / kPieces;
    if (::poll(&closed, 1, static_cast<int>(std::max(0.0, next - rig::NowMs()))) > 0) open = false;
  }
  if (!open) {
    RECORD("slow client: its connection was ended before %s was complete", id.c_str());
    ++closed_before;
    return;
  }
  const double sent = rig::NowMs();
  open = rig::SendAll(fd, request.substr(end));
  const bool late = sent > term_ms + kLateMs;
  taken_late += late;
  RECORD("slow client: has sent all of %s, %.0f ms after SIGTERM", id.c_str(), sent - term_ms);
  rig::Message answer;
  const bool answered = open && rig::Reader(fd).Read(&answer, sent + kDeadlineMs + 600);
  ::close(fd);
  if (answered) {
    RECORD("slow client: %s got %d after %.0f ms", id.c_str(), answer.status(), rig::NowMs() - sent);
    answered_late += late;
  } else {
    RECORD("slow client: %s has NO ANSWER; its connection ended %.0f ms after SIGTERM", id.c_str(),
           rig::NowMs() - term_ms);
    ++lost;
  }
}

}  // namespace

int main(int, char** arguments) {
  rig::Record::Get().Open(arguments[1]);
  rig::LimitTime(60000);
  std::vector<rig::Member> members;
  std::vector<rig::Listener> backends(kBackends);
  for (int i = 0; i < kBackends; ++i) {
    const std::string name = "s-" + std::to_string(i);
    rig::AcceptAll(backends[i].fd, [name, i](int fd) { ServeBackend(name, i % 2 == 0, fd); });
    members.push_back({name, backends[i].HostPort()});
  }
  rig::Discovery discovery(members);
  rig::Proxy proxy;
  proxy.StartProcess(discovery,
                     rig::Settings("[" + rig::Class("call-lookup", "read_like", kDeadlineMs) + "," +
                                       rig::Class("new-booking", "non_idempotent", 1200) + "]",
                                   200));
  std::vector<std::thread> clients;
  for (int i = 0; i < kOtherClients; ++i) clients.emplace_back(RunOtherClient, proxy.port, i);
  rig::SleepMs(4000);
  for (int i = 0; i < kSlowClients; ++i) clients.emplace_back(RunSlowClient, proxy.port, i);
  rig::SleepMs(kHeadBeforeTermMs);
  term_ms = rig::NowMs();
  if (rig::WithTrouble()) {
    proxy.Signal(SIGTERM, "SIGTERM");
    rig::SleepMs(300);
    others_stop = true;  // the front has noticed, and the usual clients use the other proxies
    rig::SleepUntilMs(term_ms + kHangMs);
    hanging = true;
    RECORD("backends: half of them hang from now on");
    while (rig::NowMs() < term_ms + kKillMs && !proxy.Ended()) rig::SleepMs(5);
    if (proxy.Ended()) {
      RECORD("proxy: has ended by itself");
    } else {
      proxy.Signal(SIGKILL, "SIGKILL");
    }
  } else {
    RECORD("in this run there is no SIGTERM; its time is %.1f ms", term_ms.load());
    rig::SleepMs(kKillMs);
    others_stop = true;
  }
  for (std::thread& client : clients) client.join();
  char counts[240];
  std::snprintf(counts, sizeof counts,
                "%d requests of slow clients: %d ended by the proxy while incomplete, %d complete more than "
                "%.0f ms after SIGTERM, of these %d answered; %d without an answer",
                kSlowClients, closed_before.load(), taken_late.load(), kLateMs, answered_late.load(),
                lost.load());
  if (others == 0 || (!rig::WithTrouble() && proxy.Ended()))
    rig::Finish(rig::kCannotRun, std::string("cannot run: ") + counts);
  const int code = lost > 0 ? rig::kBroken : rig::kHeld;
  rig::Finish(code, std::string(code == rig::kBroken ? "broken: " : "held: ") + counts);
}
