// SPDX-License-Identifier: Apache-2.0
#include "rig/processes/play.h"

#include <fmt/format.h>
#include <signal.h>
#include <stdlib.h>
#include <sys/stat.h>
#include <unistd.h>

#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <filesystem>
#include <fstream>
#include <list>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <stdexcept>
#include <utility>

#include "config/read.h"
#include "peers/transport.h"
#include "rig/conditions.h"
#include "rig/judge.h"
#include "rig/links.h"
#include "rig/processes/child.h"
#include "rig/processes/control.h"
#include "rig/processes/directory.h"
#include "rig/processes/relay.h"
#include "rig/processes/service.h"
#include "rig/processes/troubles.h"
#include "view/options.h"

namespace copperpoint::rig {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using Error = boost::system::error_code;
using Clock = std::chrono::steady_clock;
using Udp = asio::ip::udp;

constexpr double kHeaders = 28;                        // bytes of IP and UDP around a datagram
constexpr std::chrono::milliseconds kLook{100};        // between looks at all views
constexpr std::chrono::milliseconds kLookAtEnd{20};    // whether a process has ended
constexpr std::chrono::milliseconds kLookAnswer{400};  // for one proxy's answer
constexpr double kFallenS = 1;                         // until a backend that fell over is back
constexpr double kDrainGraceMs = 550;                  // the rule's, and what sockets take
constexpr std::chrono::milliseconds kMostLate{300};    // of the rig's own timers
constexpr std::chrono::milliseconds kFrontNotices{
    100};  // until no client is sent to a process that has ended

std::string TextOf(const Tcp::endpoint& e) { return peers::TextOf({e.address(), e.port()}); }

// A folder that goes with the run.
class Folder {
 public:
  Folder() {
    std::string pattern = (std::filesystem::temp_directory_path() / "copperpoint-rig-XXXXXX").string();
    if (!::mkdtemp(pattern.data())) throw std::runtime_error("no folder for the rig");
    path = pattern;
  }
  ~Folder() {
    std::error_code ignored;
    std::filesystem::remove_all(path, ignored);
  }
  std::string path;
};

class ProcessFleet {
 public:
  ProcessFleet(const Plan& plan, const ProcessOptions& options)
      : plan_(plan),
        options_(options),
        random_(options.seed, "processes"),
        links_(plan, options.seed),
        conditions_(plan),
        troubles_(plan, options.seed),
        judge_(plan, options.seed, static_cast<double>(view::Options().silence.count()) / 1e6),
        observer_(kDrainGraceMs),
        look_(io_),
        signals_(io_, SIGINT, SIGTERM),
        members_(static_cast<std::size_t>(plan.members)) {}

  ProcessOutcome Play();

 private:
  struct Member {
    std::unique_ptr<Child> child;
    std::uint64_t life = 0;
    bool up = false, stopped = false;
    bool ending = false, killed = false;  // the rig has ended this process
    bool other = false;                   // it runs the other program
    Clock::time_point ready{};            // when it said so last, or was continued
    Tcp::endpoint listen, op, op_other;   // two processes of a member may serve side by side
    std::string version = "v1";           // that serves, by its keeper
    std::set<std::string> ever;
    int serve_pid = 0;  // under a keeper
    Udp::endpoint inside, outside;
    std::string view;  // its answer in the present look
    std::size_t living = 0;
    double out = 0, in = 0, asked_at = 0;    // bytes so far, with headers, and when it said so
    double refused = 0, refused_before = 0;  // datagrams, of this life and of those before
    double out_before = 0, in_before = 0, before_at = -1;
    std::ofstream log;
  };
  class Look;
  friend class Look;

