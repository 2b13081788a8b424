// SPDX-License-Identifier: Apache-2.0
//
// One attempt: a request forwarded to one backend, and its result.
#ifndef COPPERPOINT_PROXY_UPSTREAM_ATTEMPT_H_
#define COPPERPOINT_PROXY_UPSTREAM_ATTEMPT_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

#include "copperpoint/balancer.h"
#include "proxy/clock.h"
#include "proxy/http/body_stream.h"
#include "proxy/http/messages.h"

namespace copperpoint::proxy {

struct AttemptResult {
  AttemptOutcome outcome = AttemptOutcome::kUnknown;
  // Set for kSuccess, complete except for `body_stream`, and for kUnknown, where it is the 4xx with which the
  // backend rejected the request.
  HttpResponse response;
  // Yields the rest of a large body; null if `response` is complete. Releasing it releases the connection.
  std::shared_ptr<BodySource> body_stream;
  std::optional<std::uint64_t>
      body_length;  // of the whole body in bytes, if it is streamed and its length is known
  // When the last byte of a streamed request body was written; nullopt if none was streamed.
  std::optional<Steady::time_point> request_written_at;
  // For kNotSent: this process lacked descriptors, ports or connection capacity.
  bool local_failure = false;
};
using AttemptCallback = std::function<void(AttemptResult)>;

// The time limits of one attempt.
struct AttemptLimits {
  Duration timeout{};  // from the start or, with an upload, from the last byte of the request
  // Latest time at which the last byte of the request may be written. An attempt that is not written
  // completely by then ends as kNotSent.
  Steady::time_point send_by = Steady::time_point::max();
  // From the arrival of the request's last byte until its client gives up; 0: `timeout` counts instead.
  Steady::duration response_time{};
  // When the client gives up. Unlike `timeout`, it doesn't end before a retry.
  Steady::time_point response_due = Steady::time_point::max();
};

// An attempt in progress, owned by the connection that it uses.
struct Attempt {
  std::shared_ptr<const HttpRequest> request;
  std::shared_ptr<RequestBodyStream>
      upload;                    // the rest of a large request body; null if `request` is complete
  AttemptCallback on_completed;  // null once completed
  Steady::time_point started_at{};
  Steady::duration timeout{};
  Steady::time_point
      deadline{};  // start plus `timeout`; once an upload is written, BackendConnection::UploadDue
  Steady::time_point send_by = Steady::time_point::max();  // as in AttemptLimits
  Steady::duration response_time{};                        // as in AttemptLimits
  Steady::time_point response_due =
      Steady::time_point::max();    // as in AttemptLimits; of an upload, `deadline`
  Steady::time_point written_at{};  // when the last byte of an upload was written
  bool completing = false;  // its completion is posted to the event loop; all other events are ignored

  bool in_progress() const { return on_completed != nullptr; }
  bool MayBeWritten(Steady::time_point now) const { return now < send_by; }
};

}  // namespace copperpoint::proxy

#endif  // COPPERPOINT_PROXY_UPSTREAM_ATTEMPT_H_
