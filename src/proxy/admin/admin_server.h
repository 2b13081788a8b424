// SPDX-License-Identifier: Apache-2.0
//
// The operator address: HTTP/1.1, one call per connection. It reads calls, asks OperatorCalls, and words the
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
class OperatorCalls {
 public:
  enum class Verdict { kDone, kUnknownBackend, kNotKept, kStopping };
  virtual ~OperatorCalls() = default;
  virtual bool Ready() const = 0;
  virtual std::string StateName() const = 0;
  virtual Verdict Disable(const std::string& backend) = 0;
  virtual Verdict Enable(const std::string& backend) = 0;
  virtual Verdict Drain() = 0;
  virtual Verdict Undrain() = 0;
  // Calls of the parts that proxies of a fleet share, which may have a body: whether a path is one of them,
  // and the call itself, for those alone. Nothing: there is no such call.
  virtual bool HasPart(std::string_view /*path*/) const { return false; }
  struct Said {
    bool done = true;
    std::string text;
  };
  virtual std::optional<Said> Part(const std::string& /*path*/, bool /*post*/, const std::string& /*body*/) {
    return std::nullopt;
  }
  virtual std::string Fleet() const { return ""; }  // as JSON; empty: this proxy talks to no other
};

class Operator {
 public:
  static constexpr std::size_t kMostConnections = 16;
  struct Limits {
    std::chrono::milliseconds call{6000};    // for a call to come whole
    std::chrono::milliseconds closed{1000};  // for the caller to close after its answer
  };

  // Listens at once; throws boost::system::system_error if it cannot.
  Operator(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& listen, OperatorCalls& calls,
           Limits limits);
  Operator(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& listen, OperatorCalls& calls)
      : Operator(io, listen, calls, Limits()) {}
  ~Operator();
  Operator(const Operator&) = delete;
  Operator& operator=(const Operator&) = delete;

  boost::asio::ip::tcp::endpoint address() const { return acceptor_.local_endpoint(); }
  std::size_t connections() const { return calls_open_.size(); }

 private:
  class Call;
  friend class Call;

  void Accept();
  void MakeRoom();
  void Remove(const Call* call);

  OperatorCalls& calls_;
  Limits limits_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer pause_;
  std::list<std::shared_ptr<Call>> calls_open_;  // the oldest first
};

}  // namespace copperpoint::proxy

#endif  // COPPERPOINT_PROXY_ADMIN_ADMIN_SERVER_H_
