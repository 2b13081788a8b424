// SPDX-License-Identifier: Apache-2.0
#include "proxy/config/operator_settings.h"

namespace copperpoint::proxy {
namespace {

// Upper limits, in milliseconds.
constexpr double kMinute = 60 * 1000;
constexpr double kHour = 60 * kMinute;
constexpr double kDay = 24 * kHour;
constexpr double kMaxRetention = 1e10;  // 116 days

constexpr double kMiB = 1024 * 1024;  // bytes

}  // namespace

void Timeouts::Describe(config::FieldVisitor& v) {
  v.Milliseconds("whole_request_ms", request_head,
                 {.text = "for a request's head, from the connection's start or the request's first byte",
                  .min = 10,
                  .max = kHour});
  v.Milliseconds("body_grace_ms", body_grace,
                 {.text = "for a body, beyond what it takes at `shares.least_body_rate`", .max = kHour});
  v.Milliseconds("kept_ms", keep_alive, {.text = "for a client's next request", .min = 1, .max = kDay});
  v.Milliseconds(
      "spare_ms", idle_reclaim,
      {.text = "after which a connection with no request open may be closed to free capacity ahead of need",
       .max = kHour});
  v.Milliseconds("silent_ms", idle_reclaim_under_pressure,
                 {.text = "after which any idle connection may be closed where another waits to be accepted",
                  .max = kHour});
  v.Milliseconds("answer_taken_ms", response_write,
                 {.text = "for a client to read its response", .min = 10, .max = kHour});
  v.Milliseconds(
      "drained_ms", lingering_close,
      {.text = "for a client to close once the proxy has ended its side (a lingering close)", .max = kHour});
  v.Milliseconds(
      "answer_head_ms", response_header_stall,
      {.text = "without a byte of the header of a backend's response that has begun; also the longest "
               "pause of a response of unknown length after its client's deadline",
       .min = 1,
       .max = kHour});
  v.Milliseconds(
      "answer_whole_ms", response_stall,
      {.text = "without a byte of a backend's response that is being buffered; a 200 of unknown length "
               "is streamed from then on, another one fails",
       .min = 1,
       .max = kHour});
  v.Milliseconds("answer_held_ms", response_buffering,
                 {.text = "after which a 200 of unknown length is streamed, whatever has arrived",
                  .min = 1,
                  .max = kHour});
  v.Milliseconds("stalled_ms", body_stall,
                 {.text = "without a byte of a large body from or to a backend", .min = 10, .max = kHour});
  v.Milliseconds(
      "rest_ms", reuse_delay,
      {.text = "before a connection to a backend is used again, so that unexpected bytes on it are seen",
       .max = kHour});
  v.Milliseconds("forgotten_ms", removed_backend_retention,
                 {.text = "after which the state of a removed backend is dropped",
                  .min = 10 * kMinute,
                  .max = kMaxRetention});
}

void ResourceShares::Describe(config::FieldVisitor& v) {
  v.Number("clients", client_descriptors,
           {.text = "share of the descriptors for clients; backends have the rest", .min = 0.1, .max = 0.9});
  v.Number("bodies", body_memory,
           {.text = "share of the memory for clients' bodies that are buffered", .min = 0.01, .max = 0.8});
  v.Number("buffers", buffer_memory,
           {.text = "share of the memory for heads, for what clients send ahead and for responses in transit",
            .min = 0.01,
            .max = 0.8});
  v.Integer("kept_body", max_buffered_body_bytes,
            {.text = "most of a request's body that is buffered, where memory allows",
             .unit = "bytes",
             .min = 65536,
             .max = 33 * kMiB});
  v.Integer("least_body_rate", min_body_rate_bytes_per_s,
            {.text = "a client that sends its body more slowly is cut off",
             .unit = "bytes/s",
             .min = 1,
             .max = 1e9});
  v.Milliseconds("refusal_ms", process_limit_retry_after,
                 {.text = "`Retry-After` of a rejection because of a limit of this process", .max = kHour});
}

void UpgradeTimeouts::Describe(config::FieldVisitor& v) {
  v.Milliseconds(
      "list_ms", endpoint_list,
      {.text = "a new process waits this long for discovery's list before it takes over", .max = kMinute});
  v.Milliseconds(
      "listener_ms", listener,
      {.text = "and this long for the listener of the process before it", .min = 1, .max = kMinute});
}

void OperatorSettings::Describe(config::FieldVisitor& v) {
  v.Section("log", "What is written to standard error. `--log-level` and `--log-format` go before it.", log);
  v.Section("patience", "Time limits.", timeouts);
  v.Section("shares", "How the descriptors and the memory that the platform allows are divided.", shares);
  v.Section("upgrade", "While another process of the same proxy still serves.", upgrade);
  v.Section("fleet", "Membership with the other proxies (docs/membership.md). Off without it.", fleet);
}

}  // namespace copperpoint::proxy
