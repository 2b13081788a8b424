// SPDX-License-Identifier: Apache-2.0
//
// Admin calls about the fleet: GET /fleet, and the calls of rollouts, which may have a body.
#ifndef COPPERPOINT_PROXY_ADMIN_FLEET_CALLS_H_
#define COPPERPOINT_PROXY_ADMIN_FLEET_CALLS_H_

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include "proxy/admin/admin_handler.h"
#include "proxy/admin/admin_response.h"

namespace copperpoint::proxy {

AdminResponse ReportFleet(const AdminHandler& handler);
// The target of `request` must be one of which `handler.IsFleetCall` is true.
AdminResponse HandleFleetCall(const boost::beast::http::request<boost::beast::http::string_body>& request,
                              AdminHandler& handler);

}  // namespace copperpoint::proxy

#endif  // COPPERPOINT_PROXY_ADMIN_FLEET_CALLS_H_
