// SPDX-License-Identifier: Apache-2.0
//
// The line to the keeper that began this process (src/supervisor), if one did.
#ifndef COPPERPOINT_PROXY_MEMBERSHIP_SUPERVISOR_LINK_H_
#define COPPERPOINT_PROXY_MEMBERSHIP_SUPERVISOR_LINK_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/local/stream_protocol.hpp>
#include <boost/asio/streambuf.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace copperpoint::proxy {

class SupervisorLink {
 public:
  // What the keeper knows of the processes before this one.
  struct Known {
    std::string version, failed_version, failure;
    std::uint64_t mark = 0;
    std::uint32_t ends = 0;  // of this version, by themselves
  };
  using Failed = std::function<void(const std::string& version, const std::string& why)>;

  // Null if no keeper began this process.
  static std::unique_ptr<SupervisorLink> FromEnvironment(boost::asio::io_context& io, Failed failed);

  const Known& known() const { return known_; }
  void Say(const std::string& line);

 private:
  SupervisorLink(boost::asio::io_context& io, int descriptor, Known known, Failed failed);
  void Read();

  boost::asio::local::stream_protocol::socket socket_;
  boost::asio::streambuf buffer_{4096};
  Known known_;
  Failed failed_;
};

}  // namespace copperpoint::proxy

#endif  // COPPERPOINT_PROXY_MEMBERSHIP_SUPERVISOR_LINK_H_
