// SPDX-License-Identifier: Apache-2.0
#include "proxy/upstream/outcome.h"

namespace copperpoint::proxy {

// 503 and 504 alone may come from anything on the way; only the backend's own word proves that it never ran.
AttemptOutcome ClassifyResponse(const HttpRequest&, const HttpResponse& response) {
  const unsigned status = response.result_int();
  if (status == 200) return AttemptOutcome::kSuccess;
  if ((status == 503 || status == 504) && response["Srv-Declined"] == "1")
    return AttemptOutcome::kBackendRejected;
  // What a backend says of the request is no failure of the backend's, and no other would say otherwise.
  if (status >= 400 && status < 500 && status != 408 && status != 429) return AttemptOutcome::kUnknown;
  return AttemptOutcome::kServerError;
}

}  // namespace copperpoint::proxy
