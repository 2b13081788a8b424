// SPDX-License-Identifier: Apache-2.0
//
// The operations of the proxy that the admin interface calls; it depends on no other part of the proxy.
#ifndef COPPERPOINT_PROXY_ADMIN_ADMIN_HANDLER_H_
#define COPPERPOINT_PROXY_ADMIN_ADMIN_HANDLER_H_

#include <optional>
#include <string>
#include <string_view>

namespace copperpoint::proxy {

// Carries out the calls of operators. No member function may throw or block.
class AdminHandler {
 public:
  enum class AdminResult {
    kDone,
    kUnknownBackend,  // no backend of this id is listed
    kNotStored,       // the change could not be stored, and was not made
    kStopping,        // the process is shutting down
  };

  virtual ~AdminHandler() = default;

  // ---- lifecycle ----
  virtual bool Ready() const = 0;
  virtual std::string StateName() const = 0;
  virtual AdminResult Drain() = 0;
  virtual AdminResult Undrain() = 0;

  // ---- backends, by discovery's id ----
  virtual AdminResult Disable(const std::string& backend) = 0;
  virtual AdminResult Enable(const std::string& backend) = 0;

  // ---- the fleet: the proxies that are members of one cluster with this one ----
  struct FleetCallRequest {
    enum class Method { kGet, kPost };
    Method method = Method::kGet;
    std::string target;  // path and query
    std::string body;
  };
  struct FleetCallResult {
    bool succeeded = true;
    std::string text;
  };
  // Returns the membership as JSON; nothing if this proxy is not a member of a fleet.
  virtual std::optional<std::string> FleetStatus() const { return std::nullopt; }
  // Returns whether a target belongs to the calls that FleetCall handles. Only those may have a body.
  virtual bool IsFleetCall(std::string_view /*target*/) const { return false; }
  // To be called only for targets of which IsFleetCall is true. Returns nothing if there is no such call.
  virtual std::optional<FleetCallResult> FleetCall(const FleetCallRequest& /*request*/) {
    return std::nullopt;
  }
};

}  // namespace copperpoint::proxy

#endif  // COPPERPOINT_PROXY_ADMIN_ADMIN_HANDLER_H_