  Member& At(int member) { return members_[static_cast<std::size_t>(member)]; }
  double Now() const { return std::chrono::duration<double>(Clock::now() - began_).count(); }
  asio::ip::address Address(int net, int member) const {
    return asio::ip::make_address(fmt::format("127.{}.{}.{}", block_, net + member / 200, 1 + member % 200));
  }
  void Prepare();
  void WriteFiles(int member);
  void WriteKeeper(int member);
  void CallOperator(int member, const std::string& target, const std::string& body);
  void Start(int member);
  void End(int member, bool with_a_word);
  void Stop(int member, bool stop);
  void Replace(int member, bool other);
  void StartOnceOver(int member);
  void OnLine(int member, const std::string& line);
  void OnEnd(int member, std::uint64_t life, int status);
  void Schedule(double at_s, std::function<void()> what);
  void ScheduleFault(const Fault& fault);
  void Meet(std::string_view event, std::string_view member = {});
  // Of those that befall no process: on links between members, or on the service.
  void BeginBetween(const Fault& fault);
  void EndBetween(const Fault& fault);
  void SetBackend(int backend, Directory::Phase phase, bool up);
  void Jump(int member, double seconds);
  void Watch();
  std::string Carry(const std::string& what, const std::string& who);
  void LookAtAll();
  void OnLooked();

  const Plan& plan_;
  const ProcessOptions& options_;
  asio::io_context io_;
  Folder folder_;
  lab::Random random_;
  Links links_;
  Conditions conditions_;
  Troubles troubles_;
  Judge judge_;
  lab::Observer observer_;
  asio::steady_timer look_;
  asio::signal_set signals_;
  std::vector<Member> members_;
  std::vector<std::unique_ptr<asio::steady_timer>> timers_;
  std::unique_ptr<Relay> relay_;
  std::unique_ptr<StandInBackends> backends_;
  std::unique_ptr<Directory> directory_;
  std::unique_ptr<Clients> clients_;
  std::unique_ptr<Control> control_;
  std::list<Fault> commanded_;  // that are in force
  std::list<Fault> begun_;      // that waited for something
  std::list<std::pair<Fault, std::vector<int>>> slow_starts_;
  std::set<int> down_;                      // backends
  std::vector<std::uint64_t> runs_before_;  // traffic_share: from when it counts on
  std::vector<std::uint64_t> runs_;
  std::size_t views_ = 0;
  std::uint64_t ejections_ = 0;
  Live before_;  // sums up to the last second
  Clock::time_point began_{};
  int block_ = 0, looking_ = 0;
  std::uint64_t looks_ = 0;
  bool over_ = false, interrupted_ = false;
  double rest_from_ = 0;
  Clock::duration latest_{};
};

// Asks one proxy for its view.
class ProcessFleet::Look : public std::enable_shared_from_this<Look> {
 public:
  Look(ProcessFleet& owner, int member) : owner_(owner), member_(member), stream_(owner.io_) {}
  void Start() {
    stream_.expires_after(kLookAnswer);
    stream_.async_connect(owner_.At(member_).op, [self = shared_from_this()](const Error& failed) {
      if (failed) {
        if (self->owner_.plan_.keep) {
          Member& of = self->owner_.At(self->member_);
          std::swap(of.op, of.op_other);
        }
        return self->Over();
      }
      self->request_ = {http::verb::get, "/fleet", 11};
      self->request_.set(http::field::host, "rig");
      http::async_write(self->stream_, self->request_, [self](const Error& broken, std::size_t) {
        if (broken) return self->Over();
        http::async_read(self->stream_, self->buffer_, self->response_,
                         [self](const Error& error, std::size_t) {
                           if (!error) self->Take();
                           self->Over();
                         });
      });
    });
  }

 private:
  void Take() {
    const auto json = nlohmann::json::parse(response_.body(), nullptr, /*allow_exceptions=*/false);
    Member& of = owner_.At(member_);
    // Of two processes, the one that takes part.
    if (owner_.plan_.keep && (!json.is_object() || !json.value("speaks", false)))
      std::swap(of.op, of.op_other);
    if (!json.is_object()) return;
    of.view = json.value("view", "");
    of.living = 0;
    const auto& counters = json["counters"];
    of.out = counters.value("sent_bytes", 0.0) + kHeaders * counters.value("sent", 0.0);
    of.in = counters.value("received_bytes", 0.0) + kHeaders * counters.value("received", 0.0);
    of.asked_at = owner_.Now();
    of.refused = 0;
    for (const auto& [name, value] : counters.items())
      if (name.starts_with("refused_")) of.refused += value.get<double>();
    if (of.before_at < 0 && of.asked_at >= owner_.rest_from_) {
      of.out_before = of.out;
      of.in_before = of.in;
      of.before_at = of.asked_at;
    }
    for (const auto& member : json["members"]) {
      const std::string status = member.value("status", "");
      of.living += status == "alive" || status == "suspect";
    }
  }
  void Over() {
    if (--owner_.looking_ == 0) owner_.OnLooked();
  }

