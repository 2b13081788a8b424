// SPDX-License-Identifier: Apache-2.0
//
// What the cases of the review share: a record of events, loopback sockets, HTTP messages, discovery as
// PROTOCOL describes it, and the proxy as a process of its own, started with the command of the deploy file.
#ifndef COPPERPOINT_REVIEW_COMMON_RIG_H_
#define COPPERPOINT_REVIEW_COMMON_RIG_H_

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cctype>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace rig {

using Clock = std::chrono::steady_clock;
using Ms = std::chrono::duration<double, std::milli>;

inline constexpr int kHeld = 0, kBroken = 1, kCannotRun = 2;

inline Clock::time_point Start() {
  static const Clock::time_point start = Clock::now();
  return start;
}
inline double NowMs() { return Ms(Clock::now() - Start()).count(); }
inline void SleepMs(double ms) { std::this_thread::sleep_for(Ms(ms)); }
inline void SleepUntilMs(double at) { SleepMs(std::max(0.0, at - NowMs())); }
inline bool WithTrouble() {
  const char* value = std::getenv("TROUBLE");
  return !value || std::string(value) != "0";
}

// ---- the record and the end -----------------------------------------------------------------------------

class Record {
 public:
  static Record& Get() {
    static Record record;
    return record;
  }
  void Open(const char* path) { file_ = std::fopen(path, "we"); }
  [[gnu::format(printf, 2, 3)]] void Line(const char* format, ...) {
    std::lock_guard lock(mutex_);
    if (!file_) return;
    std::fprintf(file_, "%10.1f ms  ", NowMs());
    va_list arguments;
    va_start(arguments, format);
    std::vfprintf(file_, format, arguments);
    va_end(arguments);
    std::fputc('\n', file_);
    std::fflush(file_);
  }

 private:
  std::mutex mutex_;
  std::FILE* file_ = nullptr;
};
#define RECORD(...) rig::Record::Get().Line(__VA_ARGS__)

// The processes that this process has started and has to end.
inline std::vector<pid_t>& Children() {
  static std::vector<pid_t> children;
  return children;
}

[[noreturn]] inline void Finish(int code, const std::string& verdict) {
  for (const pid_t child : Children()) {
    ::kill(child, SIGKILL);
    ::waitpid(child, nullptr, 0);
  }
  RECORD("verdict: %s (exit %d)", verdict.c_str(), code);
  std::printf("%s (exit %d)\n", verdict.c_str(), code);
  std::fflush(stdout);
  ::_exit(code);
}

// Ends the whole run if it takes longer than a case may.
inline void LimitTime(double ms) {
  std::thread([ms] {
    SleepMs(ms);
    Finish(kCannotRun, "cannot run: the time is over");
  }).detach();
}

// ---- sockets --------------------------------------------------------------------------------------------

inline sockaddr_in Loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

// Listens at a free port of 127.0.0.1.
struct Listener {
  int fd = -1, port = 0;
  explicit Listener(int backlog = 512) {
    fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = Loopback(0);
    socklen_t size = sizeof address;
    if (::bind(fd, reinterpret_cast<sockaddr*>(&address), size) != 0 || ::listen(fd, backlog) != 0 ||
        ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size) != 0)
      Finish(kCannotRun, "cannot run: no port");
    port = ntohs(address.sin_port);
  }
  std::string HostPort() const { return "127.0.0.1:" + std::to_string(port); }
};

// A port that is free now, for the proxy.
inline int FreePort() {
  const Listener listener;
  ::close(listener.fd);
  return listener.port;
}

inline void SetNoDelay(int fd) {
  const int on = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

inline int Connect(int port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = Loopback(port);
  if (::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
    ::close(fd);
    return -1;
  }
  SetNoDelay(fd);
  return fd;
}

inline bool SendAll(int fd, const std::string& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t count = ::send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) return false;
    sent += static_cast<std::size_t>(count);
  }
  return true;
}

inline void Reset(int fd) {
  const linger now{1, 0};
  ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
  ::close(fd);
}

