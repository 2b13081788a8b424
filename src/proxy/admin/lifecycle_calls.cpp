// SPDX-License-Identifier: Apache-2.0
#include "proxy/admin/lifecycle_calls.h"

#include "proxy/admin/result_response.h"

namespace copperpoint::proxy {

namespace http = boost::beast::http;

AdminResponse ReportReadiness(const AdminHandler& handler) {
  return {handler.Ready() ? http::status::ok : http::status::service_unavailable, handler.StateName()};
}

AdminResponse DrainProxy(AdminHandler& handler) { return ResponseTo(handler.Drain(), "draining"); }

AdminResponse UndrainProxy(AdminHandler& handler) { return ResponseTo(handler.Undrain(), "serving again"); }

}  // namespace copperpoint::proxy
