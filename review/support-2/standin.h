// SPDX-License-Identifier: Apache-2.0
//
// Stand-ins for the platform, discovery, backends and clients, and the process of one proxy. Everything runs
// on 127.0.0.1 with ports that the system chooses, on the real clock.
#ifndef COPPERPOINT_REVIEW_SUPPORT_2_STANDIN_H_
#define COPPERPOINT_REVIEW_SUPPORT_2_STANDIN_H_

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;

// @return milliseconds since the program started.
double NowMs();
void SleepMs(double ms);
void SleepUntilMs(double at);

// The program ends with 2 if the case cannot run.
[[noreturn]] void CannotRun(const std::string& why);

// @return whether the disruption is on (TROUBLE=0 switches it off).
bool Trouble();

// Writes one line to record.txt and, with `echo`, to standard output.
void Record(const std::string& line, bool echo = false);
// Must be called first. Ends the program with 2 if it runs for too long.
void RecordTo(const std::string& path);

std::string Format(const char* format, ...) __attribute__((format(printf, 1, 2)));

// ---- sockets ----------------------------------------------------------------------------------------------

// Owns a descriptor.
class Socket {
 public:
  Socket() = default;
  explicit Socket(int fd) : fd_(fd) {}
  ~Socket() { Close(); }
  Socket(Socket&& other) noexcept : fd_(other.Release()) {}
  Socket& operator=(Socket&& other) noexcept;
  Socket(const Socket&) = delete;
  Socket& operator=(const Socket&) = delete;

  int fd() const { return fd_; }
  bool valid() const { return fd_ >= 0; }
  int Release();
  void Close();
  // Ends the sending side.
  void ShutdownSend() const;
  // Closes with a reset.
  void Reset();

  // @return false if the peer has closed or reset, or after `timeout_ms`.
  bool Send(const std::string& bytes, double timeout_ms = 60000) const;
  // Appends what arrives to `to`. @return bytes read; 0 at the end, -1 on a reset, -2 after the timeout.
  long Receive(std::string* to, double timeout_ms, std::size_t max_bytes = 65536) const;
  // @return whether bytes, the end or a reset are waiting.
  bool Readable(double timeout_ms) const;

 private:
  int fd_ = -1;
};

struct Listener {
  Socket socket;
  int port = 0;
};
// Port 0: any free one.
Listener Listen(int port = 0, int backlog = 256);
Socket Connect(int port, double timeout_ms = 2000);
Socket Accept(const Listener& listener, double timeout_ms);
// @return a port that was free just now.
int FreePort();
std::string Address(int port);

// ---- HTTP -------------------------------------------------------------------------------------------------

struct Message {
  std::string first_line;
  std::map<std::string, std::string> fields;  // names in lower case
  std::string body;
  bool keep_alive() const;
  int status() const;          // of a response
  std::string target() const;  // of a request
  std::string Field(const std::string& name) const;
};

enum class ReadResult { kComplete, kEnd, kEndWithin, kReset, kTimeout, kMalformed };
const char* NameOf(ReadResult result);

// Reads messages from one connection.
class Reader {
 public:
  explicit Reader(const Socket& socket) : socket_(socket) {}
  // `deadline_ms` on NowMs's clock. kEnd: the connection ended before the first byte; kEndWithin: after it.
  ReadResult Read(Message* message, double deadline_ms);
  // Reads a head only, without the body.
  ReadResult ReadHead(Message* message, double deadline_ms);
  const std::string& buffered() const { return buffer_; }
  std::string* buffer() { return &buffer_; }

 private:
  ReadResult Fill(double deadline_ms, bool at_start);
  const Socket& socket_;
  std::string buffer_;
};

// A 200 answer with Content-Length.
std::string Ok(const std::string& body);
std::string ChunkOf(const std::string& bytes);

struct RequestSpec {
  std::string klass;
  std::string id;
  std::string body;
  int deadline_ms = 0;
  bool chunked = false;
  std::string more;  // further header lines, each with its end
};
// A request in the form of the protocol page: GET for call-lookup, POST for new-booking.
std::string RequestText(const RequestSpec& spec);

// @return a fresh id of 16 hexadecimal digits.
std::string FreshId();

// ---- discovery --------------------------------------------------------------------------------------------

struct Member {
  std::string id;
  int port = 0;
  std::string phase = "in_service";
  std::string zone = "hobart";
  std::string kind = "fast-single";
};
std::string MembersJson(int revision, bool complete, const std::vector<Member>& members);

