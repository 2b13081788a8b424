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

void Timeouts::Describe(config::Visitor& v) {
  v.Millis("whole_request_ms", request_head,
           {.text = "for a request's head, from the connection's start or the request's first byte",
            .least = 10,
            .most = kHour});
  v.Millis("body_grace_ms", body_grace,
           {.text = "for a body, beyond what it takes at `shares.least_body_rate`", .most = kHour});
  v.Millis("kept_ms", keep_alive, {.text = "for a client's next request", .least = 1, .most = kDay});
  v.Millis(
      "spare_ms", idle_reclaim,
      {.text = "after which a connection with no request open may be closed to free capacity ahead of need",
       .most = kHour});
  v.Millis("silent_ms", pressed_idle_reclaim,
           {.text = "after which any idle connection may be closed where another waits to be accepted",
            .most = kHour});
  v.Millis("answer_taken_ms", response_write,
           {.text = "for a client to read its response", .least = 10, .most = kHour});
  v.Millis(
      "drained_ms", lingering_close,
      {.text = "for a client to close once the proxy has ended its side (a lingering close)", .most = kHour});
  v.Millis("answer_whole_ms", response_stall,
           {.text = "without a byte of a backend's response that has begun and is being buffered",
            .least = 1,
            .most = kHour});
  v.Millis("stalled_ms", body_stall,
           {.text = "without a byte of a large body from or to a backend", .least = 10, .most = kHour});
  v.Millis("rest_ms", connection_rest,
           {.text = "before a connection to a backend is used again, so that unexpected bytes on it are seen",
            .most = kHour});
  v.Millis("forgotten_ms", removed_backend_retention,
           {.text = "after which the state of a removed backend is dropped",
            .least = 10 * kMinute,
            .most = kMaxRetention});
}

void ResourceShares::Describe(config::Visitor& v) {
  v.Number(
      "clients", client_descriptors,
      {.text = "share of the descriptors for clients; backends have the rest", .least = 0.1, .most = 0.9});
  v.Number("bodies", body_memory,
           {.text = "share of the memory for clients' bodies that are buffered", .least = 0.01, .most = 0.8});
  v.Whole("kept_body", max_buffered_body_bytes,
          {.text = "most of a request's body that is buffered, where memory allows",
           .unit = "bytes",
           .least = 65536,
           .most = 33 * kMiB});
  v.Whole("least_body_rate", min_body_rate_bytes_per_s,
          {.text = "a client that sends its body more slowly is cut off",
           .unit = "bytes/s",
           .least = 1,
           .most = 1e9});
  v.Millis("refusal_ms", process_limit_retry_after,
           {.text = "`Retry-After` of a rejection because of a limit of this process", .most = kHour});
}

void UpgradeTimeouts::Describe(config::Visitor& v) {
  v.Millis(
      "list_ms", endpoint_list,
      {.text = "a new process waits this long for discovery's list before it takes over", .most = kMinute});
  v.Millis("listener_ms", listener,
           {.text = "and this long for the listener of the process before it", .least = 1, .most = kMinute});
}

void OperatorSettings::Describe(config::Visitor& v) {
  v.Section("log", "What is written to standard error. `--log-level` and `--log-format` go before it.", log);
  v.Section("patience", "Time limits.", timeouts);
  v.Section("shares", "How the descriptors and the memory that the platform allows are divided.", shares);
  v.Section("upgrade", "While another process of the same proxy still serves.", upgrade);
  v.Section("fleet", "Membership with the other proxies (docs/membership.md). Off without it.", fleet);
}

}  // namespace copperpoint::proxy