  ProcessFleet& owner_;
  const int member_;
  beast::tcp_stream stream_;
  beast::flat_buffer buffer_;
  http::request<http::empty_body> request_;
  http::response<http::string_body> response_;
};

void ProcessFleet::Prepare() {
  block_ = 16 + ::getpid() % 200;
  std::vector<Udp::endpoint> inside, outside;
  const auto free_port = [&](const asio::ip::address& address) {
    return Tcp::acceptor(io_, {address, 0}).local_endpoint().port();
  };
  for (int i = 0; i < plan_.members; ++i) {
    Member& member = At(i);
    const auto address = Address(0, i), door = Address(50, i);
    member.listen = {address, free_port(address)};
    member.op = {address, free_port(address)};
    member.op_other = {address, free_port(address)};
    member.inside = {address, free_port(address)};
    member.outside = {door, free_port(door)};
    inside.push_back(member.inside);
    outside.push_back(member.outside);
  }
  if (options_.sharing)
    relay_ = std::make_unique<Relay>(io_, links_, inside, outside, [this] { return Now(); });
  const auto now = [this] { return lab::FromMs(Now() * 1000); };
  backends_ = std::make_unique<StandInBackends>(io_, plan_, options_.seed, Address(100, 0), troubles_,
                                                observer_, now);
  directory_ = std::make_unique<Directory>(io_, plan_, Address(101, 0), backends_->addresses(), troubles_,
                                           observer_, now);
  backends_->Watch([this](int proxy, int backend) { return directory_->ToldOfStart(proxy, backend); },
                   [this](int backend) {
                     SetBackend(backend, Directory::Phase::kTerminated, /*up=*/false);
                     Schedule(Now() + kFallenS, [this, backend] {
                       SetBackend(backend, Directory::Phase::kInService, /*up=*/true);
                     });
                   });
  const auto choose = [this](lab::Random& random) -> std::optional<Clients::Target> {
    std::vector<int> up;
    for (int i = 0; i < plan_.members; ++i)
      if (At(i).up) up.push_back(i);
    if (up.empty()) return std::nullopt;
    const int member = up[random.Below(up.size())];
    return Clients::Target{At(member).listen, member, At(member).life};
  };
  const auto owed = [this](const Clients::Target& target) {
    const Member& member = At(target.member);
    return !member.killed && !member.stopped && member.life == target.life &&
           Clock::now() - member.ready > 3 * kMostLate;
  };
  clients_ = std::make_unique<Clients>(
      io_, plan_.service, options_.seed, observer_, choose, owed,
      [this](std::uint64_t id) { return backends_->MayHaveRun(id); }, now);
  std::ofstream(folder_.path + "/key") << "a key that only this rig has\n";
  ::chmod((folder_.path + "/key").c_str(), 0600);
  for (int i = 0; i < plan_.members; ++i) {
    WriteFiles(i);
    if (plan_.keep) WriteKeeper(i);
  }
}

void ProcessFleet::WriteFiles(int number) {
  const Member& member = At(number);
  const std::string base = folder_.path + "/" + MemberName(number);
  std::filesystem::create_directory(base);
  std::ofstream(base + "/clock") << std::string(sizeof(std::int64_t), '\0');
  const nlohmann::json config{
      {"name", MemberName(number)},
      {"listen", TextOf(member.listen)},
      {"operator", TextOf(member.op)},
      {"discovery", TextOf(directory_->address(number))},
      {"seed", fmt::format("{:x}", options_.seed * 1000 + static_cast<std::uint64_t>(number))},
      {"limits", {{"cores", 1.0}, {"memory_mb", 192}, {"sockets", 1024}}},
      {"settings", SettingsOf(plan_, number)}};
  std::ofstream(base + "/config.json") << config.dump();
  std::string seeds;
  for (int i = 0; i < std::min(plan_.seeds, plan_.members); ++i)
    seeds += fmt::format("{}\"{}\"", i ? ", " : "", peers::TextOf(At(i).outside));
  std::ofstream file(base + "/operator.toml");
  file << "[log]\nformat = \"json\"\nlines_per_s = 1000000\n";
  if (options_.sharing)
    file << fmt::format(
        "[fleet]\ncluster = \"rig\"\nlisten = \"{}\"\nadvertise = \"{}\"\nseeds = [{}]\nkey_file = "
        "\"{}/key\"\n",
        peers::TextOf(member.inside), peers::TextOf(member.outside), seeds, folder_.path);
}

void ProcessFleet::WriteKeeper(int number) {
  const Member& member = At(number);
  const std::string base = folder_.path + "/" + MemberName(number);
  std::ofstream file(base + "/keep.toml");
  file << fmt::format(
      "first = \"v1\"\noperators = [\"{}\", \"{}\"]\nready_ms = 6000\nheard_ms = 6000\njson_log = true\n",
      TextOf(member.op_other), TextOf(member.op));
  for (const char* version : {"v1", "v2"}) {
    const bool other = version == std::string("v2");
    const std::string settings =
        other && !options_.other_settings.empty() ? base + "/other.toml" : base + "/operator.toml";
    if (other && !options_.other_settings.empty())
      std::ofstream(settings) << std::ifstream(base + "/operator.toml").rdbuf()
                              << std::ifstream(options_.other_settings).rdbuf();
    file << fmt::format("[[version]]\nname = \"{}\"\nprogram = \"{}\"\nsettings = \"{}\"\n", version,
                        other && !options_.other.empty() ? options_.other : options_.program, settings);
  }
}

// What an operator calls at a member: the process that takes part answers.
void ProcessFleet::CallOperator(int number, const std::string& target, const std::string& body) {
  struct Call {
    explicit Call(asio::io_context& io) : stream(io) {}
    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    http::request<http::string_body> request;
    http::response<http::string_body> response;
  };
  const auto call = std::make_shared<Call>(io_);
  call->request = {http::verb::post, target, 11, body};
  call->request.set(http::field::host, "rig");
  call->request.prepare_payload();
  call->stream.expires_after(kLookAnswer);
  const auto over = [this, number, target, call](const Error& failed) {
    if (failed || call->response.result() != http::status::ok)
      judge_.Broke(fmt::format("POST {} at {}: {} {}", target, MemberName(number), failed.message(),
                               call->response.body()));
  };
  call->stream.async_connect(At(number).op, [call, over](const Error& failed) {
    if (failed) return over(failed);
    http::async_write(call->stream, call->request, [call, over](const Error& broken, std::size_t) {
      if (broken) return over(broken);
      http::async_read(call->stream, call->buffer, call->response,
                       [over](const Error& error, std::size_t) { over(error); });
    });
  });
}

void ProcessFleet::Start(int number) {
  Member& member = At(number);
  if (over_ || (member.child && member.child->running())) return;
  const std::string base = folder_.path + "/" + MemberName(number);
  // Nothing of an earlier life is left to it.
  std::filesystem::remove_all(base + "/tmp");
  std::filesystem::create_directory(base + "/tmp");
  if (!options_.logs.empty() && !member.log.is_open()) {
    std::filesystem::create_directories(options_.logs);
    member.log.open(options_.logs + "/" + MemberName(number) + ".log");
  }
  const std::uint64_t life = ++member.life;
  member.refused_before += std::exchange(member.refused, 0);
  member.stopped = member.ending = member.killed = false;
  judge_.Started(Now(), number);
  directory_->Started(number);
  member.child = std::make_unique<Child>(
      io_, member.other && !plan_.keep && !options_.other.empty() ? options_.other : options_.program,
      plan_.keep ? std::vector<std::string>{"keep", base + "/keep.toml"}
                 : std::vector<std::string>{"serve", "--config", base + "/operator.toml"},
      std::map<std::string, std::string>{{"ROUTER_CONFIG", base + "/config.json"},
                                         {"TMPDIR", base + "/tmp"},
                                         {"COPPERPOINT_CLOCK", base + "/clock"}},
      [this, number](const std::string& line) { OnLine(number, line); },
      [this, number, life](int status) { OnEnd(number, life, status); });
  for (const auto& [fault, whom] : slow_starts_) {
    if (std::find(whom.begin(), whom.end(), number) == whom.end()) continue;
    Stop(number, true);
    Schedule(Now() + fault.amount, [this, number, life] {
      if (At(number).life == life) Stop(number, false);
    });
  }
}

void ProcessFleet::Jump(int number, double seconds) {
  std::fstream clock(folder_.path + "/" + MemberName(number) + "/clock",
                     std::ios::in | std::ios::out | std::ios::binary);
  std::int64_t ahead_us = 0;
  clock.read(reinterpret_cast<char*>(&ahead_us), sizeof ahead_us);
  ahead_us += static_cast<std::int64_t>(seconds * 1e6);
  clock.seekp(0);
  clock.write(reinterpret_cast<const char*>(&ahead_us), sizeof ahead_us);
}

void ProcessFleet::SetBackend(int backend, Directory::Phase phase, bool up) {
  const bool was = !down_.contains(backend);
  if (was && !up) backends_->Down(backend);
  if (!was && up) backends_->Up(backend);
  if (up) down_.erase(backend);
  if (!up) down_.insert(backend);
  directory_->Set(backend, phase, /*started=*/!was && up);
}

void ProcessFleet::BeginBetween(const Fault& fault) {
  if (fault.OnLinks()) return links_.Begin(fault);
  if (fault.kind != FaultKind::kDrain && fault.kind != FaultKind::kRestart) return troubles_.Begin(fault);
  const bool drain = fault.kind == FaultKind::kDrain;
  for (const int backend : ChosenBackends(plan_, fault.who, options_.seed))
    SetBackend(backend, drain ? Directory::Phase::kTerminating : Directory::Phase::kTerminated, drain);
}

void ProcessFleet::EndBetween(const Fault& fault) {
  if (fault.OnLinks()) return links_.End(fault);
  if (fault.kind != FaultKind::kDrain && fault.kind != FaultKind::kRestart) return troubles_.End(fault);
  for (const int backend : ChosenBackends(plan_, fault.who, options_.seed))
    SetBackend(backend, Directory::Phase::kInService, /*up=*/true);
}

void ProcessFleet::Meet(std::string_view event, std::string_view member) {
  for (const std::size_t index : conditions_.Met(event, member)) {
    Fault& fault = begun_.emplace_back(plan_.faults[index]);
    fault.at_s += Now();
    judge_.Begun(fault.at_s, fault);
    ScheduleFault(fault);
  }
}

void ProcessFleet::OnLine(int number, const std::string& line) {
  Member& member = At(number);
  if (member.log.is_open()) member.log << line << '\n';
  const auto json = nlohmann::json::parse(line, nullptr, /*allow_exceptions=*/false);
  if (!json.is_object()) return;
  const std::string event = json.value("event", "");
  if (event == "decision") ejections_ += json.value("text", "").find(" ejected: ") != std::string::npos;
  if (event == "keep_serves") member.version = json.value("version", "");
  if (event == "keep_began") {
    member.serve_pid = static_cast<int>(json.value("pid", 0.0));
    member.ever.insert(json.value("version", ""));
  }
  if (event == "state_changed" && json.value("to", "") == "ready") {
    member.up = true;
    member.ready = Clock::now();
  } else if (event == "fleet_dead") {
    const std::string subject = json.value("member", "");
    for (int i = 0; i < plan_.members; ++i)
      if (MemberName(i) == subject) judge_.SaidDead(Now(), number, i);
  }
  Meet(event, json.value("member", ""));
}

void ProcessFleet::OnEnd(int number, std::uint64_t life, int status) {
  Member& member = At(number);
  if (member.life != life || over_) return;
  if (!member.ending || (!member.killed && status != 0))
    judge_.Broke(fmt::format("{} ended by itself at {:.2f} s, status {}", MemberName(number), Now(), status));
  member.up = false;
}

void ProcessFleet::End(int number, bool with_a_word) {
  Member& member = At(number);
  if (!member.child || !member.child->running()) return;
  judge_.Ended(Now(), number, with_a_word);
  member.ending = true;
  member.killed = !with_a_word;
  member.child->Signal(with_a_word ? SIGTERM : SIGKILL);
  if (member.stopped) member.child->Signal(SIGCONT);
  // Clients go on to come until the front has noticed.
  const std::uint64_t life = member.life;
  Schedule(Now() + std::chrono::duration<double>(kFrontNotices).count(), [this, number, life] {
    if (At(number).life == life) At(number).up = false;
  });
}

void ProcessFleet::Stop(int number, bool stop) {
  Member& member = At(number);
  if (!member.child || !member.child->running() || member.stopped == stop) return;
  if (plan_.keep && member.serve_pid > 0) {
    ::kill(member.serve_pid, stop ? SIGSTOP : SIGCONT);
  } else {
    member.child->Signal(stop ? SIGSTOP : SIGCONT);
  }
  member.stopped = stop;
  member.ready = Clock::now();
  stop ? judge_.Stopped(Now(), number) : judge_.Continued(Now(), number);
  if (!stop) directory_->Continued(number);
}

void ProcessFleet::Replace(int number, bool other) {
  At(number).other = other;
  if (!At(number).child) return;  // it begins so
  End(number, /*with_a_word=*/true);
  StartOnceOver(number);
}

void ProcessFleet::StartOnceOver(int number) {
  if (!At(number).child->running()) return Start(number);
  Schedule(Now() + std::chrono::duration<double>(kLookAtEnd).count(),
           [this, number] { StartOnceOver(number); });
}

void ProcessFleet::Schedule(double at_s, std::function<void()> what) {
  const auto due = began_ + std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(at_s));
  timers_.push_back(std::make_unique<asio::steady_timer>(io_, due));
  timers_.back()->async_wait([this, due, what = std::move(what)](const Error& cancelled) {
    if (cancelled || over_) return;
    latest_ = std::max(latest_, Clock::now() - due);
    what();
  });
}

