// SPDX-License-Identifier: Apache-2.0
//
// Reads parameters from the query of an admin call.
#ifndef COPPERPOINT_PROXY_ADMIN_ADMIN_QUERY_H_
#define COPPERPOINT_PROXY_ADMIN_ADMIN_QUERY_H_

#include <string>
#include <string_view>
#include <variant>

namespace copperpoint::proxy {

enum class QueryError {
  kMissing,    // the parameter is absent or empty
  kDuplicate,  // it is given more than once
  kMalformed,  // a percent sign is not followed by two hexadecimal digits
};

// Returns the decoded value of the parameter `name`. `query` has no question mark at its start.
std::variant<std::string, QueryError> QueryParameter(std::string_view query, std::string_view name);

}  // namespace copperpoint::proxy

#endif  // COPPERPOINT_PROXY_ADMIN_ADMIN_QUERY_H_
