// SPDX-License-Identifier: Apache-2.0
//
// Classifies a backend's response as the outcome of its attempt.
#ifndef COPPERPOINT_PROXY_UPSTREAM_OUTCOME_H_
#define COPPERPOINT_PROXY_UPSTREAM_OUTCOME_H_

#include "copperpoint/balancer.h"
#include "proxy/http/messages.h"

namespace copperpoint::proxy {

// kSuccess: 200. kBackendRejected: the backend declares that the request never ran. kUnknown: the request
// itself is rejected, and another backend would do the same. kServerError: anything else.
AttemptOutcome ClassifyResponse(const HttpRequest& request, const HttpResponse& response);

}  // namespace copperpoint::proxy

#endif  // COPPERPOINT_PROXY_UPSTREAM_OUTCOME_H_
