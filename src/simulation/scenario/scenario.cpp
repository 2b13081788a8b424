// SPDX-License-Identifier: Apache-2.0
#include "simulation/scenario/scenario.h"

#include <algorithm>

#include "config/read.h"
#include "config/show.h"

namespace copperpoint::simulation {
namespace {

constexpr double kMsPerSecond = 1000;

}  // namespace

void WorkloadSettings::Describe(config::FieldVisitor& v) {
  v.Number("rate", rate,
           {.text = "first tries of all clients, unless `of_capacity`", .unit = "1/s", .max = 1e7});
  v.Number("of_capacity", of_capacity,
           {.text = "the rate as a share of what the warm fleet can do; 0: `rate` counts", .max = 100});
  v.Enum<ArrivalShape>(
      "shape", shape,
      {{"steady", ArrivalShape::kSteady}, {"bursty", ArrivalShape::kBursty}, {"daily", ArrivalShape::kDaily}},
      {.text = "Poisson arrivals: at one rate, in spells around it, or along a sine"});
  v.Number("swing", swing, {.text = "of bursty and daily, as a share of the rate", .max = 1});
  v.Number(
      "period_s", period_s,
      {.text = "of the daily sine; mean length of a bursty spell", .unit = "s", .min = 0.1, .max = 86400});
  v.Text("replay", replay, {}, {.text = "a file of arrivals, `at_ms,class,account,key,work_ms` a line"});
  v.Integer("keys", keys, {.text = "distinct keys; 0: requests carry none", .max = 1e8});
  v.Number("zipf", zipf, {.text = "exponent of the keys' popularity", .max = 5});
  v.Number("hint_error", hint_error,
           {.text = "deviation of the log of hinted over true work; -1: no hints", .min = -1, .max = 5});
}

void RequestClass::Describe(config::FieldVisitor& v) {
  v.Text("name", name, {}, {.text = "in reports and replay files"});
  v.Number("share", share, {.text = "of the requests, against the other classes'", .max = 1e6});
  v.Boolean("safe", idempotent, {.text = "may be repeated"});
  v.Number("work_ms", work_ms,
           {.text = "mean work, on a core of speed 1", .unit = "ms", .min = 0.001, .max = 1e6});
  v.Number("work_cv", work_cv, {.text = "deviation over mean of lognormal work", .max = 10});
  v.Text("distribution", distribution, {"lognormal", "exponential", "constant"}, {.text = "of the work"});
  v.Number("attempt_noise", attempt_noise,
           {.text = "deviation of one attempt's work around the request's", .max = 5});
  v.Number("aim_ms", latency_objective_ms,
           {.text = "answers within this are worth something", .unit = "ms", .min = 0.1});
  v.Number("deadline_ms", deadline_ms,
           {.text = "the client waits no longer, over all tries", .unit = "ms", .min = 1});
  v.Number("worth", priority_weight, {.text = "of a ms of work answered in time"});
  v.Require("deadline_ms", deadline_ms >= latency_objective_ms, "is less than aim_ms");
}

void Tenant::Describe(config::FieldVisitor& v) {
  v.Text("name", name, {}, {.text = "in reports and replay files"});
  v.Number("share", share, {.text = "of the requests, against the other accounts'", .max = 1e6});
  v.Number("quota", quota, {.text = "requests within its share; 0: no bound", .unit = "1/s", .max = 1e9});
}

void ClientSettings::Describe(config::FieldVisitor& v) {
  v.Enum<ClientRetryMode>("retry", retry,
                          {{"none", ClientRetryMode::kNone},
                           {"immediate", ClientRetryMode::kImmediate},
                           {"fixed", ClientRetryMode::kFixed},
                           {"exponential", ClientRetryMode::kExponential}},
                          {.text = "how a client comes back"});
  v.Int32("retries", retries, {.text = "after the first try", .max = 20});
  v.Number(
      "backoff_ms", backoff_ms,
      {.text = "fixed wait, or the first of an exponential one with full jitter", .unit = "ms", .max = 1e6});
  v.Number("try_share", request_timeout_share,
           {.text = "a try is given up after this share of the deadline", .min = 0.01, .max = 1});
  v.Number("honour", retry_after_compliance, {.text = "share of clients that follow Retry-After", .max = 1});
  v.Number(
      "retry_after_ms", max_retry_after_ms,
      {.text = "the longest wait that they follow; 0: proxies don't tell them", .unit = "ms", .max = 1e6});
  v.Number("reconnect_ms", reconnect_ms,
           {.text = "until a refused connection is tried at another proxy", .unit = "ms", .max = 1e6});
  v.Number("notice_ms", failure_detection_ms,
           {.text = "until the front notices that a proxy died", .unit = "ms", .max = 1e6});
  v.Boolean("marks_retry", marks_retry, {.text = "repeats say that they are"});
}

void BackendType::Describe(config::FieldVisitor& v) {
  v.Text("name", name, {}, {.text = "in reports"});
  v.Number("share", share, {.text = "of the backends, against the other kinds'", .max = 1e6});
  v.Int32("cores", cores, {.text = "", .min = 1, .max = 1024});
  v.Number("slots_per_core", slots_per_core,
           {.text = "requests in work at once, a core", .min = 0.01, .max = 1000});
  v.Number("speed", speed, {.text = "of a core", .min = 0.001, .max = 1000});
  v.Number("speed_cv", speed_cv, {.text = "deviation of the speed over the machines", .max = 2});
  v.Int32("queue", queue, {.text = "requests that wait; beyond, they are turned away", .max = 1e8});
  v.Number("crowd_at", congestion_start,
           {.text = "held a slot, from which it slows down; 0: never", .max = 1e6});
  v.Number("crowding", congestion_slowdown,
           {.text = "share of its speed lost with `crowd_at` more held", .max = 0.99});
  v.Number("cold_from", slow_start_min_capacity,
           {.text = "share of the speed right after a start", .min = 0.001, .max = 1});
  v.Number("warm_up_s", slow_start_window_s, {.text = "until the whole of it", .unit = "s", .max = 3600});
  v.Number(
      "fall_multiple", overload_factor,
      {.text = "a cold one falls over when sent more than this times what it can do; 0: never", .max = 1000});
  v.Number("fall_ms", overload_window_ms, {.text = "for this long", .unit = "ms", .min = 1, .max = 1e6});
  v.Number("fall_roots", overload_deviations,
           {.text = "roots of that, in requests of mean work, that chance may add, and two requests; 0: "
                    "three requests",
            .max = 10});
  v.Number("error_rate", error_rate, {.text = "share of answers that are errors", .max = 1});
  v.Text("cancelled", cancelled, {"runs_on", "queued", "stops"},
         {.text = "of work given up: it runs on, what waits is dropped, or all stops"});
  v.Int32("connections", connections, {.text = "accepted; 0: any number", .max = 1e7});
  v.Number("handshake_ms", handshake_ms, {.text = "work for a new connection", .unit = "ms", .max = 1e4});
  v.Number("warm_key_gain", cached_key_gain,
           {.text = "share of the work saved for a key met lately", .max = 0.99});
  v.Number("warm_key_s", cached_key_s, {.text = "how lately", .unit = "s", .max = 3600});
  v.Integer("warm_keys", max_cached_keys, {.text = "that it remembers, a core", .min = 1, .max = 1e7});
}

void FleetSettings::Describe(config::FieldVisitor& v) {
  v.Int32("backends", backends, {.text = "", .max = 100000});
  v.Int32("proxies", proxies, {.text = "", .min = 1, .max = 10000});
  v.Int32("zones", zones, {.text = "", .min = 1, .max = 64});
  v.Number("zone_skew", zone_skew,
           {.text = "the first zone's clients ask this share more than the others'", .max = 10});
  v.Int32("cell_size", cell_size, {.text = "backends of a cell", .min = 1, .max = 100000});
  v.Enum("positions", ring_offsets,
         std::vector<std::pair<std::string, RingOffsetSource>>{{"number", RingOffsetSource::kProxyIndex},
                                                               {"chance", RingOffsetSource::kRandom},
                                                               {"view", RingOffsetSource::kMembership}},
         {.text = "by what proxies divide the backends: each one's number, chance, or a view of each other"});
  v.Number("view_ms", membership_delay_ms,
           {.text = "`view`: until they know that one of them came or went", .unit = "ms", .max = 1e6});
}

void NetworkSettings::Describe(config::FieldVisitor& v) {
  v.Number("client_ms", client_ms, {.text = "client to proxy, one way", .unit = "ms", .max = 1e5});
  v.Number("same_zone_ms", same_zone_ms, {.text = "proxy to backend, one way", .unit = "ms", .max = 1e5});
  v.Number("cross_zone_ms", cross_zone_ms, {.text = "the same over zones", .unit = "ms", .max = 1e5});
  v.Number("jitter", jitter, {.text = "deviation of a delay over its mean", .max = 5});
  v.Number("loss", loss, {.text = "share of messages that have to be sent again", .max = 0.9});
  v.Number("retransmit_ms", retransmit_ms, {.text = "after this", .unit = "ms", .max = 1e5});
  v.Number("handshake_rtts", handshake_rtts, {.text = "round trips of a new connection", .max = 10});
  v.Number("connect_timeout_ms", connect_timeout_ms,
           {.text = "a connection not up by then has failed", .unit = "ms", .min = 0.1, .max = 1e6});
  v.Number("idle_s", idle_s,
           {.text = "a connection not used for this long is closed", .unit = "s", .min = 0.01});
}

void DiscoverySettings::Describe(config::FieldVisitor& v) {
  v.Boolean("ask", polled, {.text = "changes come only to proxies that subscribed"});
  v.Number("notice_ms", detection_ms,
           {.text = "until it knows of a start, a drain or an end", .unit = "ms", .max = 1e6});
  v.Number("silent_notice_ms", unresponsive_detection_ms,
           {.text = "until it knows of a machine gone silent", .unit = "ms", .max = 1e6});
  v.Number("spread_ms", propagation_ms,
           {.text = "over which news reach the proxies", .unit = "ms", .max = 1e6});
  v.Number("calls_per_s", calls_per_s,
           {.text = "that it can answer, one after the other", .unit = "1/s", .min = 0.01});
  v.Number("call_timeout_ms", call_timeout_ms,
           {.text = "a call that waits longer fails", .unit = "ms", .min = 1});
}

void ServiceRules::Describe(config::FieldVisitor& v) {
  v.Number("answer_slack_ms", response_slack_ms,
           {.text = "after a try's end, for its final answer", .unit = "ms", .max = 1e4});
  v.Number("drain_grace_ms", drain_grace_ms,
           {.text = "after the news of a drain or an end, for the last send", .unit = "ms", .max = 1e5});
  v.Int32("max_attempts", max_attempts, {.text = "of one try", .min = 1, .max = 20});
  v.Number("cross_zone_price", cross_zone_cost,
           {.text = "of a send to another zone, as a share of a request's worth; a goal, not in the goodput",
            .max = 1});
  v.Number("over_share_worth", over_quota_weight,
           {.text = "worth of requests beyond an account's quota", .max = 1});
  v.Number("must_ask_ms", max_poll_interval_ms,
           {.text = "news count as told this long after the last call", .unit = "ms", .min = 100});
}

void ObjectiveWeights::Describe(config::FieldVisitor& v) {
  v.Number("whole", overall, {.text = "weight of the goodput of the whole run", .max = 1});
  v.Number("worst_class", worst_class, {.text = "of that of the worst-served class", .max = 1});
  v.Number("worst_account", worst_tenant, {.text = "of that of the worst-served account", .max = 1});
}

void Scenario::Describe(config::FieldVisitor& v) {
  v.Text("title", title, {}, {.text = "one line, for reports"});
  v.Number("length_s", length_s,
           {.text = "of the arrivals; what is open then is played to its end",
            .unit = "s",
            .min = 0.01,
            .max = 86400});
  v.Number("window_s", window_s, {.text = "of the time line", .unit = "s", .min = 0.01, .max = 3600});
  v.Section("load", "What clients ask for.", load);
  v.ItemList("class", "A class of requests; one table each.", classes);
  v.ItemList("account", "An account that requests belong to.", tenants);
  v.Section("clients", "How clients behave when they are not served.", clients);
  v.ItemList("machine", "A kind of backend.", backend_types);
  v.Section("fleet", "How many of each there are, and where.", fleet);
  v.Section("network", "What lies between them.", network);
  v.Section("discovery", "The service that names the backends.", discovery);
  v.Section("rules", "What proxies must keep, and are told.", rules);
  v.Section("goal", "What service is judged by; proxies are told.", objective);
  v.ItemList("trouble", "Something that goes wrong; several may overlap.", faults);
  v.Require("class", !classes.empty(), "at least one is wanted");
  v.Require("account", !tenants.empty(), "at least one is wanted");
  v.Require("machine", !backend_types.empty(), "at least one is wanted");
  const auto has_positive_share = [](const auto& items) {
    return std::any_of(items.begin(), items.end(), [](const auto& item) { return item.share > 0; });
  };
  v.Require("class", classes.empty() || has_positive_share(classes), "some share must be over 0");
  v.Require("account", tenants.empty() || has_positive_share(tenants), "some share must be over 0");
  v.Require("machine", backend_types.empty() || has_positive_share(backend_types),
            "some share must be over 0");
  for (const Fault& fault : faults) {
    v.Require("trouble", fault.from_zone < fleet.zones && fault.to_zone < fleet.zones,
              "from_zone or to_zone is no zone of the fleet");
  }
}

double Scenario::Capacity() const {
  double type_share = 0;
  double capacity = 0;
  for (const BackendType& type : backend_types) {
    type_share += type.share;
    capacity += type.share * type.cores * type.speed;
  }
  double class_share = 0;
  double work_ms = 0;
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
