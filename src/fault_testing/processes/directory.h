// SPDX-License-Identifier: Apache-2.0
//
// The discovery state of the stand-in backends, and a stand-in discovery server for each proxy. Reports to
// the service rules which endpoint updates each proxy has received, and when. An address of a proxy can be
// replaced, as at a reload of its configuration.
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
#include "fault_testing/processes/service_faults.h"
#include "simulation/core/event_queue.h"
#include "simulation/world/rule_checker.h"

namespace copperpoint::fault_testing {

class Directory {
 public:
  using Tcp = boost::asio::ip::tcp;
  enum class Phase { kInService, kTerminating, kTerminated };

  // `addresses`: by proxy, the address at which it reaches each backend.
  Directory(boost::asio::io_context& io, const Plan& plan, const boost::asio::ip::address& address,
            std::vector<std::vector<Tcp::endpoint>> addresses, const ServiceFaults& service_faults,
            simulation::RuleChecker& rules, std::function<simulation::Micros()> now);
  ~Directory();

  // The address that the proxy's configuration names.
  Tcp::endpoint address(int proxy) const;
  // Opens another address for the proxy. The one before refuses connections, and closes its open ones after
  // kOldAddressGrace.
  void MoveProxy(int proxy);
  // The present state of all backends counts as delivered to the proxy.
  void OnUpdateDue(int proxy);
  // Changes the state of a backend. `started`: its process has just started and is cold.
  void SetState(int backend, Phase phase, bool started);
  // Whether the proxy has been informed of the backend's current process.
  bool KnowsCurrentProcess(int proxy, int backend) const;
  // A new process of a proxy has received no endpoints. One that resumes has not read the updates of its
  // pause: they count as delivered at the resumption.
  void OnProxyStarted(int proxy);
  void OnProxyResumed(int proxy);

 private:
  class Watch;
  friend class Watch;
  struct Entry {
    Phase phase = Phase::kInService;
    std::int64_t up_since_unix_ms = 0;  // 0: long ago
    std::uint64_t changed_in_revision = 1;
  };
  struct KnownBackend {  // what one proxy knows of one backend
    std::int64_t up_since_unix_ms = -1;
  };
  struct Listener {
    explicit Listener(boost::asio::io_context& io) : acceptor(io) {}
    Tcp::acceptor acceptor;
    std::vector<std::weak_ptr<Watch>> watches;
    std::vector<KnownBackend> known;
    std::uint64_t calls = 0;
  };

  void Listen(int proxy);
  void Accept(int proxy);
  // Counts a call of the proxy. Returns whether discovery rejects it.
  bool TakeRejection(int proxy);
  // The entries that changed after `revision`, as one JSON line; appends their indexes to `delivered`.
  std::string ChangesSince(int proxy, std::uint64_t revision, std::vector<int>* delivered) const;
  void OnDelivered(int proxy, const std::vector<int>& backends);
  Listener& At(int proxy) { return *listeners_[static_cast<std::size_t>(proxy)]; }

  boost::asio::io_context& io_;
  const Plan& plan_;
  const boost::asio::ip::address address_;
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
