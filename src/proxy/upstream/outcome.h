// SPDX-License-Identifier: Apache-2.0
//
// What a backend's whole answer says of its attempt.
#ifndef COPPERPOINT_PROXY_UPSTREAM_OUTCOME_H_
#define COPPERPOINT_PROXY_UPSTREAM_OUTCOME_H_

#include "copperpoint/balancer.h"
#include "proxy/http/framing.h"

namespace copperpoint::proxy {

AttemptOutcome ClassifyResponse(const HttpRequest& request, const HttpResponse& response);

}  // namespace copperpoint::proxy

#endif  // COPPERPOINT_PROXY_UPSTREAM_OUTCOME_H_