void ProcessFleet::ScheduleFault(const Fault& fault) {
  const double until = fault.for_s > 0 ? fault.at_s + fault.for_s : plan_.length_s;
  if (fault.OnLinks() || fault.OnService()) {
    Schedule(fault.at_s, [&] { BeginBetween(fault); });
    if (fault.for_s > 0) Schedule(until, [&] { EndBetween(fault); });
    return;
  }
  const std::vector<int> members = Chosen(plan_, fault.who, options_.seed);
  if (fault.kind == FaultKind::kSlowStart) {
    Schedule(fault.at_s, [this, &fault, members] { slow_starts_.emplace_back(fault, members); });
    if (fault.for_s > 0)
      Schedule(until, [this, &fault] {
        slow_starts_.remove_if([&](const auto& one) { return one.first.at_s == fault.at_s; });
      });
    return;
  }
  for (const int member : members) {
    switch (fault.kind) {
      case FaultKind::kChange:
        if (member != members.front()) break;
        Schedule(fault.at_s, [this, member, &fault] {
          CallOperator(member, "/rollout/start", config::Contents(plan_.folder + "/" + fault.file));
        });
        break;
      case FaultKind::kAbort:
        if (member == members.front())
          Schedule(fault.at_s, [this, member] { CallOperator(member, "/rollout/abort", ""); });
        break;
      case FaultKind::kJump:
        Schedule(fault.at_s, [this, member, &fault] { Jump(member, fault.amount); });
        break;
      case FaultKind::kKill:
      case FaultKind::kLeave:
        Schedule(fault.at_s, [this, member, &fault] { End(member, fault.kind == FaultKind::kLeave); });
        if (fault.for_s > 0) Schedule(until, [this, member] { Start(member); });
        break;
      case FaultKind::kReplace:
        if (fault.at_s <= 0) {
          At(member).other = true;
        } else {
          Schedule(fault.at_s, [this, member] { Replace(member, true); });
        }
        if (fault.for_s > 0) Schedule(until, [this, member] { Replace(member, false); });
        break;
      case FaultKind::kStart:
        Schedule(fault.at_s, [this, member] { Start(member); });
        break;
      case FaultKind::kStop:
        Schedule(fault.at_s, [this, member] { Stop(member, true); });
        if (fault.for_s > 0) Schedule(until, [this, member] { Stop(member, false); });
        break;
      default:  // starve
        for (const auto& [from, to] : StopsOf(plan_, fault, random_)) {
          Schedule(from, [this, member] { Stop(member, true); });
          Schedule(to, [this, member] { Stop(member, false); });
        }
    }
  }
}

