// SPDX-License-Identifier: Apache-2.0
#include "standin.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <cerrno>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <filesystem>
#include <fstream>
#include <random>
#include <sstream>

extern char** environ;

namespace review {
namespace {

constexpr unsigned kMaxSeconds = 115;
const Clock::time_point kStart = Clock::now();
std::mutex record_mutex;
std::ofstream record_file;

sockaddr_in Loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

void SetNonBlocking(int fd) { ::fcntl(fd, F_SETFL, ::fcntl(fd, F_GETFL) | O_NONBLOCK); }

void SetNoDelay(int fd) {
  const int on = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

bool PollFor(int fd, short events, double timeout_ms) {
  pollfd waiting{fd, events, 0};
  const double end = NowMs() + timeout_ms;
  for (;;) {
    const double left = end - NowMs();
    const int ready = ::poll(&waiting, 1, std::max(0, static_cast<int>(left + 0.999)));
    if (ready > 0) return true;
    if (ready == 0 || errno != EINTR) return false;
  }
}

std::string Lower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return std::tolower(c); });
  return text;
}

std::string Trimmed(const std::string& text) {
  const auto first = text.find_first_not_of(" \t");
  if (first == std::string::npos) return "";
  return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

bool ParseHead(const std::string& head, Message* message) {
  std::istringstream lines(head);
  std::string line;
  if (!std::getline(lines, line) || line.empty()) return false;
  message->first_line = line.substr(0, line.find('\r'));
  while (std::getline(lines, line)) {
    if (!line.empty() && line.back() == '\r') line.pop_back();
    if (line.empty()) break;
    const auto colon = line.find(':');
    if (colon == std::string::npos) return false;
    message->fields[Lower(line.substr(0, colon))] = Trimmed(line.substr(colon + 1));
  }
  return true;
}

}  // namespace

double NowMs() { return std::chrono::duration<double, std::milli>(Clock::now() - kStart).count(); }
void SleepMs(double ms) {
  if (ms > 0) std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(ms));
}
void SleepUntilMs(double at) { SleepMs(at - NowMs()); }

void CannotRun(const std::string& why) {
  Record("cannot run: " + why, true);
  std::fflush(stdout);
  ::_exit(2);
}

bool Trouble() {
  const char* value = std::getenv("TROUBLE");
  return !value || std::string(value) != "0";
}

void RecordTo(const std::string& path) {
  // A case runs for 120 s at most. The proxy ends with this program (PR_SET_PDEATHSIG).
  ::signal(SIGALRM, [](int) { ::_exit(2); });
  ::alarm(kMaxSeconds);
  const std::lock_guard lock(record_mutex);
  record_file.open(path, std::ios::trunc);
}

void Record(const std::string& line, bool echo) {
  const std::lock_guard lock(record_mutex);
  const std::string text = Format("%10.1f ", NowMs()) + line;
  record_file << text << '\n' << std::flush;
  if (echo) std::printf("%s\n", text.c_str());
}

std::string Format(const char* format, ...) {
  char text[4096];
  va_list arguments;
  va_start(arguments, format);
  std::vsnprintf(text, sizeof text, format, arguments);
  va_end(arguments);
  return text;
}

// ---- sockets ----------------------------------------------------------------------------------------------

