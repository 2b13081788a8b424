// SPDX-License-Identifier: Apache-2.0
//
// Finds the handler of an admin call by path and method.
#ifndef COPPERPOINT_PROXY_ADMIN_ADMIN_ROUTER_H_
#define COPPERPOINT_PROXY_ADMIN_ADMIN_ROUTER_H_

#include <boost/beast/http/message.hpp>

#include "proxy/admin/admin_handler.h"
#include "proxy/admin/admin_response.h"

namespace copperpoint::proxy {

// Handles a call without a body. Responds 404 to an unknown path, 405 to a method that the path does not
// have. Calls with a body are fleet calls (fleet_calls.h).
AdminResponse RouteAdminCall(const boost::beast::http::request_header<>& header, AdminHandler& handler);

}  // namespace copperpoint::proxy

#endif  // COPPERPOINT_PROXY_ADMIN_ADMIN_ROUTER_H_
