// SPDX-License-Identifier: Apache-2.0
//
// Admin calls about this process: GET /ready, POST /drain and /undrain.
#ifndef COPPERPOINT_PROXY_ADMIN_LIFECYCLE_CALLS_H_
#define COPPERPOINT_PROXY_ADMIN_LIFECYCLE_CALLS_H_

#include "proxy/admin/admin_handler.h"
#include "proxy/admin/admin_response.h"

namespace copperpoint::proxy {

AdminResponse ReportReadiness(const AdminHandler& handler);
AdminResponse DrainProxy(AdminHandler& handler);
AdminResponse UndrainProxy(AdminHandler& handler);

}  // namespace copperpoint::proxy

#endif  // COPPERPOINT_PROXY_ADMIN_LIFECYCLE_CALLS_H_
