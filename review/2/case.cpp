// SPDX-License-Identifier: Apache-2.0
//
// A request of a class with an idempotency key: its first attempt ends with a 500, just before the proxy's
// own limit for a repeat, and the proxy is held up for less than 0.15 s. Is the second attempt still sent
// within the window for repeats?
#include <random>

#include "common/rig.h"

namespace {

constexpr std::uint64_t kSeed = 42;  // of the moments at which the proxy is held up
constexpr int kRequests = 200;
constexpr int kErrorEvery = 3;  // of the requests that one backend runs, the third, the sixth and so on
constexpr int kDeadlineMs = 2500;
constexpr int kWindowMs = 500;         // how long the backends know a key, from the first attempt's send
constexpr double kErrorMs = 446;       // after the first attempt's last byte
constexpr double kHeldUpMs = 145;      // "up to 0.15 s"
constexpr double kMaxMomentMs = 0.25;  // how long after the 500 the proxy is held up, at most
constexpr double kSlackMs = 50;        // "every time limit is 50 ms longer"
constexpr double kWorkMs = 30;

std::atomic<pid_t> proxy_process{0};
std::atomic<int> runs_in_all{0}, repeats{0}, late_sends{0}, run_twice{0}, errors{0}, served{0}, unserved{0};

// What the backends together know: group `all`. A repeat within the window is dropped, not run.
class Bookings {
 public:
  // An attempt whose last byte has arrived. `first_byte_ms`: when its first byte was there.
  // Returns whether it has run now.
  bool OnAttempt(const std::string& backend, const std::string& key, double first_byte_ms) {
    const std::lock_guard lock(mutex_);
    Booking& booking = bookings_[key];
    const double now = rig::NowMs();
    if (booking.runs == 0) {
      booking = {1, first_byte_ms};
      ++runs_in_all;
      RECORD("%s: RAN key %s", backend.c_str(), key.c_str());
      return true;
    }
    ++repeats;
    const double after_ms = first_byte_ms - booking.first_ms;
    if (now - booking.first_ms <= kWindowMs) {
      RECORD("%s: a repeat of key %s after %.1f ms: dropped, its answer is known", backend.c_str(),
             key.c_str(), after_ms);
      return false;
    }
    ++runs_in_all;
    run_twice += ++booking.runs == 2;
    late_sends += after_ms > kWindowMs + kSlackMs;
    RECORD("%s: RAN key %s AGAIN: the first byte of this attempt came %.1f ms after that of the first",
           backend.c_str(), key.c_str(), after_ms);
    return true;
  }

 private:
  struct Booking {
    int runs = 0;
    double first_ms = 0;
  };
  std::mutex mutex_;
  std::map<std::string, Booking> bookings_;
};
Bookings bookings;

void HoldUpProxy() {
  static std::mt19937_64 random(kSeed);
  const double moment = rig::NowMs() + std::uniform_real_distribution<double>(0, kMaxMomentMs)(random);
  while (rig::NowMs() < moment) {
  }
  ::kill(proxy_process, SIGSTOP);
  rig::SleepMs(kHeldUpMs);
  ::kill(proxy_process, SIGCONT);
  RECORD("proxy: was held up for %.0f ms, %.2f ms after the 500", kHeldUpMs,
         rig::NowMs() - moment - kHeldUpMs);
}

// @param fails_some whether some requests that it runs take kErrorMs and end with a 500.
void ServeBackend(const std::string& name, bool fails_some, int fd) {
  static std::atomic<int> runs{0};
  pollfd begin{fd, POLLIN, 0};
  ::poll(&begin, 1, 60000);
  const double first_byte_ms = rig::NowMs();
  rig::Message request;
  if (!rig::Reader(fd).Read(&request)) return rig::Reset(fd);
  const std::string id = request.Field("req-id");
  const bool ran = bookings.OnAttempt(name, request.Field("idempotency-key"), first_byte_ms);
  const bool error = ran && fails_some && ++runs % kErrorEvery == 0;
  rig::SleepUntilMs(first_byte_ms + (error ? kErrorMs : kWorkMs));
  rig::SendAll(fd, rig::Answer(error ? 500 : 200, "booking " + id, "Connection: close\r\n"));
  if (error) {
    ++errors;
    RECORD("%s: answers 500 to %s", name.c_str(), id.c_str());
    if (rig::WithTrouble()) HoldUpProxy();
  }
  ::shutdown(fd, SHUT_WR);
  char rest[64];
  while (::recv(fd, rest, sizeof rest, 0) > 0) {
  }
  ::close(fd);
}

void Send(int port, const std::string& id) {
  const int fd = rig::Connect(port);
  RECORD("client: sends %s", id.c_str());
  rig::Message answer;
  const bool answered = fd >= 0 &&
                        rig::SendAll(fd, rig::Request("new-booking", id, kDeadlineMs, "seats=4",
                                                      "Idempotency-Key: " + id + "\r\n")) &&
                        rig::Reader(fd).Read(&answer, rig::NowMs() + kDeadlineMs + 600);
  RECORD("client: %s got %d", id.c_str(), answered ? answer.status() : 0);
  ++(answered && answer.status() == 200 ? served : unserved);
  ::close(fd);
}

}  // namespace

int main(int, char** arguments) {
  rig::Record::Get().Open(arguments[1]);
  rig::LimitTime(115000);
  const rig::Listener failing, sound;
  rig::AcceptAll(failing.fd, [](int fd) { ServeBackend("s-failing", true, fd); });
  rig::AcceptAll(sound.fd, [](int fd) { ServeBackend("s-sound", false, fd); });
  rig::Discovery discovery({{"s-failing", failing.HostPort()}, {"s-sound", sound.HostPort()}});
  rig::Proxy proxy;
  proxy.StartProcess(
      discovery,
      rig::Settings("[" + rig::Class("new-booking", "idempotency_key", kDeadlineMs, kWindowMs) + "]", 200));
  proxy_process = proxy.pid();
  for (int i = 0; i < kRequests && !proxy.Ended(); ++i) {
    Send(proxy.port, "9b1f03aa5c7e" + std::to_string(1000 + i));
    rig::SleepMs(30);
  }
  char counts[240];
  std::snprintf(counts, sizeof counts,
                "%d requests: %d served, %d not; %d errors; %d repeats; %d runs, %d requests run twice, %d "
                "attempts sent over %.0f ms after the window",
                kRequests, served.load(), unserved.load(), errors.load(), repeats.load(), runs_in_all.load(),
                run_twice.load(), late_sends.load(), kSlackMs);
  if (proxy.Ended()) rig::Finish(rig::kCannotRun, std::string("cannot run: the proxy has ended; ") + counts);
  if (served == 0 || errors == 0) rig::Finish(rig::kCannotRun, std::string("cannot run: ") + counts);
  const int code = late_sends > 0 ? rig::kBroken : rig::kHeld;
  rig::Finish(code, std::string(code == rig::kBroken ? "broken: " : "held: ") + counts);
}
