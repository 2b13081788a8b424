// SPDX-License-Identifier: Apache-2.0
//
// An HTTP server that accepts commands for a running rig as POST /WHAT/WHO and passes them to a handler.
#ifndef COPPERPOINT_FAULT_TESTING_PROCESSES_CONTROL_H_
#define COPPERPOINT_FAULT_TESTING_PROCESSES_CONTROL_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <string>

namespace copperpoint::fault_testing {

class Control {
 public:
  // Executes a command and returns a description of it; throws std::invalid_argument if it is invalid.
  using CommandHandler = std::function<std::string(const std::string& what, const std::string& who)>;

  Control(boost::asio::io_context& io, const boost::asio::ip::address& address, CommandHandler handler);
  boost::asio::ip::tcp::endpoint address() const { return acceptor_.local_endpoint(); }

 private:
  class Session;
  void Accept();

  boost::asio::io_context& io_;
  boost::asio::ip::tcp::acceptor acceptor_;
  CommandHandler handler_;
};

}  // namespace copperpoint::fault_testing

#endif  // COPPERPOINT_FAULT_TESTING_PROCESSES_CONTROL_H_
