// SPDX-License-Identifier: Apache-2.0
//
// What discovery knows of the stand-in backends, and a stand-in discovery for each proxy that tells it so.
// What a proxy has been told, and when, goes to the rules of the rules of service.
#ifndef COPPERPOINT_FAULT_TESTING_PROCESSES_DIRECTORY_H_
#define COPPERPOINT_FAULT_TESTING_PROCESSES_DIRECTORY_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "fault_testing/plan.h"
#include "fault_testing/processes/troubles.h"
#include "simulation/core/event_queue.h"
#include "simulation/world/rule_checker.h"

namespace copperpoint::fault_testing {

class Directory {
 public:
  using Tcp = boost::asio::ip::tcp;
  enum class Phase { kInService, kTerminating, kTerminated };

  // `addresses`: of each backend, as each proxy reaches it.
  Directory(boost::asio::io_context& io, const Plan& plan, const boost::asio::ip::address& address,
            std::vector<std::vector<Tcp::endpoint>> addresses, const ServiceFaults& service_faults,
            simulation::RuleChecker& rules, std::function<simulation::Micros()> now);
  ~Directory();

  Tcp::endpoint address(int proxy) const;
  // `started`: its process is a new one, cold from now on.
  void SetState(int backend, Phase phase, bool started);
  // Whether that proxy was told of the backend's present process.
  bool KnowsCurrentProcess(int proxy, int backend) const;
  // A new process of a proxy knows nothing; one that stood still has read nothing.
  void OnProxyStarted(int proxy);
  void OnProxyResumed(int proxy);

 private:
  class Watch;
  friend class Watch;
  struct Entry {
    Phase phase = Phase::kInService;
    std::int64_t up_since_unix_ms = 0;      // 0: long ago
    std::uint64_t changed_in_revision = 1;  // the revision
  };
  struct KnownBackend {  // by one proxy of one backend
    std::int64_t up_since_unix_ms = -1;
  };
  struct Listener {
    explicit Listener(boost::asio::io_context& io) : acceptor(io) {}
    Tcp::acceptor acceptor;
    std::vector<std::weak_ptr<Watch>> watches;
    std::vector<KnownBackend> known;
  };

  void Accept(int proxy);
  // The entries that changed after a revision, as a line; `told` gets their numbers.
  std::string ChangesSince(int proxy, std::uint64_t revision, std::vector<int>* delivered) const;
  void OnDelivered(int proxy, const std::vector<int>& backends);
  Listener& At(int proxy) { return *listeners_[static_cast<std::size_t>(proxy)]; }

  boost::asio::io_context& io_;
  const Plan& plan_;
  const std::vector<std::vector<Tcp::endpoint>> addresses_;
  const ServiceFaults& service_faults_;
  simulation::RuleChecker& rules_;
  std::function<simulation::Micros()> now_;
  std::vector<Entry> entries_;
  std::uint64_t revision_ = 1;
  std::vector<std::unique_ptr<Listener>> listeners_;
};

}  // namespace copperpoint::fault_testing

#endif  // COPPERPOINT_FAULT_TESTING_PROCESSES_DIRECTORY_H_
