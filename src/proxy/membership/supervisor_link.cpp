// SPDX-License-Identifier: Apache-2.0
#include "proxy/membership/supervisor_link.h"

#include <fcntl.h>

#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <cstdlib>
#include <istream>
#include <utility>

#include "log/log.h"

namespace copperpoint::proxy {
namespace {

constexpr int kFirstInheritedDescriptor = 3;  // after the standard streams
constexpr int kProgressBase = 16;

std::string EnvironmentVariable(const char* name) {
  const char* value = std::getenv(name);
  return value ? value : "";
}

}  // namespace

std::unique_ptr<SupervisorLink> SupervisorLink::FromEnvironment(boost::asio::io_context& io,
                                                                OnVersionFailed on_version_failed) {
  const int descriptor = std::atoi(EnvironmentVariable("COPPERPOINT_KEEPER").c_str());
  if (descriptor < kFirstInheritedDescriptor || ::fcntl(descriptor, F_GETFD) < 0) return nullptr;
  History history;
  history.version = EnvironmentVariable("COPPERPOINT_VERSION");
  history.failed_version = EnvironmentVariable("COPPERPOINT_FAILED");
  history.failure = EnvironmentVariable("COPPERPOINT_FAILURE");
  history.progress = std::strtoull(EnvironmentVariable("COPPERPOINT_MARK").c_str(), nullptr, kProgressBase);
  history.unexpected_exits =
      static_cast<std::uint32_t>(std::atoi(EnvironmentVariable("COPPERPOINT_ENDS").c_str()));
  return std::unique_ptr<SupervisorLink>(
      new SupervisorLink(io, descriptor, std::move(history), std::move(on_version_failed)));
}

SupervisorLink::SupervisorLink(boost::asio::io_context& io, int descriptor, History history,
                               OnVersionFailed on_version_failed)
    : socket_(io, boost::asio::local::stream_protocol(), descriptor),
      history_(std::move(history)),
      on_version_failed_(std::move(on_version_failed)) {
  ReadLines();
}

void SupervisorLink::ReportServing() { SendLine("ready"); }

void SupervisorLink::ReportMembershipContact() { SendLine("heard"); }

void SupervisorLink::RequestVersion(const std::string& version) { SendLine("run " + version); }

void SupervisorLink::StoreProgress(std::uint64_t progress) { SendLine("mark " + log::Hex(progress)); }

// Does not block: a process sends a few short lines, which fit into the socket's buffer.
void SupervisorLink::SendLine(const std::string& line) {
  boost::system::error_code ignored;
  boost::asio::write(socket_, boost::asio::buffer(line + "\n"), ignored);
}

// Handles lines of the form "failed VERSION REASON"; other lines are skipped.
void SupervisorLink::ReadLines() {
  boost::asio::async_read_until(socket_, buffer_, '\n',
                                [this](const boost::system::error_code& failed, std::size_t) {
                                  if (failed) return;
                                  std::istream in(&buffer_);
                                  std::string event, version, reason;
                                  in >> event >> version;
                                  std::getline(in >> std::ws, reason);
                                  if (event == "failed") on_version_failed_(version, reason);
                                  ReadLines();
                                });
}

}  // namespace copperpoint::proxy