void ProcessFleet::Watch() {
  Live live;
  live.at_s = Now();
  live.control = TextOf(control_->address());
  for (int i = 0; i < plan_.members; ++i) {
    const Member& member = At(i);
    live.members.push_back({MemberName(i), TextOf(member.listen), TextOf(member.op),
                            member.child && member.child->running() ? member.child->pid() : 0,
                            member.up && !member.stopped, member.living});
  }
  live.views = views_;
  Live sums;
  sums.asked = clients_->asked();
  sums.served = clients_->served();
  sums.refused = clients_->refused();
  sums.ejections = ejections_;
  for (int b = 0; b < plan_.service.backends; ++b) sums.runs.push_back(backends_->executions(b));
  before_.runs.resize(sums.runs.size());
  live.asked = sums.asked - before_.asked;
  live.served = sums.served - before_.served;
  live.refused = sums.refused - before_.refused;
  live.ejections = sums.ejections - before_.ejections;
  for (std::size_t b = 0; b < sums.runs.size(); ++b) live.runs.push_back(sums.runs[b] - before_.runs[b]);
  before_ = std::move(sums);
  options_.watch(live);
  Schedule(live.at_s + 1, [this] { Watch(); });
}

std::string ProcessFleet::Carry(const std::string& what, const std::string& who) {
  static const std::map<std::string, std::pair<FaultKind, bool>> kCommands{
      {"cut", {FaultKind::kCut, true}},       {"heal", {FaultKind::kCut, false}},
      {"freeze", {FaultKind::kFreeze, true}}, {"thaw", {FaultKind::kFreeze, false}},
      {"fail", {FaultKind::kFail, true}},     {"mend", {FaultKind::kFail, false}}};
  if (what == "kill" || what == "start" || what == "stop" || what == "go") {
    for (const int member : Chosen(plan_, {who}, options_.seed)) {
      if (what == "kill") End(member, /*with_a_word=*/false);
      if (what == "start") Start(member);
      if (what == "stop" || what == "go") Stop(member, what == "stop");
    }
    return what + " " + who;
  }
  const auto command = kCommands.find(what);
  if (command == kCommands.end()) throw std::invalid_argument("no command '" + what + "'");
  const auto& [kind, begins] = command->second;
  Fault fault;
  fault.kind = kind;
  fault.who = {who};
  // Faults on links are known by their address.
  const auto same = [&](const Fault& f) { return f.kind == kind && f.who == fault.who; };
  const auto found = std::find_if(commanded_.begin(), commanded_.end(), same);
  if (begins == (found != commanded_.end())) return who + " is so already";
  if (begins) {
    fault.OnService() ? ChosenBackends(plan_, {who}, 1) : Chosen(plan_, {who}, 1);  // throws if it is none
    const Fault& kept = commanded_.emplace_back(fault);
    BeginBetween(kept);
  } else {
    EndBetween(*found);
    commanded_.erase(found);
  }
  return what + " " + who;
}

