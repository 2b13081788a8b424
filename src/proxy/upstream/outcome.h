// SPDX-License-Identifier: Apache-2.0
//
// Classifies a backend's response as the outcome of its attempt.
#ifndef COPPERPOINT_PROXY_UPSTREAM_OUTCOME_H_
#define COPPERPOINT_PROXY_UPSTREAM_OUTCOME_H_

#include "copperpoint/balancer.h"
#include "proxy/http/messages.h"

namespace copperpoint::proxy {

// @return kSuccess for 200; kBackendRejected if the backend declares that the request never ran; kUnknown if
// the request itself is invalid, so that every backend would reject it; kServerError otherwise.
AttemptOutcome ClassifyResponse(const HttpRequest& request, const HttpResponse& response);

}  // namespace copperpoint::proxy

#endif  // COPPERPOINT_PROXY_UPSTREAM_OUTCOME_H_
