// SPDX-License-Identifier: Apache-2.0
//
// Stand-in backends and clients for the proxies of a rig. The backends count the executions of each request,
// and start cold and become overloaded like the simulator's. The clients send at a given rate, independently
// of earlier requests (open loop): each sending time follows from the intended one of the request before.
#ifndef COPPERPOINT_FAULT_TESTING_PROCESSES_SERVICE_H_
#define COPPERPOINT_FAULT_TESTING_PROCESSES_SERVICE_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "fault_testing/plan.h"
#include "fault_testing/processes/service_faults.h"
#include "simulation/core/random.h"
#include "simulation/world/backend.h"
#include "simulation/world/rule_checker.h"

namespace copperpoint::fault_testing {

using Tcp = boost::asio::ip::tcp;

// Each proxy reaches each backend at an address of its own, so that the rig knows the sender of a request and
// can cut the two off from each other. During a cut, connections are still established by the kernel, but
// nothing passes until the cut ends.
class StandInBackends {
 public:
  StandInBackends(boost::asio::io_context& io, const Plan& plan, std::uint64_t seed,
                  const boost::asio::ip::address& address, const ServiceFaults& service_faults,
                  simulation::RuleChecker& rules, std::function<simulation::Micros()> now);
  const std::vector<std::vector<Tcp::endpoint>>& addresses() const { return addresses_; }  // by proxy
  // `is_informed`: whether the proxy knows of the backend's current process; `on_overload`: called when a
  // cold backend has become overloaded, and must take it down.
  void SetCallbacks(std::function<bool(int proxy, int backend)> is_informed,
                    std::function<void(int backend)> on_overload);
  void Down(int backend);  // ends its process: connections are reset, new ones refused
  void Up(int backend);    // starts a new process, which is cold
  // Whether an attempt of this unsafe request is in flight or may have been executed.
  bool MayHaveRun(std::uint64_t request) const;
  std::uint64_t overloads() const { return overloads_; }
  std::uint64_t executions() const;            // of all backends
  std::vector<int> connected_proxies() const;  // number of proxies with a connection, by backend
  std::uint64_t executions(int backend) const {
    return backends_[static_cast<std::size_t>(backend)].executions;
  }

 private:
  class Connection;
  struct Backend {
    explicit Backend(const simulation::BackendType& type) : model(type, 0, 0, 1) {}
    simulation::Backend model;  // for cold starts only; the stand-in has its own queue
    int busy = 0;
    std::uint64_t executions = 0;
    std::vector<std::weak_ptr<Connection>> open;
    std::shared_ptr<std::vector<int>>
        connections;  // by proxy; shared, since a connection may outlive the owner
  };
  void Accept(int proxy, int backend);
  void RecordExecution(std::uint64_t request, bool unsafe, int backend);
  Tcp::acceptor& AcceptorOf(int proxy, int backend) {
    return *acceptors_[static_cast<std::size_t>(proxy) * backends_.size() +
                       static_cast<std::size_t>(backend)];
  }

  boost::asio::io_context& io_;
  const Service& service_;
  const ServiceFaults& service_faults_;
  simulation::Random random_;
  simulation::RuleChecker& rules_;
  std::function<simulation::Micros()> now_;
  std::function<bool(int, int)> is_informed_;
  std::function<void(int)> on_overload_;
  simulation::BackendType backend_type_;
  std::vector<Backend> backends_;
  std::vector<std::vector<Tcp::endpoint>> addresses_;
  std::vector<std::unique_ptr<Tcp::acceptor>> acceptors_;
  std::unordered_map<std::uint64_t, int> unsafe_executions_;  // by unsafe request
  std::unordered_map<std::uint64_t, int>
      unproven_;  // by unsafe request: attempts that may have been executed
  std::uint64_t overloads_ = 0;
};

class Clients {
 public:
  // The proxy process that a request is sent to.
  struct Target {
    Tcp::endpoint address;
    int member = 0;
    std::uint64_t incarnation = 0;
  };
  // Selects a proxy that is up; nothing if there is none.
  using SelectTarget = std::function<std::optional<Target>(simulation::Random&)>;
  // Whether that process has been running throughout and therefore had to respond.
  using OwesResponse = std::function<bool(const Target&)>;

  using MayHaveRun = std::function<bool(std::uint64_t request)>;

  Clients(boost::asio::io_context& io, const Service& service, std::uint64_t seed,
          simulation::RuleChecker& rules, SelectTarget select_target, OwesResponse owes_response,
          MayHaveRun may_have_run, std::function<simulation::Micros()> now);
  void Start(double count_from_s);
  void Stop();

  std::uint64_t requests() const { return requests_; }
  std::uint64_t served() const { return served_; }
  std::uint64_t rejected() const { return rejected_; }
  std::uint64_t total_requests() const { return total_requests_; }

 private:
  class Request;
  void ScheduleNext();

  boost::asio::io_context& io_;
  const Service& service_;
  simulation::Random random_;
  simulation::RuleChecker& rules_;
  SelectTarget select_target_;
  OwesResponse owes_response_;
  MayHaveRun may_have_run_;
  std::function<simulation::Micros()> now_;
  boost::asio::steady_timer timer_;
  std::chrono::steady_clock::time_point next_send_;
  simulation::Micros count_from_ = 0;
  bool stopped_ = false;
  std::uint64_t total_requests_ = 0, requests_ = 0, served_ = 0,
                rejected_ = 0;  // the last three: since `count_from_`
};

// The `settings` of a proxy's configuration that match these stand-ins.
nlohmann::json ProxySettings(const Plan& plan, int member);

}  // namespace copperpoint::fault_testing

#endif  // COPPERPOINT_FAULT_TESTING_PROCESSES_SERVICE_H_
