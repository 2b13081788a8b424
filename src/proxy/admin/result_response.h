// SPDX-License-Identifier: Apache-2.0
//
// Maps the result of a call that changes the proxy's state to the response.
#ifndef COPPERPOINT_PROXY_ADMIN_RESULT_RESPONSE_H_
#define COPPERPOINT_PROXY_ADMIN_RESULT_RESPONSE_H_

#include <string>

#include "proxy/admin/admin_handler.h"
#include "proxy/admin/admin_response.h"

namespace copperpoint::proxy {

// `done` is the text for AdminResult::kDone.
AdminResponse ResponseTo(AdminHandler::AdminResult result, const std::string& done);

}  // namespace copperpoint::proxy

#endif  // COPPERPOINT_PROXY_ADMIN_RESULT_RESPONSE_H_
