// SPDX-License-Identifier: Apache-2.0
//
// Admin calls about one backend: POST /backends/disable and /backends/enable.
#ifndef COPPERPOINT_PROXY_ADMIN_BACKEND_CALLS_H_
#define COPPERPOINT_PROXY_ADMIN_BACKEND_CALLS_H_

#include <string_view>

#include "proxy/admin/admin_handler.h"
#include "proxy/admin/admin_response.h"

namespace copperpoint::proxy {

// `query` names the backend: "member=ID".
AdminResponse DisableBackend(std::string_view query, AdminHandler& handler);
AdminResponse EnableBackend(std::string_view query, AdminHandler& handler);

}  // namespace copperpoint::proxy

#endif  // COPPERPOINT_PROXY_ADMIN_BACKEND_CALLS_H_
