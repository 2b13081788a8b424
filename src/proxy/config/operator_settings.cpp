// SPDX-License-Identifier: Apache-2.0
#include "proxy/config/operator_settings.h"

#include "config/show.h"

namespace copperpoint::proxy {
namespace {

constexpr double kHour = 3600 * 1000;

constexpr char kHead[] = R"(# The operator's file

`copperpoint serve --config FILE` reads it; `deploy/copperpoint.toml` is one to start from. It is TOML. Every key
is optional, and without the file each has the default below. What the platform tells a proxy (name, addresses,
limits, classes, accounts) stays in the platform's JSON.

    copperpoint config check deploy/copperpoint.toml     # every fault, with file, line, column and key
    copperpoint config show deploy/copperpoint.toml      # the values that would be in force
    copperpoint config reference                         # this page

Unknown keys, wrong types and values out of range are refused, all of them at once, and the program does not start.
On SIGHUP the file is read again: `log` and `patience` take effect at once, `shares`, `upgrade` and `fleet` from the next
start on. A file that is refused then leaves the old values in force, and the log has an event `configuration_rejected` for
each fault.
)";

}  // namespace

void Timeouts::Describe(config::Visitor& v) {
  v.Millis("whole_request_ms", request_head,
           {.text = "for a request's head, from the connection's start or the request's first byte",
            .least = 10,
            .most = kHour});
  v.Millis("body_grace_ms", body_grace,
           {.text = "for a body, beyond what it takes at `shares.least_body_rate`", .most = kHour});
  v.Millis("kept_ms", keep_alive, {.text = "for a client's next request", .least = 1, .most = 24 * kHour});
  v.Millis("spare_ms", idle_reclaim,
           {.text = "after which a connection with no request open may be closed to make room ahead of need",
            .most = kHour});
  v.Millis("silent_ms", pressed_idle_reclaim,
           {.text = "after which any connection that rests may be closed where another waits to be accepted",
            .most = kHour});
  v.Millis("answer_taken_ms", response_write,
           {.text = "for a client to take its answer", .least = 10, .most = kHour});
  v.Millis(
      "drained_ms", lingering_close,
      {.text = "for a client to close once the proxy has ended its side (a lingering close)", .most = kHour});
  v.Millis("answer_whole_ms", response_stall,
           {.text = "without a byte of a backend's answer that has begun and is held whole",
            .least = 1,
            .most = kHour});
  v.Millis("stalled_ms", body_stall,
           {.text = "without a byte of a large body from or to a backend", .least = 10, .most = kHour});
  v.Millis(
      "rest_ms", connection_rest,
      {.text = "before a connection to a backend is used again: what comes late on it shows", .most = kHour});
  v.Millis(
      "forgotten_ms", removed_backend_retention,
      {.text = "after which nothing is known of a backend that has gone", .least = 600000, .most = 1e10});
}

void ResourceShares::Describe(config::Visitor& v) {
  v.Number(
      "clients", client_descriptors,
      {.text = "share of the descriptors for clients; backends have the rest", .least = 0.1, .most = 0.9});
  v.Number(
      "bodies", body_memory,
      {.text = "share of the memory for clients' bodies that are held whole", .least = 0.01, .most = 0.8});
  v.Whole("kept_body", max_buffered_body_bytes,
          {.text = "most of a request's body that is held whole, where there is room",
           .unit = "bytes",
           .least = 65536,
           .most = 33.0 * 1024 * 1024});
  v.Whole("least_body_rate", min_body_rate_bytes_per_s,
          {.text = "a client that sends its body more slowly is cut off",
           .unit = "bytes/s",
           .least = 1,
           .most = 1e9});
  v.Millis("refusal_ms", process_limit_retry_after,
           {.text = "`Retry-After` of a refusal for want of this process's own means", .most = kHour});
}

void UpgradeTimeouts::Describe(config::Visitor& v) {
  v.Millis(
      "list_ms", endpoint_list,
      {.text = "a new process waits this long for discovery's list before it takes over", .most = 60000});
  v.Millis("listener_ms", listener,
           {.text = "and this long for the listener of the process before it", .least = 1, .most = 60000});
}

void OperatorSettings::Describe(config::Visitor& v) {
  v.Section("log", "What is written to standard error. `--log-level` and `--log-format` go before it.", log);
  v.Section("patience", "How long things are waited for.", timeouts);
  v.Section("shares", "How the means that the platform allows are divided.", shares);
  v.Section("upgrade", "While another process of the same proxy still serves.", upgrade);
  v.Section(
      "fleet",
      "Talk with the other proxies (docs/view.md): a view of the fleet that they keep by themselves. Off "
      "without it.",
      fleet);
}

std::string ConfigurationReference() {
  OperatorSettings defaults;
  return kHead + config::ShowReference([&](config::Visitor& v) { defaults.Describe(v); });
}

}  // namespace copperpoint::proxy
