// SPDX-License-Identifier: Apache-2.0
//
// A client's request with its header fields parsed and validated.
#ifndef COPPERPOINT_PROXY_HTTP_CLIENT_REQUEST_H_
#define COPPERPOINT_PROXY_HTTP_CLIENT_REQUEST_H_

#include <cstdint>
#include <memory>
#include <optional>

#include "proxy/clock.h"
#include "proxy/config/config.h"
#include "proxy/http/body_stream.h"
#include "proxy/http/messages.h"

namespace copperpoint::proxy {

struct ClientRequest {
  HttpRequest message;                      // as it is forwarded; `body_stream` may yield more of its body
  std::shared_ptr<BodySource> body_stream;  // null if the body is complete
  Steady::time_point deadline{};            // when the client gives up
  // When this process must have answered, because it shuts down.
  Steady::time_point answer_by = Steady::time_point::max();
  int request_class = 0;           // index in Config::classes
  int tenant = 0;                  // index in Config::tenants
  std::uint64_t affinity_key = 0;  // hash of the object that the request concerns; 0: none
  bool has_work_estimate = false;
  bool client_retry = false;  // marked as a retry by the client
  double estimated_work_ms = 0;
};

// Parses the header fields of `message`, whose last byte arrived at `read_at`, into `request`. @return the
// error if they are invalid; `request` is then incomplete.
std::optional<RequestError> ParseClientRequest(HttpRequest message, Steady::time_point read_at,
                                               const Config& config, ClientRequest* request);

}  // namespace copperpoint::proxy

#endif  // COPPERPOINT_PROXY_HTTP_CLIENT_REQUEST_H_
