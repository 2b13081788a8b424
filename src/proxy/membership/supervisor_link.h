// SPDX-License-Identifier: Apache-2.0
//
// The connection to the supervisor (src/supervisor), if one started this process: lines of text over an
// inherited socket. No other file of the proxy knows their format.
#ifndef COPPERPOINT_PROXY_MEMBERSHIP_SUPERVISOR_LINK_H_
#define COPPERPOINT_PROXY_MEMBERSHIP_SUPERVISOR_LINK_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/local/stream_protocol.hpp>
#include <boost/asio/streambuf.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace copperpoint::proxy {

class SupervisorLink {
 public:
  // What the supervisor has recorded of the processes before this one.
  struct History {
    std::string version;                 // the version that this process runs, as the supervisor names it
    std::string failed_version;          // the version that was rolled back last; empty: none
    std::string failure;                 // why it was rolled back
    std::uint64_t progress = 0;          // as last stored by StoreProgress; 0: none
    std::uint32_t unexpected_exits = 0;  // of processes of this version
  };
  // Called when the supervisor has rolled a version back.
  using OnVersionFailed = std::function<void(const std::string& version, const std::string& reason)>;

  // Returns null if no supervisor started this process.
  static std::unique_ptr<SupervisorLink> FromEnvironment(boost::asio::io_context& io,
                                                         OnVersionFailed on_version_failed);

  const History& history() const { return history_; }

  void ReportServing();                             // this process serves clients
  void ReportMembershipContact();                   // this process is in contact with other members
  void RequestVersion(const std::string& version);  // the version is to run in place of this process
  void StoreProgress(std::uint64_t progress);       // for later processes of this proxy

 private:
  SupervisorLink(boost::asio::io_context& io, int descriptor, History history,
                 OnVersionFailed on_version_failed);
  void SendLine(const std::string& line);
  void ReadLines();

  static constexpr std::size_t kMaxLineBytes = 4096;

  boost::asio::local::stream_protocol::socket socket_;
  boost::asio::streambuf buffer_{kMaxLineBytes};
  const History history_;
  OnVersionFailed on_version_failed_;
};

}  // namespace copperpoint::proxy

#endif  // COPPERPOINT_PROXY_MEMBERSHIP_SUPERVISOR_LINK_H_
