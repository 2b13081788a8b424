// SPDX-License-Identifier: Apache-2.0
//
// The operator address: HTTP/1.1, one call per connection. It reads calls, asks AdminHandler, and words the
// answers; it decides nothing and knows no other part of the proxy.
#ifndef COPPERPOINT_PROXY_ADMIN_ADMIN_SERVER_H_
#define COPPERPOINT_PROXY_ADMIN_ADMIN_SERVER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace copperpoint::proxy {

// What staff on call may ask of a proxy. None of the calls may throw or take long.
class AdminHandler {
 public:
  enum class AdminResult { kDone, kUnknownBackend, kNotStored, kStopping };
  virtual ~AdminHandler() = default;
  virtual bool Ready() const = 0;
  virtual std::string StateName() const = 0;
  virtual AdminResult Disable(const std::string& backend) = 0;
  virtual AdminResult Enable(const std::string& backend) = 0;
  virtual AdminResult Drain() = 0;
  virtual AdminResult Undrain() = 0;
  // Calls of the parts that proxies of a fleet share, which may have a body: whether a path is one of them,
  // and the call itself, for those alone. Nothing: there is no such call.
  virtual bool IsFleetCall(std::string_view /*path*/) const { return false; }
  struct FleetCallResult {
    bool succeeded = true;
    std::string text;
  };
  virtual std::optional<FleetCallResult> FleetCall(const std::string& /*path*/, bool /*post*/,
                                                   const std::string& /*body*/) {
    return std::nullopt;
  }
  virtual std::string FleetStatus() const { return ""; }  // as JSON; empty: this proxy talks to no other
};

class AdminServer {
 public:
  static constexpr std::size_t kMaxConnections = 16;
  struct Limits {
    std::chrono::milliseconds call{6000};    // for a call to come whole
    std::chrono::milliseconds closed{1000};  // for the caller to close after its answer
  };

  // Listens at once; throws boost::system::system_error if it cannot.
  AdminServer(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& listen, AdminHandler& calls,
              Limits limits);
  AdminServer(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& listen, AdminHandler& calls)
      : AdminServer(io, listen, calls, Limits()) {}
  ~AdminServer();
  AdminServer(const AdminServer&) = delete;
  AdminServer& operator=(const AdminServer&) = delete;

  boost::asio::ip::tcp::endpoint address() const { return acceptor_.local_endpoint(); }
  std::size_t connections() const { return calls_open_.size(); }

 private:
  class Call;
  friend class Call;

  void Accept();
  void MakeRoom();
  void Remove(const Call* call);

  AdminHandler& calls_;
  Limits limits_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer pause_;
  std::list<std::shared_ptr<Call>> calls_open_;  // the oldest first
};

}  // namespace copperpoint::proxy

#endif  // COPPERPOINT_PROXY_ADMIN_ADMIN_SERVER_H_
