// SPDX-License-Identifier: Apache-2.0
#include "proxy/upstream/outcome.h"

namespace copperpoint::proxy {
namespace {

namespace http = boost::beast::http;

// Compares numbers, because Beast has no name for every status that a backend may send.
bool Is(unsigned status, http::status named) { return status == static_cast<unsigned>(named); }

}  // namespace

AttemptOutcome ClassifyResponse(const HttpRequest& /*request*/, const HttpResponse& response) {
  const unsigned status = response.result_int();
  if (Is(status, http::status::ok)) return AttemptOutcome::kSuccess;
  // Any hop may send a 503 or 504: only the backend's Srv-Declined field proves that the request never ran.
  const bool is_unavailable =
      Is(status, http::status::service_unavailable) || Is(status, http::status::gateway_timeout);
  if (is_unavailable && response["Srv-Declined"] == "1") return AttemptOutcome::kBackendRejected;
  const bool is_client_error = http::to_status_class(status) == http::status_class::client_error;
  const bool concerns_backend =
      Is(status, http::status::request_timeout) || Is(status, http::status::too_many_requests);
  if (is_client_error && !concerns_backend) return AttemptOutcome::kUnknown;
  return AttemptOutcome::kServerError;
}

}  // namespace copperpoint::proxy
