// SPDX-License-Identifier: Apache-2.0
//
// The implementation of play.h: a run with real processes. Split by concern into play.cpp (the run),
// members.cpp (the processes), faults.cpp (fault injection), operator_call.cpp (an operator's calls) and
// view_query.cpp (queries of members and commands).
#ifndef COPPERPOINT_FAULT_TESTING_PROCESSES_FLEET_H_
#define COPPERPOINT_FAULT_TESTING_PROCESSES_FLEET_H_

#include <fmt/format.h>
#include <signal.h>
#include <stdlib.h>
#include <sys/stat.h>
#include <unistd.h>

#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <filesystem>
#include <fstream>
#include <list>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <stdexcept>
#include <utility>

#include "config/read.h"
#include "fault_testing/conditions.h"
#include "fault_testing/links.h"
#include "fault_testing/processes/child.h"
#include "fault_testing/processes/control.h"
#include "fault_testing/processes/directory.h"
#include "fault_testing/processes/play.h"
#include "fault_testing/processes/relay.h"
#include "fault_testing/processes/service.h"
#include "fault_testing/processes/service_faults.h"
#include "fault_testing/run_evaluator.h"
#include "membership/options.h"
#include "peers/transport.h"

namespace copperpoint::fault_testing {

namespace asio = boost::asio;

// The drain grace period given to RuleChecker. Includes time for data that is still in the sockets.
constexpr double kDrainGraceMs = 550;
constexpr std::chrono::milliseconds kQueryTimeout{400};  // for the response of one proxy
// If a timer of the rig is later than this, the run is void.
constexpr std::chrono::milliseconds kMaxLateness{300};

inline std::string FormatEndpoint(const Tcp::endpoint& e) {
  return peers::FormatAddress({e.address(), e.port()});
}

// A temporary folder that is deleted with the run.
class RunFolder {
 public:
  RunFolder() {
    std::string pattern = (std::filesystem::temp_directory_path() / "copperpoint-rig-XXXXXX").string();
    if (!::mkdtemp(pattern.data())) throw std::runtime_error("cannot create the temporary folder " + pattern);
    path = pattern;
  }
  ~RunFolder() {
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
        service_faults_(plan, options.seed),
        evaluator_(plan, options.seed,
                   static_cast<double>(membership::Options().contact_timeout.count()) / 1e6),
        rules_(kDrainGraceMs),
        poll_timer_(io_),
        signals_(io_, SIGINT, SIGTERM),
        members_(static_cast<std::size_t>(plan.members)) {}

  ProcessOutcome Play();

 private:
  using Error = boost::system::error_code;
  using Clock = std::chrono::steady_clock;
  using Udp = asio::ip::udp;
  struct Member {
    std::unique_ptr<Child> child;
    std::uint64_t incarnation = 0;
    bool up = false, paused = false;
    // `exit_expected`: the rig has ended this process. `killed`: it did so with SIGKILL.
    bool exit_expected = false, killed = false;
    bool runs_other_program = false;  // ProcessOptions::other_program
    Clock::time_point last_ready{};   // when it last became ready, paused or resumed
    // `other_operator_address`: during a version switch, the admin address of the process not polled.
    Tcp::endpoint listen_address, operator_address, other_operator_address;
    std::string version = "v1";  // the serving version, as its supervisor reports it
    std::set<std::string> versions_run;
    int proxy_pid = 0;  // of the proxy process under a supervisor
    Udp::endpoint bind_address, advertised_address;
    std::string view;  // its response in the current poll; empty: none
    std::size_t living_members = 0;
    double bytes_out = 0, bytes_in = 0, polled_at_s = 0;  // bytes in total with headers, at `polled_at_s`
    double rejected = 0, rejected_before = 0;             // datagrams, by this process and earlier ones
    // The totals at the first poll from `measure_from_s_` on. Negative time: no such poll yet.
    double bytes_out_before = 0, bytes_in_before = 0, before_at_s = -1;
    std::ofstream log;
  };
  class ViewQuery;
  friend class ViewQuery;
  class OperatorCall;
  friend class OperatorCall;

  Member& At(int member) { return members_[static_cast<std::size_t>(member)]; }
  double Now() const { return std::chrono::duration<double>(Clock::now() - started_at_).count(); }
  asio::ip::address Address(int net, int member) const {
    return asio::ip::make_address(
        fmt::format("127.{}.{}.{}", address_block_, net + member / 200, 1 + member % 200));
  }
  void Prepare();
  void WriteConfiguration(int member);  // what $ROUTER_CONFIG names
  void WriteConfigFiles(int member);
  void WriteSupervisorConfig(int member);
  void CallOperator(int member, const std::string& target, const std::string& body);
  void Start(int member);
  void End(int member, bool graceful);
  void SetPaused(int member, bool paused);
  void Reload(int member);
  void Replace(int member, bool other);
  void StartAfterExit(int member);
  void OnLogLine(int member, const std::string& line);
  void OnExit(int member, std::uint64_t incarnation, int status);
  void Schedule(double at_s, std::function<void()> what);
  void ScheduleFault(const Fault& fault);
  void TriggerFaults(std::string_view event, std::string_view member = {});
  // For faults that do not affect a process but links between members or the service.
  void StartSharedFault(const Fault& fault);
  void EndSharedFault(const Fault& fault);
  void SetBackend(int backend, Directory::Phase phase, bool up);
  void JumpClock(int member, double seconds);
  void ReportStatus();
  std::string RunCommand(const std::string& what, const std::string& who);
  void PollViews();
  void OnViewsPolled();

  const Plan& plan_;
  const ProcessOptions& options_;
  asio::io_context io_;
  RunFolder folder_;
  simulation::Random random_;
  Links links_;
  Conditions conditions_;
  ServiceFaults service_faults_;
  RunEvaluator evaluator_;
  simulation::RuleChecker rules_;
  asio::steady_timer poll_timer_;
  asio::signal_set signals_;
  std::vector<Member> members_;
  std::vector<std::unique_ptr<asio::steady_timer>> timers_;
  std::unique_ptr<Relay> relay_;
  std::unique_ptr<StandInBackends> backends_;
  std::unique_ptr<Directory> directory_;
  std::unique_ptr<Clients> clients_;
  std::unique_ptr<Control> control_;
  std::list<Fault> commanded_faults_;  // active ones, started by a command
  std::list<Fault> triggered_faults_;  // whose conditions have occurred
  std::list<std::pair<Fault, std::vector<int>>> delayed_starts_;
  std::set<int> down_backends_;
  std::vector<std::uint64_t> executions_before_;  // traffic_share: at the start of its time, by backend
  std::vector<std::uint64_t> executions_;
  std::size_t views_ = 0;
  std::uint64_t ejections_ = 0;
  FleetStatus last_totals_;  // totals at the last status report
  Clock::time_point started_at_{};
  int address_block_ = 0, pending_queries_ = 0;
  std::uint64_t polls_ = 0;
  bool has_ended_ = false, interrupted_ = false;
  double measure_from_s_ = 0;
  Clock::duration max_lateness_{};
};

}  // namespace copperpoint::fault_testing

#endif  // COPPERPOINT_FAULT_TESTING_PROCESSES_FLEET_H_