// Accepts connections for ever; each is served by `serve` in a thread of its own, which closes it.
inline void AcceptAll(int listener, std::function<void(int fd)> serve) {
  std::thread([listener, serve = std::move(serve)] {
    for (;;) {
      const int fd = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) continue;
      SetNoDelay(fd);
      std::thread(serve, fd).detach();
    }
  }).detach();
}

// ---- HTTP -----------------------------------------------------------------------------------------------

struct Message {
  std::string first_line, body;
  std::map<std::string, std::string> fields;  // by name in lower case
  int status() const { return first_line.size() > 12 ? std::atoi(first_line.c_str() + 9) : 0; }
  std::string method() const { return first_line.substr(0, first_line.find(' ')); }
  std::string target() const {
    const std::size_t at = first_line.find(' ') + 1;
    return first_line.substr(at, first_line.find(' ', at) - at);
  }
  std::string Field(const std::string& name) const {
    const auto found = fields.find(name);
    return found == fields.end() ? "" : found->second;
  }
};

// Reads messages with a Content-Length or the chunked coding from one connection.
class Reader {
 public:
  explicit Reader(int fd) : fd_(fd) {}

  // Returns false if the connection has ended first, or `deadline_ms` of NowMs has passed.
  bool Read(Message* message, double deadline_ms = 1e15) {
    *message = {};
    deadline_ms_ = deadline_ms;
    std::string line;
    if (!ReadLine(&message->first_line)) return false;
    while (ReadLine(&line)) {
      if (line.empty()) return ReadBody(message);
      const std::size_t colon = line.find(':');
      if (colon == std::string::npos) return false;
      std::string name = line.substr(0, colon);
      for (char& c : name) c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
      const std::size_t value = line.find_first_not_of(' ', colon + 1);
      message->fields[name] = value == std::string::npos ? "" : line.substr(value);
    }
    return false;
  }

 private:
  bool ReadBody(Message* message) {
    if (message->Field("transfer-encoding") == "chunked") {
      std::string line;
      while (ReadLine(&line)) {
        const std::size_t size = std::strtoul(line.c_str(), nullptr, 16);
        if (!ReadBytes(size, &message->body) || !ReadLine(&line)) return false;
        if (size == 0) return true;
      }
      return false;
    }
    return ReadBytes(std::strtoul(message->Field("content-length").c_str(), nullptr, 10), &message->body);
  }
  bool ReadLine(std::string* line) {
    std::size_t end = 0;
    while ((end = text_.find("\r\n")) == std::string::npos) {
      if (!Fill()) return false;
    }
    *line = text_.substr(0, end);
    text_.erase(0, end + 2);
    return true;
  }
  bool ReadBytes(std::size_t size, std::string* bytes) {
    while (text_.size() < size) {
      if (!Fill()) return false;
    }
    bytes->append(text_, 0, size);
    text_.erase(0, size);
    return true;
  }
  bool Fill() {
    pollfd wait{fd_, POLLIN, 0};
    const double left = std::min(1e8, deadline_ms_ - NowMs());
    if (left <= 0 || ::poll(&wait, 1, static_cast<int>(left) + 1) <= 0) return false;
    char chunk[65536];
    const ssize_t count = ::recv(fd_, chunk, sizeof chunk, 0);
    if (count <= 0) return false;
    text_.append(chunk, static_cast<std::size_t>(count));
    return true;
  }

  int fd_;
  double deadline_ms_ = 0;
  std::string text_;
};