// Lists, and watches of changes with an empty line every 2 s.
class Discovery {
 public:
  explicit Discovery(std::string name = "discovery");
  ~Discovery();
  int port() const { return listener_.port; }
  // Replaces the list and tells watchers the entries that changed.
  void Set(int revision, const std::vector<Member>& members);
  // Takes no new connections from now on.
  void StopAccepting();
  // Closes the open connections.
  void CloseConnections();
  // How many lists, watches or changes were written so far.
  int told() const { return told_; }

 private:
  void Run();
  void Serve(std::shared_ptr<Socket> socket);

  std::string name_;
  Listener listener_;
  std::mutex mutex_;
  int revision_ = 1;
  std::vector<Member> members_;
  std::map<int, std::vector<Member>> changes_;  // by revision
  std::atomic<bool> stop_{false}, accepting_{true};
  std::atomic<int> told_{0}, epoch_{0};
  std::vector<std::thread> threads_;
  std::thread thread_;
};

// ---- backends ---------------------------------------------------------------------------------------------

struct Run {
  double began = 0, at = 0;  // when the first and the last byte of the request had arrived
  std::string id, target, deadline;
  std::size_t body_bytes = 0;
};

// A backend. `answer` writes the answer to a request on its connection; it returns false to close.
class Backend {
 public:
  using Answer = std::function<bool(Backend& backend, const Socket& socket, Reader& reader, const Message&)>;
  Backend(std::string name, Answer answer);
  ~Backend();
  int port() const { return listener_.port; }
  const std::string& name() const { return name_; }
  std::vector<Run> runs();
  int connections() const { return connections_; }

 private:
  void Accepting();
  void Serve(std::shared_ptr<Socket> socket);

  std::string name_;
  Answer answer_;
  Listener listener_;
  std::mutex mutex_;
  std::vector<Run> runs_;
  std::atomic<int> connections_{0};
  std::atomic<bool> stop_{false};
  std::vector<std::thread> threads_;
  std::thread thread_;
};

// Passes connections on and delays every byte, in both directions, by a fixed time.
class DelayLine {
 public:
  DelayLine(int target_port, double one_way_ms);
  ~DelayLine();
  int port() const { return listener_.port; }

 private:
  void Accepting();
  void Pump(std::shared_ptr<Socket> from, std::shared_ptr<Socket> to);

  int target_port_;
  double one_way_ms_;
  Listener listener_;
  std::mutex mutex_;
  std::atomic<bool> stop_{false};
  std::vector<std::thread> threads_;
  std::thread thread_;
};

// ---- the proxy --------------------------------------------------------------------------------------------

struct ProxyOptions {
  std::string name = "n1";
  int listen = 0, discovery = 0, operator_port = 0;
  int memory_mb = 192, sockets = 1024;
  int known_revision = 1;
  std::vector<Member> known;
  std::string registry_mode = "ask";
};

// The text of the platform's configuration file.
std::string ConfigText(const ProxyOptions& options);

// A folder below the system's folder for temporary files, removed at the end.
class TemporaryFolder {
 public:
  TemporaryFolder();
  ~TemporaryFolder();
  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

void WriteFile(const std::string& path, const std::string& text);

// The program that `run` of the deploy file starts.
class ProxyProcess {
 public:
  // `env` is given beside the caller's environment. Standard error goes to the file `log`.
  ProxyProcess(const std::map<std::string, std::string>& env, const std::string& log);
  ~ProxyProcess();
  ProxyProcess(const ProxyProcess&) = delete;
  ProxyProcess& operator=(const ProxyProcess&) = delete;
  int pid() const { return pid_; }
  void Signal(int number) const;
  // @return whether the process has ended; reports how.
  bool Ended(std::string* how = nullptr);
  // VmRSS and VmHWM in kB; 0 if unknown.
  long ResidentKb() const;
  long PeakKb() const;

 private:
  int pid_ = -1;
  bool ended_ = false;
  std::string how_;
};

// The environment that the platform gives to a proxy.
std::map<std::string, std::string> PlatformEnvironment(const ProxyOptions& options,
                                                       const std::string& config_path,
                                                       const std::string& tmpdir);

// Calls the operators' address. @return the status; 0 if there was no answer within a second.
int OperatorCall(int port, const std::string& method, const std::string& target);
// Waits for `GET /ready` to answer 200 at the clients' address.
bool WaitReady(int port, double timeout_ms);

// One answer to one request on a new connection.
struct Outcome {
  ReadResult result = ReadResult::kTimeout;
  int status = 0;
  std::string body;
  double sent_at = 0, ended_at = 0;
};
Outcome Ask(int port, const RequestSpec& spec, double timeout_ms);

}  // namespace review

#endif  // COPPERPOINT_REVIEW_SUPPORT_2_STANDIN_H_
