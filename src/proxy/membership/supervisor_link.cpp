// SPDX-License-Identifier: Apache-2.0
#include "proxy/membership/supervisor_link.h"

#include <fcntl.h>

#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <cstdlib>
#include <istream>
#include <utility>

namespace copperpoint::proxy {
namespace {

std::string Variable(const char* name) {
  const char* value = std::getenv(name);
  return value ? value : "";
}

}  // namespace

std::unique_ptr<SupervisorLink> SupervisorLink::FromEnvironment(boost::asio::io_context& io, Failed failed) {
  const std::string descriptor = Variable("COPPERPOINT_KEEPER");
  const int number = std::atoi(descriptor.c_str());
  if (number < 3 || ::fcntl(number, F_GETFD) < 0) return nullptr;
  Known known{Variable("COPPERPOINT_VERSION"), Variable("COPPERPOINT_FAILED"),
              Variable("COPPERPOINT_FAILURE"),
              std::strtoull(Variable("COPPERPOINT_MARK").c_str(), nullptr, 16),
              static_cast<std::uint32_t>(std::atoi(Variable("COPPERPOINT_ENDS").c_str()))};
  return std::unique_ptr<SupervisorLink>(new SupervisorLink(io, number, std::move(known), std::move(failed)));
}

SupervisorLink::SupervisorLink(boost::asio::io_context& io, int descriptor, Known known, Failed failed)
    : socket_(io, boost::asio::local::stream_protocol(), descriptor),
      known_(std::move(known)),
      failed_(std::move(failed)) {
  Read();
}

// A few short lines in the life of a process: the socket's buffer takes them.
void SupervisorLink::Say(const std::string& line) {
  boost::system::error_code ignored;
  boost::asio::write(socket_, boost::asio::buffer(line + "\n"), ignored);
}

void SupervisorLink::Read() {
  boost::asio::async_read_until(socket_, buffer_, '\n',
                                [this](const boost::system::error_code& failed, std::size_t) {
                                  if (failed) return;
                                  std::istream in(&buffer_);
                                  std::string what, version, why;
                                  in >> what >> version;
                                  std::getline(in >> std::ws, why);
                                  if (what == "failed") failed_(version, why);
                                  Read();
                                });
}

}  // namespace copperpoint::proxy
