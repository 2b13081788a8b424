// SPDX-License-Identifier: Apache-2.0
//
// The response to a call that changes something, by its result.
#ifndef COPPERPOINT_PROXY_ADMIN_RESULT_RESPONSE_H_
#define COPPERPOINT_PROXY_ADMIN_RESULT_RESPONSE_H_

#include <string>

#include "proxy/admin/admin_handler.h"
#include "proxy/admin/admin_response.h"

namespace copperpoint::proxy {

// `done`: the text for AdminResult::kDone.
AdminResponse ResponseTo(AdminHandler::AdminResult result, const std::string& done);

}  // namespace copperpoint::proxy

#endif  // COPPERPOINT_PROXY_ADMIN_RESULT_RESPONSE_H_
