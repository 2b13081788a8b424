// SPDX-License-Identifier: Apache-2.0
//
// In place of src/proxy/upstream/outcome.cpp in the program that is worse, for rolling changes to stop: one
// request in four fails, whichever backend has answered it.
#include "proxy/discovery/endpoints.h"
#include "proxy/upstream/outcome.h"

namespace copperpoint::proxy {

AttemptOutcome ClassifyResponse(const HttpRequest& request, const HttpResponse& response) {
  const auto id = request["Req-Id"];
  if (StableHash({id.data(), id.size()}) % 4 == 0) return AttemptOutcome::kServerError;
  return response.result_int() == 200 ? AttemptOutcome::kSuccess : AttemptOutcome::kServerError;
}

}  // namespace copperpoint::proxy
