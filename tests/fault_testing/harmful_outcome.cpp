// SPDX-License-Identifier: Apache-2.0
//
// Replaces src/proxy/upstream/outcome.cpp in a deliberately faulty program, which a rollout must stop: one
// request in four fails, whichever backend responded.
#include "proxy/discovery/endpoints.h"
#include "proxy/upstream/outcome.h"

namespace copperpoint::proxy {

AttemptOutcome ClassifyResponse(const HttpRequest& request, const HttpResponse& response) {
  const auto id = request["Req-Id"];
  if (StableHash({id.data(), id.size()}) % 4 == 0) return AttemptOutcome::kServerError;
  return response.result_int() == 200 ? AttemptOutcome::kSuccess : AttemptOutcome::kServerError;
}

}  // namespace copperpoint::proxy