Socket& Socket::operator=(Socket&& other) noexcept {
  if (this != &other) {
    Close();
    fd_ = other.Release();
  }
  return *this;
}
int Socket::Release() {
  const int fd = fd_;
  fd_ = -1;
  return fd;
}
void Socket::Close() {
  if (fd_ >= 0) ::close(fd_);
  fd_ = -1;
}
void Socket::ShutdownSend() const { ::shutdown(fd_, SHUT_WR); }
void Socket::Reset() {
  const linger at_once{1, 0};
  ::setsockopt(fd_, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
  Close();
}

bool Socket::Send(const std::string& bytes, double timeout_ms) const {
  const double end = NowMs() + timeout_ms;
  std::size_t at = 0;
  while (at < bytes.size()) {
    const ssize_t sent = ::send(fd_, bytes.data() + at, bytes.size() - at, MSG_NOSIGNAL | MSG_DONTWAIT);
    if (sent > 0) {
      at += static_cast<std::size_t>(sent);
    } else if (errno == EAGAIN || errno == EWOULDBLOCK) {
      if (!PollFor(fd_, POLLOUT, end - NowMs())) return false;
    } else if (errno != EINTR) {
      return false;
    }
  }
  return true;
}

long Socket::Receive(std::string* to, double timeout_ms, std::size_t max_bytes) const {
  if (!PollFor(fd_, POLLIN, std::max(0.0, timeout_ms))) return -2;
  std::vector<char> chunk(max_bytes);
  const ssize_t count = ::recv(fd_, chunk.data(), chunk.size(), MSG_DONTWAIT);
  if (count > 0) to->append(chunk.data(), static_cast<std::size_t>(count));
  if (count < 0 && (errno == EAGAIN || errno == EINTR)) return -2;
  return count < 0 ? -1 : count;
}

bool Socket::Readable(double timeout_ms) const { return PollFor(fd_, POLLIN, timeout_ms); }

Listener Listen(int port, int backlog) {
  Listener listener;
  listener.socket = Socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  const int on = 1;
  ::setsockopt(listener.socket.fd(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in address = Loopback(port);
  if (::bind(listener.socket.fd(), reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 ||
      ::listen(listener.socket.fd(), backlog) != 0)
    CannotRun("listen: " + std::string(std::strerror(errno)));
  socklen_t size = sizeof address;
  ::getsockname(listener.socket.fd(), reinterpret_cast<sockaddr*>(&address), &size);
  listener.port = ntohs(address.sin_port);
  SetNonBlocking(listener.socket.fd());
  return listener;
}

Socket Connect(int port, double timeout_ms) {
  Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
  if (!socket.valid()) return {};
  SetNoDelay(socket.fd());
  const sockaddr_in address = Loopback(port);
  if (::connect(socket.fd(), reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
    if (errno != EINPROGRESS || !PollFor(socket.fd(), POLLOUT, timeout_ms)) return {};
    int error = 0;
    socklen_t size = sizeof error;
    ::getsockopt(socket.fd(), SOL_SOCKET, SO_ERROR, &error, &size);
    if (error != 0) return {};
  }
  return socket;
}

Socket Accept(const Listener& listener, double timeout_ms) {
  if (!PollFor(listener.socket.fd(), POLLIN, timeout_ms)) return {};
  Socket socket(::accept4(listener.socket.fd(), nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK));
  if (socket.valid()) SetNoDelay(socket.fd());
  return socket;
}

int FreePort() { return Listen().port; }
std::string Address(int port) { return "127.0.0.1:" + std::to_string(port); }

// ---- HTTP -------------------------------------------------------------------------------------------------

bool Message::keep_alive() const { return Lower(Field("connection")).find("close") == std::string::npos; }
int Message::status() const {
  const auto space = first_line.find(' ');
  return space == std::string::npos ? 0 : std::atoi(first_line.c_str() + space + 1);
}
std::string Message::target() const {
  const auto first = first_line.find(' ');
  if (first == std::string::npos) return "";
  return first_line.substr(first + 1, first_line.find(' ', first + 1) - first - 1);
}
std::string Message::Field(const std::string& name) const {
  const auto found = fields.find(name);
  return found == fields.end() ? "" : found->second;
}

const char* NameOf(ReadResult result) {
  switch (result) {
    case ReadResult::kComplete:
      return "complete";
    case ReadResult::kEnd:
      return "end";
    case ReadResult::kEndWithin:
      return "end_within";
    case ReadResult::kReset:
      return "reset";
    case ReadResult::kTimeout:
      return "no_answer";
    case ReadResult::kMalformed:
      return "malformed";
  }
  return "unknown";
}

ReadResult Reader::Fill(double deadline_ms, bool at_start) {
  for (;;) {
    const double left = deadline_ms - NowMs();
    if (left <= 0) return ReadResult::kTimeout;
    const long count = socket_.Receive(&buffer_, left);
    if (count > 0) return ReadResult::kComplete;
    if (count == 0) return at_start && buffer_.empty() ? ReadResult::kEnd : ReadResult::kEndWithin;
    if (count == -1) return ReadResult::kReset;
  }
}

ReadResult Reader::ReadHead(Message* message, double deadline_ms) {
  *message = {};
  std::size_t end = 0;
  while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
    const ReadResult result = Fill(deadline_ms, true);
    if (result != ReadResult::kComplete) return result;
  }
  const std::string head = buffer_.substr(0, end + 4);
  buffer_.erase(0, end + 4);
  return ParseHead(head, message) ? ReadResult::kComplete : ReadResult::kMalformed;
}

ReadResult Reader::Read(Message* message, double deadline_ms) {
  ReadResult result = ReadHead(message, deadline_ms);
  if (result != ReadResult::kComplete) return result;
  const auto need = [&](std::size_t bytes) {
    while (buffer_.size() < bytes) {
      const ReadResult more = Fill(deadline_ms, false);
      if (more != ReadResult::kComplete) return more;
    }
    return ReadResult::kComplete;
  };
  if (Lower(message->Field("transfer-encoding")) == "chunked") {
    for (;;) {
      std::size_t line = 0;
      while ((line = buffer_.find("\r\n")) == std::string::npos) {
        if ((result = Fill(deadline_ms, false)) != ReadResult::kComplete) return result;
      }
      const std::size_t size = std::strtoul(buffer_.c_str(), nullptr, 16);
      buffer_.erase(0, line + 2);
      if ((result = need(size + 2)) != ReadResult::kComplete) return result;
      message->body += buffer_.substr(0, size);
      buffer_.erase(0, size + 2);
      if (size == 0) return ReadResult::kComplete;
    }
  }
  const std::size_t length = std::strtoul(message->Field("content-length").c_str(), nullptr, 10);
  if ((result = need(length)) != ReadResult::kComplete) return result;
  message->body = buffer_.substr(0, length);
  buffer_.erase(0, length);
  return ReadResult::kComplete;
}

std::string Ok(const std::string& body) {
  return "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}
std::string ChunkOf(const std::string& bytes) { return Format("%zx\r\n", bytes.size()) + bytes + "\r\n"; }

std::string RequestText(const RequestSpec& spec) {
  const bool get = spec.klass == "call-lookup";
  std::string text = (get ? "GET /" : "POST /") + spec.klass +
                     " HTTP/1.1\r\nHost: service.internal\r\nReq-Id: " + spec.id +
                     "\r\nReq-Kind: " + spec.klass + "\r\nReq-Owner: state-health\r\n";
  if (spec.deadline_ms > 0) text += "Req-Deadline-Ms: " + std::to_string(spec.deadline_ms) + "\r\n";
  text += spec.more;
  if (get) return text + "\r\n";
  if (!spec.chunked)
    return text + "Content-Length: " + std::to_string(spec.body.size()) + "\r\n\r\n" + spec.body;
  text += "Transfer-Encoding: chunked\r\n\r\n";
  if (!spec.body.empty()) text += ChunkOf(spec.body);
  return text + "0\r\n\r\n";
}

std::string FreshId() {
  static std::mutex mutex;
  static std::mt19937_64 random{std::random_device{}()};
  const std::lock_guard lock(mutex);
  return Format("%016llx", static_cast<unsigned long long>(random()));
}

// ---- discovery --------------------------------------------------------------------------------------------

std::string MembersJson(int revision, bool complete, const std::vector<Member>& members) {
  std::string text = "{\"revision\":" + std::to_string(revision) +
                     ",\"complete\":" + (complete ? "true" : "false") + ",\"members\":[";
  for (std::size_t i = 0; i < members.size(); ++i) {
    const Member& member = members[i];
    text += Format("%s{\"id\":\"%s\",\"host_port\":\"%s\",\"locality\":\"%s\",\"flavor\":\"%s\",\"cell\":1,",
                   i ? "," : "", member.id.c_str(), Address(member.port).c_str(), member.zone.c_str(),
                   member.kind.c_str());
    text += Format("\"phase\":\"%s\",\"size\":1.0,\"up_since_ms\":0}", member.phase.c_str());
  }
  return text + "]}";
}

Discovery::Discovery(std::string name) : name_(std::move(name)), listener_(Listen()) {
  thread_ = std::thread([this] { Run(); });
}

Discovery::~Discovery() {
  stop_ = true;
  thread_.join();
  for (auto& thread : threads_) thread.join();
}

void Discovery::Set(int revision, const std::vector<Member>& members) {
  const std::lock_guard lock(mutex_);
  std::vector<Member> changed;
  for (const Member& member : members) {
    const auto before = std::find_if(members_.begin(), members_.end(),
                                     [&](const Member& old) { return old.id == member.id; });
    if (before == members_.end() || before->phase != member.phase || before->port != member.port)
      changed.push_back(member);
  }
  for (const Member& old : members_) {
    if (std::none_of(members.begin(), members.end(), [&](const Member& m) { return m.id == old.id; })) {
      changed.push_back(old);
      changed.back().phase = "terminated";
    }
  }
  if (!members_.empty()) changes_[revision] = changed;
  members_ = members;
  revision_ = revision;
  Record(name_ + " has " + MembersJson(revision, false, changed));
}

void Discovery::StopAccepting() { accepting_ = false; }
void Discovery::CloseConnections() { ++epoch_; }

void Discovery::Run() {
  while (!stop_) {
    if (!accepting_) {
      listener_.socket.Close();
      SleepMs(20);
      continue;
    }
    auto socket = std::make_shared<Socket>(Accept(listener_, 20));
    if (!socket->valid()) continue;
    threads_.emplace_back([this, socket] { Serve(socket); });
  }
}

void Discovery::Serve(std::shared_ptr<Socket> socket) {
  const int epoch = epoch_;
  Reader reader(*socket);
  Message request;
  while (!stop_ && epoch == epoch_) {
    const ReadResult result = reader.Read(&request, NowMs() + 50);
    if (result == ReadResult::kTimeout) continue;
    if (result != ReadResult::kComplete) return;
    const std::string target = request.target();
    Record(name_ + " is asked " + target);
    const auto index = target.find("index=");
    if (target.find("stream=1") == std::string::npos) {
      std::string list;
      {
        const std::lock_guard lock(mutex_);
        list = MembersJson(revision_, true, members_);
      }
      if (!socket->Send(Ok(list))) return;
      ++told_;
      continue;
    }
    int known = index == std::string::npos ? 0 : std::atoi(target.c_str() + index + 6);
    if (!socket->Send(
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"))
      return;
    bool first = true;
    double heartbeat = NowMs() + 2000;
    while (!stop_ && epoch == epoch_) {
      std::string line;
      {
        const std::lock_guard lock(mutex_);
        if (known != revision_ || first) {
          std::map<std::string, Member> changed;
          for (const auto& [revision, members] : changes_) {
            for (const Member& member : members) {
              if (revision > known) changed[member.id] = member;
            }
          }
          const bool whole = known > revision_ || (first && known < 1);
          std::vector<Member> entries;
          for (const auto& [id, member] : changed) entries.push_back(member);
          line = MembersJson(revision_, whole, whole ? members_ : entries) + "\n";
          known = revision_;
          first = false;
        } else if (NowMs() >= heartbeat) {
          line = "\n";
        }
      }
      if (!line.empty()) {
        if (!socket->Send(ChunkOf(line))) return;
        if (line.size() > 1) Record(name_ + " tells " + line.substr(0, line.size() - 1));
        ++told_;
        heartbeat = NowMs() + 2000;
      }
      std::string ignored;
      const long received = socket->Receive(&ignored, 5);
      if (received == 0 || received == -1) return;
    }
  }
}

// ---- backends ---------------------------------------------------------------------------------------------

Backend::Backend(std::string name, Answer answer)
    : name_(std::move(name)), answer_(std::move(answer)), listener_(Listen(0, 1024)) {
  thread_ = std::thread([this] { Accepting(); });
}

Backend::~Backend() {
  stop_ = true;
  thread_.join();
  for (auto& thread : threads_) thread.join();
}

std::vector<Run> Backend::runs() {
  const std::lock_guard lock(mutex_);
  return runs_;
}

void Backend::Accepting() {
  while (!stop_) {
    auto socket = std::make_shared<Socket>(Accept(listener_, 20));
    if (!socket->valid()) continue;
    ++connections_;
    threads_.emplace_back([this, socket] { Serve(socket); });
  }
}

void Backend::Serve(std::shared_ptr<Socket> socket) {
  Reader reader(*socket);
  Message request;
  while (!stop_) {
    if (reader.buffered().empty() && !socket->Readable(50)) continue;
    const double began = NowMs();
    const ReadResult result = reader.Read(&request, NowMs() + 120000);
    if (result != ReadResult::kComplete) return;
    const Run run{began,
                  NowMs(),
                  request.Field("req-id"),
                  request.target(),
                  request.Field("req-deadline-ms"),
                  request.body.size()};
    {
      const std::lock_guard lock(mutex_);
      runs_.push_back(run);
    }
    Record(name_ + Format(" runs id=%s %s deadline_ms=%s body=%zu", run.id.c_str(), run.target.c_str(),
                          run.deadline.c_str(), run.body_bytes));
    if (!answer_(*this, *socket, reader, request)) return;
  }
}

// ---- delays -----------------------------------------------------------------------------------------------

DelayLine::DelayLine(int target_port, double one_way_ms)
    : target_port_(target_port), one_way_ms_(one_way_ms), listener_(Listen(0, 1024)) {
  thread_ = std::thread([this] { Accepting(); });
}

DelayLine::~DelayLine() {
  stop_ = true;
  thread_.join();
  for (auto& thread : threads_) thread.join();
}

void DelayLine::Accepting() {
  while (!stop_) {
    auto from = std::make_shared<Socket>(Accept(listener_, 20));
    if (!from->valid()) continue;
    auto to = std::make_shared<Socket>(Connect(target_port_));
    if (!to->valid()) continue;
    threads_.emplace_back([this, from, to] { Pump(from, to); });
    threads_.emplace_back([this, from, to] { Pump(to, from); });
  }
}

// Bytes leave in the order in which they came, each after the same time. The end is passed on like a byte.
void DelayLine::Pump(std::shared_ptr<Socket> from, std::shared_ptr<Socket> to) {
  std::deque<std::pair<double, std::string>> waiting;  // when due, and the bytes; none for the end
  bool ended = false;
  while (!stop_) {
    while (!waiting.empty() && waiting.front().first <= NowMs()) {
      if (waiting.front().second.empty()) return to->ShutdownSend();
      if (!to->Send(waiting.front().second)) return;
      waiting.pop_front();
    }
    const double left = waiting.empty() ? 50 : waiting.front().first - NowMs();
    if (left <= 0) continue;
    if (ended || !waiting.empty()) {
      // poll has a resolution of 1 ms: shorter waits are slept.
      if (ended || !from->Readable(0)) {
        SleepMs(std::min(left, 0.1));
        continue;
      }
    }
    std::string bytes;
    const long count = from->Receive(&bytes, left);
    if (count == -2) continue;
    ended = count <= 0;
    waiting.emplace_back(NowMs() + one_way_ms_, bytes);
  }
}

// ---- the proxy --------------------------------------------------------------------------------------------

std::string ConfigText(const ProxyOptions& options) {
  const std::string settings = R"({"balancers":2,"me":0,"zone":0,"zones":["hobart","launceston"],
"kinds":["fast-single","twin-core","old-single"],"serviceType":"proxy","stage":0,"tiers":["booking-web"],
"periodMs":5.0,"registryMode":")" +
                               options.registry_mode +
                               R"(","weightKind":"off","worthBy":"work","overShareWorth":0.2,
"classes":[
 {"name":"call-lookup","effect":"read_like","group":"all","goalTimeMs":500.0,"deadlineMs":2500.0,
  "lateWorth":0.0,"streaming":false,"windowMs":5000.0,"worth":5.0},
 {"name":"new-booking","effect":"non_idempotent","group":"all","goalTimeMs":500.0,"deadlineMs":1200.0,
  "lateWorth":0.0,"streaming":false,"windowMs":5000.0,"worth":3.0}],
"clientHabits":{"marksRetry":false},
"deductions":{"connection":0.0,"crossZone":0.02,"handshake":0.02,"lateFail":0.034,"probe":0.01,"waste":0.054},
"goal":{"whole":0.5,"worstClass":0.35,"worstTenant":0.1,"worstWindow":0.05},
"permissions":{"cancel":true,"connIdleMs":60000.0,"connectTimeoutMs":200.0,"cpuUsPerRequest":0.0,
 "cpuUsPerS":854344,"maxAttempts":5,"maxOpen":21358,"maxRetryAfterMs":2500.0,"maxStreams":1,
 "parallelTries":true,"peers":false,"probes":true,"retryAfter":true},
"report":{"fields":[],"how":"off"},
"rules":{"answerSlackMs":20.0,"coldFrom":0.14,"drainGraceMs":500.0,"fallMultiple":3.0,"mustAskInMs":10000.0,
 "overloadForMs":1000.0,"warmUpMs":21000.0},
"specifics":{"warmKeys":true},
"tenants":[{"fraction":0.43,"name":"state-health","quotaPerS":56.0},
 {"fraction":0.32,"name":"mainland-bank","quotaPerS":42.0},{"fraction":0.25,"name":"uni-south","quotaPerS":33.0}]})";
  return Format(
             "{\"name\":\"%s\",\"listen\":\"%s\",\"discovery\":\"%s\",\"operator\":\"%s\",\"seed\":\"%s\",",
             options.name.c_str(), Address(options.listen).c_str(), Address(options.discovery).c_str(),
             Address(options.operator_port).c_str(), FreshId().c_str()) +
         Format("\"limits\":{\"cores\":1.0,\"memory_mb\":%d,\"sockets\":%d},", options.memory_mb,
                options.sockets) +
         "\"known\":" + MembersJson(options.known_revision, true, options.known) +
         ",\"settings\":" + settings + "}\n";
}

TemporaryFolder::TemporaryFolder() {
  std::string pattern = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
  if (!::mkdtemp(pattern.data())) CannotRun("no temporary folder");
  path_ = pattern;
}
TemporaryFolder::~TemporaryFolder() {
  std::error_code ignored;
  std::filesystem::remove_all(path_, ignored);
}

void WriteFile(const std::string& path, const std::string& text) {
  const std::string temporary = path + ".new";
  std::ofstream(temporary, std::ios::trunc) << text;
  std::filesystem::rename(temporary, path);
}

namespace {

// The command `run` of deploy/balancer.toml, in the current folder.
std::string RunCommand() {
  std::ifstream file("deploy/balancer.toml");
  std::string line;
  while (std::getline(file, line)) {
    if (line.rfind("run = \"", 0) == 0) return line.substr(7, line.rfind('"') - 7);
  }
  CannotRun("deploy/balancer.toml has no run");
}

long StatusKb(int pid, const std::string& field) {
  std::ifstream file("/proc/" + std::to_string(pid) + "/status");
  std::string line;
  while (std::getline(file, line)) {
    if (line.rfind(field + ":", 0) == 0) return std::atol(line.c_str() + field.size() + 1);
  }
  return 0;
}

}  // namespace

ProxyProcess::ProxyProcess(const std::map<std::string, std::string>& env, const std::string& log) {
  const std::string command = RunCommand();
  std::vector<std::string> variables;
  for (char** variable = environ; *variable; ++variable) {
    const std::string text = *variable;
    if (env.count(text.substr(0, text.find('='))) == 0 && text.rfind("ROUTER_", 0) != 0)
      variables.push_back(text);
  }
  for (const auto& [name, value] : env) variables.push_back(name + "=" + value);
  std::vector<char*> environment;
  for (std::string& variable : variables) environment.push_back(variable.data());
  environment.push_back(nullptr);
  const char* arguments[] = {"/bin/sh", "-c", command.c_str(), nullptr};
  const int parent = ::getpid();
  pid_ = ::fork();
  if (pid_ < 0) CannotRun("fork failed");
  if (pid_ == 0) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (::getppid() != parent) ::_exit(127);
    const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    ::dup2(out, 1);
    ::dup2(out, 2);
    ::execve("/bin/sh", const_cast<char**>(arguments), environment.data());
    ::_exit(127);
  }
  Record(Format("proxy started: pid %d", pid_));
}

ProxyProcess::~ProxyProcess() {
  if (Ended()) return;
  ::kill(pid_, SIGKILL);
  ::waitpid(pid_, nullptr, 0);
}

void ProxyProcess::Signal(int number) const {
  Record(Format("signal %d to proxy %d", number, pid_));
  ::kill(pid_, number);
}

bool ProxyProcess::Ended(std::string* how) {
  int status = 0;
  if (!ended_ && ::waitpid(pid_, &status, WNOHANG) == pid_) {
    ended_ = true;
    how_ = WIFSIGNALED(status) ? Format("by signal %d", WTERMSIG(status))
                               : Format("with code %d", WEXITSTATUS(status));
    Record(Format("proxy %d ended %s", pid_, how_.c_str()));
  }
  if (how) *how = how_;
  return ended_;
}

long ProxyProcess::ResidentKb() const { return StatusKb(pid_, "VmRSS"); }
long ProxyProcess::PeakKb() const { return StatusKb(pid_, "VmHWM"); }

std::map<std::string, std::string> PlatformEnvironment(const ProxyOptions& options,
                                                       const std::string& config_path,
                                                       const std::string& tmpdir) {
  return {{"ROUTER_NAME", options.name},
          {"ROUTER_LISTEN", Address(options.listen)},
          {"ROUTER_DISCOVERY", Address(options.discovery)},
          {"ROUTER_OPERATOR", Address(options.operator_port)},
          {"ROUTER_CONFIG", config_path},
          {"TMPDIR", tmpdir}};
}

int OperatorCall(int port, const std::string& method, const std::string& target) {
  const double end = NowMs() + 1000;
  const Socket socket = Connect(port, 1000);
  int status = 0;
  if (socket.valid()) {
    socket.Send(method + " " + target + " HTTP/1.1\r\nHost: operator\r\nContent-Length: 0\r\n\r\n", 1000);
    Reader reader(socket);
    Message answer;
    if (reader.Read(&answer, end) == ReadResult::kComplete) status = answer.status();
  }
  if (target != "/ready") Record(Format("operator %s %s: %d", method.c_str(), target.c_str(), status));
  return status;
}

bool WaitReady(int port, double timeout_ms) {
  const double end = NowMs() + timeout_ms;
  while (NowMs() < end) {
    const Socket socket = Connect(port, 200);
    if (socket.valid()) {
      socket.Send("GET /ready HTTP/1.1\r\nHost: front\r\nConnection: close\r\n\r\n", 500);
      Reader reader(socket);
      Message answer;
      if (reader.Read(&answer, NowMs() + 500) == ReadResult::kComplete && answer.status() == 200) return true;
    }
    SleepMs(20);
  }
  return false;
}

Outcome Ask(int port, const RequestSpec& spec, double timeout_ms) {
  Outcome outcome;
  const Socket socket = Connect(port);
  if (!socket.valid()) {
    outcome.result = ReadResult::kReset;
    return outcome;
  }
  socket.Send(RequestText(spec));
  outcome.sent_at = NowMs();
  Reader reader(socket);
  Message answer;
  outcome.result = reader.Read(&answer, outcome.sent_at + timeout_ms);
  outcome.ended_at = NowMs();
  outcome.status = answer.status();
  outcome.body = answer.body;
  Record(Format("client id=%s %s: %s status=%d body=%zu after %.1f ms", spec.id.c_str(), spec.klass.c_str(),
                NameOf(outcome.result), outcome.status, outcome.body.size(),
                outcome.ended_at - outcome.sent_at));
  return outcome;
}

}  // namespace review
