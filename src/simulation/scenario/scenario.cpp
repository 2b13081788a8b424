// SPDX-License-Identifier: Apache-2.0
#include "simulation/scenario/scenario.h"

#include <fmt/format.h>

#include <algorithm>

#include "config/read.h"
#include "config/show.h"

namespace copperpoint::simulation {
namespace {

constexpr double kMsPerSecond = 1000;

}  // namespace

void WorkloadSettings::Describe(config::FieldVisitor& v) {
  v.Number("rate", rate,
           {.text = "first requests of all clients, unless `of_capacity` is set", .unit = "1/s", .max = 1e7});
  v.Number("of_capacity", of_capacity,
           {.text = "the rate as a share of the backends' capacity after slow start; 0: `rate` applies",
            .max = 100});
  v.Enum<ArrivalShape>(
      "shape", shape,
      {{"steady", ArrivalShape::kSteady}, {"bursty", ArrivalShape::kBursty}, {"daily", ArrivalShape::kDaily}},
      {.text = "Poisson arrivals with a rate that is constant, random in each period, or sinusoidal"});
  v.Number("swing", swing, {.text = "`bursty`, `daily`: amplitude as a share of the rate", .max = 1});
  v.Number("period_s", period_s,
           {.text = "`daily`: period of the sine; `bursty`: mean length of a period",
            .unit = "s",
            .min = 0.1,
            .max = 86400});
  v.Text("replay", replay, {},
         {.text = "file of recorded arrivals, one `at_ms,class,account,key,work_ms` per line"});
  v.Integer("keys", keys, {.text = "distinct keys; 0: requests have no key", .max = 1e8});
  v.Number("zipf", zipf, {.text = "exponent of the Zipf distribution of the keys", .max = 5});
  v.Number("hint_error", hint_error,
           {.text = "standard deviation of log(estimated work / true work); -1: no estimates",
            .min = -1,
            .max = 5});
}

void RequestClass::Describe(config::FieldVisitor& v) {
  v.Text("name", name, {}, {.text = "in reports and replay files"});
  v.Number("share", share, {.text = "share of the requests, relative to the other classes", .max = 1e6});
  v.Boolean("safe", idempotent, {.text = "whether the requests are idempotent and may be repeated"});
  v.Number("work_ms", work_ms,
           {.text = "mean work of a request, on a core of speed 1", .unit = "ms", .min = 0.001, .max = 1e6});
  v.Number("work_cv", work_cv, {.text = "coefficient of variation of lognormal work", .max = 10});
  v.Text("distribution", distribution, {"lognormal", "exponential", "constant"},
         {.text = "distribution of the work"});
  v.Number("attempt_noise", attempt_noise,
           {.text = "coefficient of variation of an attempt's work around that of its request", .max = 5});
  v.Number("aim_ms", latency_objective_ms,
           {.text = "latency objective: later responses have no value", .unit = "ms", .min = 0.1});
  v.Number("deadline_ms", deadline_ms,
           {.text = "deadline of the client, over all retries", .unit = "ms", .min = 1});
  v.Number("worth", priority_weight,
           {.text = "priority weight: value of a millisecond of work served within the latency objective"});
  v.Require("deadline_ms", deadline_ms >= latency_objective_ms,
            fmt::format("{} is less than aim_ms, which is {}", deadline_ms, latency_objective_ms));
}

void Tenant::Describe(config::FieldVisitor& v) {
  v.Text("name", name, {}, {.text = "in reports and replay files"});
  v.Number("share", share, {.text = "share of the requests, relative to the other accounts", .max = 1e6});
  v.Number(
      "quota", quota,
      {.text = "rate up to which requests count as within quota; 0: unlimited", .unit = "1/s", .max = 1e9});
}

void ClientSettings::Describe(config::FieldVisitor& v) {
  v.Enum<ClientRetryMode>("retry", retry,
                          {{"none", ClientRetryMode::kNone},
                           {"immediate", ClientRetryMode::kImmediate},
                           {"fixed", ClientRetryMode::kFixed},
                           {"exponential", ClientRetryMode::kExponential}},
                          {.text = "backoff before a client retry"});
  v.Int32("retries", retries, {.text = "client retries after the first request, at most", .max = 20});
  v.Number("backoff_ms", backoff_ms,
           {.text = "`fixed`: the backoff; `exponential`: upper bound of the first, with full jitter",
            .unit = "ms",
            .max = 1e6});
  v.Number("try_share", request_timeout_share,
           {.text = "share of the deadline after which a client abandons a request and retries it",
            .min = 0.01,
            .max = 1});
  v.Number("honour", retry_after_compliance, {.text = "share of clients that follow Retry-After", .max = 1});
  v.Number(
      "retry_after_ms", max_retry_after_ms,
      {.text = "longest Retry-After that clients follow; 0: proxies send none", .unit = "ms", .max = 1e6});
  v.Number(
      "reconnect_ms", reconnect_ms,
      {.text = "delay before a client refused by one proxy connects to another", .unit = "ms", .max = 1e6});
  v.Number("notice_ms", failure_detection_ms,
           {.text = "time until the front end detects that a proxy has crashed", .unit = "ms", .max = 1e6});
  v.Boolean("marks_retry", marks_retry, {.text = "whether clients mark their retries as such"});
}

void BackendType::Describe(config::FieldVisitor& v) {
  v.Text("name", name, {}, {.text = "in reports"});
  v.Number("share", share, {.text = "share of the backends, relative to the other types", .max = 1e6});
  v.Int32("cores", cores, {.text = "number of cores", .min = 1, .max = 1024});
  v.Number("slots_per_core", slots_per_core,
           {.text = "requests that run at once per core", .min = 0.01, .max = 1000});
  v.Number("speed", speed, {.text = "speed of a core", .min = 0.001, .max = 1000});
  v.Number("speed_cv", speed_cv,
           {.text = "coefficient of variation of the speed over the backends", .max = 2});
  v.Int32("queue", queue, {.text = "longest queue; further requests are rejected unprocessed", .max = 1e8});
  v.Number("crowd_at", congestion_start,
           {.text = "requests queued or running per slot above which it slows down; 0: never", .max = 1e6});
  v.Number("crowding", congestion_slowdown,
           {.text = "share of its speed lost at twice `crowd_at`", .max = 0.99});
  v.Number("cold_from", slow_start_min_capacity,
           {.text = "slow start: share of its capacity right after a start", .min = 0.001, .max = 1});
  v.Number("warm_up_s", slow_start_window_s,
           {.text = "slow start: time from a start to full capacity", .unit = "s", .max = 3600});
  v.Number("fall_multiple", overload_factor,
           {.text = "in slow start it crashes when sent more than this times its capacity; 0: never",
            .max = 1000});
  v.Number("fall_ms", overload_window_ms,
           {.text = "window over which the work sent is added up and compared with the capacity",
            .unit = "ms",
            .min = 1,
            .max = 1e6});
  v.Number(
      "fall_roots", overload_deviations,
      {.text = "tolerance above that limit, in requests of mean work: 2 + this number * sqrt(limit in such "
               "requests); 0: 3 requests like the last one",
       .max = 10});
  v.Number("error_rate", error_rate, {.text = "share of responses that are errors", .max = 1});
  v.Text(
      "cancelled", cancelled, {"runs_on", "queued", "stops"},
      {.text =
           "what becomes of cancelled jobs: they run on, queued ones are dropped, or running ones stop too"});
  v.Int32("connections", connections, {.text = "connections accepted at most; 0: unlimited", .max = 1e7});
  v.Number("handshake_ms", handshake_ms, {.text = "work for a new connection", .unit = "ms", .max = 1e4});
  v.Number("warm_key_gain", cached_key_gain,
           {.text = "share of the work saved for a cached key", .max = 0.99});
  v.Number("warm_key_s", cached_key_s,
           {.text = "how long a key stays cached after its last use", .unit = "s", .max = 3600});
  v.Integer("warm_keys", max_cached_keys, {.text = "keys cached at most, per core", .min = 1, .max = 1e7});
}

void FleetSettings::Describe(config::FieldVisitor& v) {
  v.Int32("backends", backends, {.text = "number of backends", .max = 100000});
  v.Int32("proxies", proxies, {.text = "number of proxies", .min = 1, .max = 10000});
  v.Int32("zones", zones, {.text = "number of zones", .min = 1, .max = 64});
  v.Number("zone_skew", zone_skew,
           {.text = "extra traffic of the first zone, as a share of that of each other zone", .max = 10});
  v.Int32("cell_size", cell_size, {.text = "backends per cell", .min = 1, .max = 100000});
  v.Enum("positions", ring_offsets,
         std::vector<std::pair<std::string, RingOffsetSource>>{{"number", RingOffsetSource::kProxyIndex},
                                                               {"chance", RingOffsetSource::kRandom},
                                                               {"view", RingOffsetSource::kMembership}},
         {.text = "source of the ring offsets by which proxies divide the backends into subsets: the proxy's "
                  "number, a random draw, or the membership"});
  v.Number(
      "view_ms", membership_delay_ms,
      {.text = "`view`: time until proxies know that one of them joined or left", .unit = "ms", .max = 1e6});
}

void NetworkSettings::Describe(config::FieldVisitor& v) {
  v.Number("client_ms", client_ms,
           {.text = "delay between client and proxy, one way", .unit = "ms", .max = 1e5});
  v.Number("same_zone_ms", same_zone_ms,
           {.text = "delay between proxy and backend of one zone, one way", .unit = "ms", .max = 1e5});
  v.Number("cross_zone_ms", cross_zone_ms,
           {.text = "delay between proxy and backend of different zones, one way", .unit = "ms", .max = 1e5});
  v.Number("jitter", jitter, {.text = "coefficient of variation of each delay", .max = 5});
  v.Number("loss", loss, {.text = "share of messages that are lost and retransmitted", .max = 0.9});
  v.Number(
      "retransmit_ms", retransmit_ms,
      {.text = "delay of the first retransmission; doubled for each further one", .unit = "ms", .max = 1e5});
  v.Number("handshake_rtts", handshake_rtts, {.text = "round trips to open a connection", .max = 10});
  v.Number(
      "connect_timeout_ms", connect_timeout_ms,
      {.text = "a connection that is not open by then has failed", .unit = "ms", .min = 0.1, .max = 1e6});
  v.Number("idle_s", idle_s,
           {.text = "a connection not used for this long is closed", .unit = "s", .min = 0.01});
}

void DiscoverySettings::Describe(config::FieldVisitor& v) {
  v.Boolean("ask", polled, {.text = "updates go only to proxies that subscribed by a poll"});
  v.Number(
      "notice_ms", detection_ms,
      {.text = "time until it detects that a process started, drains or exited", .unit = "ms", .max = 1e6});
  v.Number("silent_notice_ms", unresponsive_detection_ms,
           {.text = "time until it detects that a machine became unresponsive", .unit = "ms", .max = 1e6});
  v.Number("spread_ms", propagation_ms,
           {.text = "longest delay of an update on its way to a proxy", .unit = "ms", .max = 1e6});
  v.Number("calls_per_s", calls_per_s,
           {.text = "polls that it can answer, one after the other", .unit = "1/s", .min = 0.01});
  v.Number("call_timeout_ms", call_timeout_ms,
           {.text = "a poll that would have to wait longer fails", .unit = "ms", .min = 1});
}

void ServiceRules::Describe(config::FieldVisitor& v) {
  v.Number("answer_slack_ms", response_slack_ms,
           {.text = "time for a final response after the request's timeout", .unit = "ms", .max = 1e4});
  v.Number("drain_grace_ms", drain_grace_ms,
           {.text = "time for attempts to a draining or removed backend after the update",
            .unit = "ms",
            .max = 1e5});
  v.Int32("max_attempts", max_attempts,
          {.text = "attempts per client request, at most", .min = 1, .max = 20});
  v.Number("cross_zone_price", cross_zone_cost,
           {.text = "cost of an attempt to another zone, as a share of the request's value; given to the "
                    "policies, not subtracted from the goodput",
            .max = 1});
  v.Number("over_share_worth", over_quota_weight,
           {.text = "factor of the value of requests beyond their account's quota", .max = 1});
  v.Number(
      "must_ask_ms", max_poll_interval_ms,
      {.text = "changes count as known to a proxy this long after its last poll", .unit = "ms", .min = 100});
}

void ObjectiveWeights::Describe(config::FieldVisitor& v) {
  v.Number("whole", overall, {.text = "weight of the overall goodput", .max = 1});
  v.Number("worst_class", worst_class, {.text = "weight of the goodput of the worst-served class", .max = 1});
  v.Number("worst_account", worst_tenant,
           {.text = "weight of the goodput of the worst-served account", .max = 1});
}

void Scenario::Describe(config::FieldVisitor& v) {
  v.Text("title", title, {}, {.text = "one line, for reports"});
  v.Number("length_s", length_s,
           {.text = "length of the arrivals; requests in progress then are completed",
            .unit = "s",
            .min = 0.01,
            .max = 86400});
  v.Number("window_s", window_s,
           {.text = "length of a window of the time line", .unit = "s", .min = 0.01, .max = 3600});
  v.Section("load", "What clients send.", load);
  v.ItemList("class", "A class of requests; one table each.", classes);
  v.ItemList("account", "An account that requests belong to.", tenants);
  v.Section("clients", "Timeouts and retries of the clients.", clients);
  v.ItemList("machine", "A type of backend.", backend_types);
  v.Section("fleet", "The numbers of backends and proxies, and their zones.", fleet);
  v.Section("network", "The network between clients, proxies and backends.", network);
  v.Section("discovery", "The discovery service, which sends endpoint updates to the proxies.", discovery);
  v.Section("rules", "Limits that proxies must keep. The policies are configured with some of them.", rules);
  v.Section("goal", "Weights of the service objective. The policies are configured with them.", objective);
  v.ItemList("trouble", "A fault; several may overlap.", faults);
  v.Require("class", !classes.empty(), "at least one [[class]] is expected");
  v.Require("account", !tenants.empty(), "at least one [[account]] is expected");
  v.Require("machine", !backend_types.empty(), "at least one [[machine]] is expected");
  const auto has_positive_share = [](const auto& items) {
    return std::any_of(items.begin(), items.end(), [](const auto& item) { return item.share > 0; });
  };
  v.Require("class", classes.empty() || has_positive_share(classes),
            "every share is 0, but at least one must be over 0");
  v.Require("account", tenants.empty() || has_positive_share(tenants),
            "every share is 0, but at least one must be over 0");
  v.Require("machine", backend_types.empty() || has_positive_share(backend_types),
            "every share is 0, but at least one must be over 0");
  for (const Fault& fault : faults) {
    v.Require("trouble", fault.from_zone < fleet.zones && fault.to_zone < fleet.zones,
              fmt::format("from_zone is {} and to_zone {}, but both must be below fleet.zones, which is {}",
                          fault.from_zone, fault.to_zone, fleet.zones));
  }
}

double Scenario::Capacity() const {
  double type_share = 0;
  double capacity = 0;  // sum weighted by share
  for (const BackendType& type : backend_types) {
    type_share += type.share;
    capacity += type.share * type.cores * type.speed;
  }
  double class_share = 0;
  double work_ms = 0;  // sum weighted by share
  for (const RequestClass& c : classes) {
    class_share += c.share;
    work_ms += c.share * c.work_ms;
  }
  return fleet.backends * capacity / type_share * kMsPerSecond * class_share / work_ms;
}

double Scenario::MaxDeadlineMs() const {
  double longest = 0;
  for (const RequestClass& c : classes) longest = std::max(longest, c.deadline_ms);
  return longest;
}

Scenario ReadScenario(const std::string& file) { return config::LoadFile<Scenario>(file); }

std::string ScenarioReference() {
  Scenario defaults;
  defaults.faults.clear();
  return config::FormatReference([&](config::FieldVisitor& v) { defaults.Describe(v); });
}

}  // namespace copperpoint::simulation