void ProcessFleet::LookAtAll() {
  look_.expires_after(kLook);
  look_.async_wait([this](const Error& cancelled) {
    if (cancelled || over_) return;
    ++looks_;
    for (int i = 0; i < plan_.members; ++i) {
      At(i).view.clear();
      if (At(i).up) ++looking_;
    }
    if (looking_ == 0) return LookAtAll();
    for (int i = 0; i < plan_.members; ++i)
      if (At(i).up) std::make_shared<Look>(*this, i)->Start();
  });
}

void ProcessFleet::OnLooked() {
  if (over_) return;
  std::size_t up = 0;
  const Member* first = nullptr;
  bool agreed = true;
  std::set<std::string> views;
  for (const Member& member : members_) {
    if (!member.up) continue;
    views.insert(member.view);
    ++up;
    if (!first) first = &member;
    agreed &= !member.view.empty() && member.view == first->view;
  }
  views_ = views.size();
  const bool one = agreed && first && first->living == up;
  judge_.Agreed(Now(), one);
  if (one && up == members_.size()) Meet("settled");
  LookAtAll();
}

ProcessOutcome ProcessFleet::Play() {
  Prepare();
  began_ = Clock::now();
  signals_.async_wait([this](const Error& cancelled, int) {
    if (cancelled) return;
    interrupted_ = true;
    io_.stop();
  });
  std::vector<bool> late(members_.size());
  for (const Fault& fault : plan_.faults) {
    if (fault.kind == FaultKind::kStart)
      for (const int member : Chosen(plan_, fault.who, options_.seed))
        late[static_cast<std::size_t>(member)] = true;
    if (fault.when.empty()) ScheduleFault(fault);
  }
  for (int i = 0; i < plan_.members; ++i)
    if (!late[static_cast<std::size_t>(i)])
      Schedule(random_.Between(0, plan_.start_spread_s), [this, i] { Start(i); });
  double count_from = plan_.start_spread_s + 1;
  rest_from_ = LastFaultOver(plan_);
  for (const Property& property : plan_.properties)
    if (property.after_s >= 0) {
      if (property.kind == PropertyKind::kServedAtLeast) count_from = property.after_s;
      if (property.kind == PropertyKind::kBytesAtMost) rest_from_ = property.after_s;
    }
  const auto runs = [this] {
    std::vector<std::uint64_t> all;
    for (int b = 0; b < plan_.service.backends; ++b) all.push_back(backends_->executions(b));
    return all;
  };
  runs_before_.resize(static_cast<std::size_t>(plan_.service.backends));
  for (const Property& property : plan_.properties) {
    if (property.kind != PropertyKind::kTrafficShare) continue;
    if (property.after_s >= 0) Schedule(property.after_s, [this, runs] { runs_before_ = runs(); });
    if (property.until_s >= 0) Schedule(property.until_s, [this, runs] { runs_ = runs(); });
  }
  Schedule(plan_.start_spread_s + 0.5, [this, count_from] { clients_->Start(count_from); });
  if (options_.sharing) LookAtAll();
  if (options_.watch) {
    control_ = std::make_unique<Control>(
        io_, Address(102, 0),
        [this](const std::string& what, const std::string& who) { return Carry(what, who); });
    Schedule(count_from, [this] { Watch(); });
  }
  Schedule(plan_.length_s, [this] {
    over_ = true;
    io_.stop();
  });
  io_.run();
  over_ = true;
  const double end = Now();
  clients_->Stop();
  judge_.Holders(backends_->holders());
  if (runs_.empty()) runs_ = runs();
  for (std::size_t b = 0; b < runs_.size(); ++b) runs_[b] -= runs_before_[b];
  judge_.Runs(runs_);
  std::vector<std::string> versions;
  std::vector<std::set<std::string>> ever;
  for (const Member& member : members_) {
    versions.push_back(member.up ? member.version : "");
    ever.push_back(member.ever);
  }
  judge_.Versions(versions, ever);
  for (const std::string& when : conditions_.unmet()) judge_.Unmet(when);
  for (Member& member : members_) member.child.reset();
  for (const Member& member : members_) {
    judge_.Refusals(static_cast<std::uint64_t>(member.refused + member.refused_before));
    const double span = member.asked_at - member.before_at;
    if (member.up && member.before_at >= 0 && span > 0)
      judge_.Bytes((member.out - member.out_before) / span, (member.in - member.in_before) / span);
  }
  judge_.Served(clients_->served(), clients_->asked());
  for (const lab::Broken& broken : observer_.broken())
    judge_.Broke(fmt::format("rule {} at {:.2f} s, request {:x}, {}: {}", static_cast<int>(broken.rule),
                             static_cast<double>(broken.at) / 1e6, broken.request,
                             MemberName(static_cast<int>(broken.proxy)), broken.what));
  Judge::Verdict verdict = judge_.Close(end, /*with_service=*/true);
  ProcessOutcome result;
  result.outcome = {verdict.holds, std::move(verdict.json), std::move(verdict.story)};
  result.is_void = latest_ > kMostLate;
  result.interrupted = interrupted_;
  auto& json = result.outcome.json;
  json["seed"] = options_.seed;
  json["members"] = plan_.members;
  json["requests"] = clients_->all();
  json["executions"] = backends_->executions();
  json["falls"] = backends_->falls();
  json["spread"] = judge_.Spread();
  json["looks"] = looks_;
  json["rig_late_ms"] = std::chrono::duration<double, std::milli>(latest_).count();
  if (relay_) {
    json["datagrams_passed"] = relay_->passed();
    json["datagrams_dropped"] = relay_->dropped();
  }
  return result;
}

}  // namespace

ProcessOutcome PlayProcesses(const Plan& plan, const ProcessOptions& options) {
  return ProcessFleet(plan, options).Play();
}

}  // namespace copperpoint::rig