inline std::string Answer(int status, const std::string& body, const std::string& more_fields = "") {
  return "HTTP/1.1 " + std::to_string(status) + " Answer\r\nContent-Type: text/plain\r\n" + more_fields +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// A client's request in the form of PROTOCOL. `kind` is the class; a body makes it a POST.
inline std::string Request(const std::string& kind, const std::string& id, int deadline_ms,
                           const std::string& body, const std::string& more_fields = "") {
  std::string text = (body.empty() ? "GET /" : "POST /") + kind + "/" + id + " HTTP/1.1\r\n" +
                     "Host: service.internal\r\nReq-Id: " + id + "\r\nReq-Kind: " + kind +
                     "\r\nReq-Owner: state-health\r\nReq-Deadline-Ms: " + std::to_string(deadline_ms) +
                     "\r\n" + more_fields;
  if (!body.empty()) text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  return text + "\r\n" + body;
}

// ---- discovery ------------------------------------------------------------------------------------------

struct Member {
  std::string id, host_port, zone = "hobart", phase = "in_service";
};

// Serves the whole list, and watches: changes, and an empty line every 2 s.
class Discovery {
 public:
  explicit Discovery(std::vector<Member> members) : members_(std::move(members)) {
    AcceptAll(listener_.fd, [this](int fd) { Serve(fd); });
  }
  std::string HostPort() const { return listener_.HostPort(); }
  std::string List() {
    std::lock_guard lock(mutex_);
    return ListLocked();
  }

 private:
  std::string ListLocked() {
    std::string text = "{\"revision\":" + std::to_string(kRevision) + ",\"complete\":true,\"members\":[";
    const char* separator = "";
    for (const Member& member : members_) {
      text += separator;
      text += "{\"id\":\"" + member.id + "\",\"host_port\":\"" + member.host_port + "\",\"locality\":\"" +
              member.zone + "\",\"flavor\":\"fast-single\",\"cell\":0,\"phase\":\"" + member.phase +
              "\",\"size\":1.0,\"up_since_ms\":0}";
      separator = ",";
    }
    return text + "]}";
  }
  static std::string Chunk(const std::string& line) {
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", line.size() + 1);
    return size + line + "\n\r\n";
  }
  void Serve(int fd) {
    Reader reader(fd);
    Message request;
    while (reader.Read(&request)) {
      if (request.target().find("stream=1") == std::string::npos) {
        if (!SendAll(fd, Answer(200, List()))) break;
        continue;
      }
      bool open = SendAll(fd, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + Chunk(List()));
      while (open) {
        SleepMs(2000);
        open = SendAll(fd, Chunk(""));
      }
      break;
    }
    ::close(fd);
  }

  static constexpr int kRevision = 41;
  Listener listener_;
  std::mutex mutex_;
  std::vector<Member> members_;
};

// ---- the proxy ------------------------------------------------------------------------------------------

// The settings of hobart-calls with two proxies, as JSON. `classes` is the list of classes; the connect
// timeout is a setting too.
inline std::string Settings(const std::string& classes, int connect_timeout_ms) {
  return R"({"balancers":2,"me":0,"zone":0,"zones":["hobart","launceston"],"serviceType":"proxy","stage":0,
"tiers":["booking-web"],"kinds":["fast-single","twin-core","old-single"],"classes":)" +
         classes + R"(,"clientHabits":{"marksRetry":false},
"deductions":{"connection":0.0,"crossZone":0.02,"handshake":0.02,"lateFail":0.034,"probe":0.01,"waste":0.054},
"goal":{"whole":0.5,"worstClass":0.35,"worstTenant":0.1,"worstWindow":0.05},"overShareWorth":0.2,
"periodMs":5.0,"permissions":{"cancel":true,"connIdleMs":60000.0,"connectTimeoutMs":)" +
         std::to_string(connect_timeout_ms) + R"(.0,"cpuUsPerRequest":0.0,"cpuUsPerS":854344,"maxAttempts":5,
"maxOpen":21358,"maxRetryAfterMs":2500.0,"maxStreams":1,"parallelTries":true,"peers":false,"probes":true,
"retryAfter":true},"registryMode":"ask","report":{"fields":[],"how":"off"},
"rules":{"answerSlackMs":20.0,"coldFrom":0.14,"drainGraceMs":500.0,"fallMultiple":3.0,"mustAskInMs":10000.0,
"overloadForMs":1000.0,"warmUpMs":21000.0},"specifics":{"warmKeys":true},
"tenants":[{"fraction":0.43,"name":"state-health","quotaPerS":560.0},
{"fraction":0.32,"name":"mainland-bank","quotaPerS":420.0},
{"fraction":0.25,"name":"uni-south","quotaPerS":330.0}],"weightKind":"off","worthBy":"work"})";
}

