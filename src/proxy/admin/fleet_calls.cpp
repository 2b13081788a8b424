// SPDX-License-Identifier: Apache-2.0
#include "proxy/admin/fleet_calls.h"

#include <string>

namespace copperpoint::proxy {

namespace http = boost::beast::http;

AdminResponse ReportFleet(const AdminHandler& handler) {
  const auto status = handler.FleetStatus();
  if (!status) return {http::status::not_found, "this proxy is in no fleet"};
  return {http::status::ok, *status};
}

AdminResponse HandleFleetCall(const http::request<http::string_body>& request, AdminHandler& handler) {
  AdminHandler::FleetCallRequest call;
  switch (request.method()) {
    case http::verb::get:
      call.method = AdminHandler::FleetCallRequest::Method::kGet;
      break;
    case http::verb::post:
      call.method = AdminHandler::FleetCallRequest::Method::kPost;
      break;
    default:
      return {http::status::method_not_allowed, "use GET or POST"};
  }
  call.target = std::string(request.target());
  call.body = request.body();
  const auto result = handler.FleetCall(call);
  if (!result) return {http::status::not_found, "no such call"};
  return {result->succeeded ? http::status::ok : http::status::conflict, result->text};
}

}  // namespace copperpoint::proxy
