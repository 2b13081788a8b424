// SPDX-License-Identifier: Apache-2.0
#include "proxy/admin/admin_router.h"

#include <algorithm>
#include <array>
#include <string_view>

#include "proxy/admin/backend_calls.h"
#include "proxy/admin/fleet_calls.h"
#include "proxy/admin/lifecycle_calls.h"

namespace copperpoint::proxy {
namespace {

namespace http = boost::beast::http;

struct Route {
  std::string_view path;
  http::verb method;
  AdminResponse (*handle)(std::string_view query, AdminHandler& handler);
};

constexpr std::array<Route, 6> kRoutes{{
    {"/ready", http::verb::get,
     [](std::string_view, AdminHandler& handler) { return ReportReadiness(handler); }},
    {"/drain", http::verb::post, [](std::string_view, AdminHandler& handler) { return DrainProxy(handler); }},
    {"/undrain", http::verb::post,
     [](std::string_view, AdminHandler& handler) { return UndrainProxy(handler); }},
    {"/backends/disable", http::verb::post, DisableBackend},
    {"/backends/enable", http::verb::post, EnableBackend},
    {"/fleet", http::verb::get, [](std::string_view, AdminHandler& handler) { return ReportFleet(handler); }},
}};

}  // namespace

AdminResponse RouteAdminCall(const http::request_header<>& header, AdminHandler& handler) {
  const std::string_view target(header.target().data(), header.target().size());
  const std::size_t mark = target.find('?');
  const std::string_view path = target.substr(0, mark);
  const std::string_view query = mark == std::string_view::npos ? "" : target.substr(mark + 1);

  const auto* const route =
      std::find_if(kRoutes.begin(), kRoutes.end(), [path](const Route& r) { return r.path == path; });
  if (route == kRoutes.end()) return {http::status::not_found, "no such call"};
  if (header.method() != route->method)
    return {http::status::method_not_allowed, route->method == http::verb::get ? "use GET" : "use POST"};
  return route->handle(query, handler);
}

}  // namespace copperpoint::proxy
