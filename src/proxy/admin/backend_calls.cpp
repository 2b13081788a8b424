// SPDX-License-Identifier: Apache-2.0
#include "proxy/admin/backend_calls.h"

#include <string>
#include <variant>

#include "proxy/admin/admin_query.h"
#include "proxy/admin/result_response.h"

namespace copperpoint::proxy {
namespace {

namespace http = boost::beast::http;

constexpr std::string_view kBackendParameter = "member";

AdminResponse ResponseTo(QueryError error) {
  switch (error) {
    case QueryError::kMissing:
      return {http::status::bad_request, "member is missing"};
    case QueryError::kDuplicate:
      return {http::status::bad_request, "member is given more than once"};
    case QueryError::kMalformed:
      return {http::status::bad_request, "member is malformed"};
  }
  return {http::status::internal_server_error, "unknown error"};
}

}  // namespace

AdminResponse DisableBackend(std::string_view query, AdminHandler& handler) {
  const auto backend = QueryParameter(query, kBackendParameter);
  if (const auto* error = std::get_if<QueryError>(&backend)) return ResponseTo(*error);
  return ResponseTo(handler.Disable(std::get<std::string>(backend)), "disabled");
}

AdminResponse EnableBackend(std::string_view query, AdminHandler& handler) {
  const auto backend = QueryParameter(query, kBackendParameter);
  if (const auto* error = std::get_if<QueryError>(&backend)) return ResponseTo(*error);
  return ResponseTo(handler.Enable(std::get<std::string>(backend)), "enabled");
}

}  // namespace copperpoint::proxy
