// SPDX-License-Identifier: Apache-2.0
//
// What the proxies of a rig serve, as stand-ins: a discovery, backends that count each execution by request,
// and clients that ask at a given rate, whatever becomes of earlier requests, and time from the intended
// sending.
#ifndef COPPERPOINT_RIG_PROCESSES_SERVICE_H_
#define COPPERPOINT_RIG_PROCESSES_SERVICE_H_

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

#include "lab/core/random.h"
#include "lab/world/observer.h"
#include "rig/plan.h"
#include "rig/processes/troubles.h"

namespace copperpoint::rig {

using Tcp = boost::asio::ip::tcp;

// Each proxy reaches each backend at an address of its own, so that the rig knows who asks, and can cut them
// off from each other. Through a cut connections still come up (that is the kernel's doing), and then nothing
// passes until it is over.
class StandInBackends {
 public:
  StandInBackends(boost::asio::io_context& io, const Plan& plan, std::uint64_t seed,
                  const boost::asio::ip::address& address, const Troubles& troubles, lab::Observer& observer,
                  std::function<lab::Micros()> now);
  const std::vector<Tcp::endpoint>& addresses(int proxy) const {
    return addresses_[static_cast<std::size_t>(proxy)];
  }
  std::uint64_t executions() const;  // at all backends
  std::vector<int> holders() const;  // by backend: proxies with a connection to it
  std::uint64_t executions(int backend) const { return backends_[static_cast<std::size_t>(backend)].runs; }

 private:
  class Connection;
  struct Backend {
    int busy = 0;
    std::uint64_t runs = 0;
    std::shared_ptr<std::vector<int>> connections;  // by proxy; they may end after the owner
  };
  void Accept(int proxy, int backend, Tcp::acceptor& acceptor);
  void Ran(const std::string& id, bool unsafe, int backend);

  boost::asio::io_context& io_;
  const Service& service_;
  const Troubles& troubles_;
  lab::Random random_;
  lab::Observer& observer_;
  std::function<lab::Micros()> now_;
  std::vector<Backend> backends_;
  std::vector<std::vector<Tcp::endpoint>> addresses_;
  std::vector<std::unique_ptr<Tcp::acceptor>> acceptors_;
  std::unordered_map<std::string, int> runs_;
};

// One proxy's.
class StandInDiscovery {
 public:
  StandInDiscovery(boost::asio::io_context& io, const boost::asio::ip::address& address,
                   const nlohmann::json& list, std::function<bool()> cut);
  Tcp::endpoint address() const { return acceptor_.local_endpoint(); }

 private:
  class Watch;
  void Accept();

  boost::asio::io_context& io_;
  Tcp::acceptor acceptor_;
  std::string line_;
  std::function<bool()> cut_;
};

class Clients {
 public:
  // Where a request goes: the proxy's address and a number of its process, or nothing where none is up; and
  // whether that process has stood all the while and so owed an answer.
  struct Target {
    Tcp::endpoint address;
    int member = 0;
    std::uint64_t life = 0;
  };
  using Choose = std::function<std::optional<Target>(lab::Random&)>;
  using Owed = std::function<bool(const Target&)>;

  Clients(boost::asio::io_context& io, const Service& service, std::uint64_t seed, lab::Observer& observer,
          Choose choose, Owed owed, std::function<lab::Micros()> now);
  void Start(double count_from_s);
  void Stop();

  std::uint64_t asked() const { return asked_; }
  std::uint64_t served() const { return served_; }
  std::uint64_t refused() const { return refused_; }
  std::uint64_t all() const { return all_; }

 private:
  class Request;
  void Next();

  boost::asio::io_context& io_;
  const Service& service_;
  lab::Random random_;
  lab::Observer& observer_;
  Choose choose_;
  Owed owed_;
  std::function<lab::Micros()> now_;
  boost::asio::steady_timer timer_;
  std::chrono::steady_clock::time_point due_;
  lab::Micros count_from_ = 0;
  bool stopped_ = false;
  std::uint64_t all_ = 0, asked_ = 0, served_ = 0, refused_ = 0;  // the latter three from `count_from_` on
};

// The `settings` of a proxy's configuration that fit these stand-ins.
nlohmann::json SettingsOf(const Plan& plan, int member);

}  // namespace copperpoint::rig

#endif  // COPPERPOINT_RIG_PROCESSES_SERVICE_H_