inline std::string Class(const std::string& name, const std::string& effect, int deadline_ms,
                         int window_ms = 5000) {
  return R"({"name":")" + name + R"(","effect":")" + effect + R"(","deadlineMs":)" +
         std::to_string(deadline_ms) + R"(.0,"goalTimeMs":500.0,"group":"all","lateWorth":0.0,)" +
         R"("streaming":false,"windowMs":)" + std::to_string(window_ms) + R"(.0,"worth":5.0})";
}

// One proxy process. RIG_RUN is `run` of the deploy file, RIG_TMP an empty folder of this run.
class Proxy {
 public:
  int port = FreePort(), operator_port = FreePort();

  void StartProcess(Discovery& discovery, const std::string& settings) {
    const std::string folder = Variable("RIG_TMP");
    const std::string listen = "127.0.0.1:" + std::to_string(port);
    const std::string admin = "127.0.0.1:" + std::to_string(operator_port);
    const std::string path = folder + "/config.json";
    std::FILE* file = std::fopen(path.c_str(), "w");
    if (!file) Finish(kCannotRun, "cannot run: no folder");
    std::fprintf(file,
                 "{\"name\":\"n0\",\"listen\":\"%s\",\"discovery\":\"%s\",\"operator\":\"%s\","
                 "\"seed\":\"%016llx\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},"
                 "\"known\":%s,\"settings\":%s}\n",
                 listen.c_str(), discovery.HostPort().c_str(), admin.c_str(),
                 static_cast<unsigned long long>(::getpid()) * 0x9e3779b97f4a7c15ull,
                 discovery.List().c_str(), settings.c_str());
    std::fclose(file);
    pid_ = ::fork();
    if (pid_ == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);  // also if this process ends without Finish
      ::setenv("ROUTER_NAME", "n0", 1);
      ::setenv("ROUTER_LISTEN", listen.c_str(), 1);
      ::setenv("ROUTER_DISCOVERY", discovery.HostPort().c_str(), 1);
      ::setenv("ROUTER_OPERATOR", admin.c_str(), 1);
      ::setenv("ROUTER_CONFIG", path.c_str(), 1);
      ::setenv("TMPDIR", (folder + "/private").c_str(), 1);
      if (!std::freopen((folder + "/proxy.log").c_str(), "w", stdout)) ::_exit(127);
      ::dup2(1, 2);
      ::execl("/bin/sh", "sh", "-c", Variable("RIG_RUN").c_str(), static_cast<char*>(nullptr));
      ::_exit(127);
    }
    Children().push_back(pid_);
    AwaitReady();
  }

  // @param signal_number the name goes into the record.
  void Signal(int signal_number, const char* name) {
    RECORD("proxy: %s", name);
    ::kill(pid_, signal_number);
  }
  pid_t pid() const { return pid_; }
  // Returns whether the process has ended.
  bool Ended() {
    if (!ended_) ended_ = ::waitpid(pid_, nullptr, WNOHANG) == pid_;
    return ended_;
  }

 private:
  static std::string Variable(const char* name) {
    const char* value = std::getenv(name);
    if (!value) Finish(kCannotRun, std::string("cannot run: ") + name + " is not set; use run.sh");
    return value;
  }
  void AwaitReady() {
    for (int attempt = 0; attempt < 600; ++attempt) {
      SleepMs(50);
      if (Ended()) Finish(kCannotRun, "cannot run: the proxy has ended");
      const int fd = Connect(port);
      if (fd < 0) continue;
      Message answer;
      const bool answered = SendAll(fd, "GET /ready HTTP/1.1\r\nHost: service.internal\r\n\r\n") &&
                            Reader(fd).Read(&answer, NowMs() + 1000);
      ::close(fd);
      if (!answered || answer.status() != 200) continue;
      RECORD("proxy: ready, process %d, clients at 127.0.0.1:%d", static_cast<int>(pid_), port);
      return;
    }
    Finish(kCannotRun, "cannot run: the proxy is not ready after 30 s");
  }

  pid_t pid_ = -1;
  bool ended_ = false;
};

}  // namespace rig

#endif  // COPPERPOINT_REVIEW_COMMON_RIG_H_
