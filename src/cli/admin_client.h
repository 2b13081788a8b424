// SPDX-License-Identifier: Apache-2.0
//
// HTTP calls to a proxy's admin interface.
#ifndef COPPERPOINT_CLI_ADMIN_CLIENT_H_
#define COPPERPOINT_CLI_ADMIN_CLIENT_H_

#include <nlohmann/json.hpp>
#include <string>

namespace copperpoint::cli {

enum class AdminMethod { kGet, kPost };

// Calls the admin interface at `address` and waits for at most two seconds.
// @param address  ADDRESS:PORT of the proxy's admin interface
// @param target   path of the call, as "/fleet"
// @return the body of the response, which has status 200
// Throws std::invalid_argument if `address` is not ADDRESS:PORT, and std::runtime_error, one line with the
// address, if there is no response or one of another status.
std::string CallAdmin(const std::string& address, const std::string& target,
                      AdminMethod method = AdminMethod::kGet, const std::string& body = "");

// Returns the JSON that a GET of `target` responds with. Throws as CallAdmin, and std::runtime_error if it is
// not JSON.
nlohmann::ordered_json GetAdminJson(const std::string& address, const std::string& target);

}  // namespace copperpoint::cli

#endif  // COPPERPOINT_CLI_ADMIN_CLIENT_H_
