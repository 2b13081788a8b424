// SPDX-License-Identifier: Apache-2.0
//
// A scenario: what is simulated, for how long, and which faults happen when. It is read from TOML;
// docs/lab.md describes each model. Each Describe, in scenario.cpp, lists the fields of a struct with their
// keys in the file, for the reader, the writer and the reference page.
#ifndef COPPERPOINT_SIMULATION_SCENARIO_SCENARIO_H_
#define COPPERPOINT_SIMULATION_SCENARIO_SCENARIO_H_

#include <cstdint>
#include <string>
#include <vector>

#include "config/schema.h"
#include "simulation/scenario/fault.h"

namespace copperpoint::simulation {

// The rate of the Poisson arrivals over time: constant, drawn anew for each period, or along a sine.
enum class ArrivalShape { kSteady, kBursty, kDaily };

// What clients send.
struct WorkloadSettings {
  double rate = 200;       // first requests a second
  double of_capacity = 0;  // if over 0: the rate, as a share of the backends' capacity after slow start
  ArrivalShape shape = ArrivalShape::kSteady;
  double swing = 0.3;       // amplitude of kBursty and kDaily, as a share of the rate
  double period_s = 20;     // kDaily: period of the sine; kBursty: mean length of a period
  std::string replay;       // file of arrivals, a line each: at_ms,class,account,key,work_ms; empty: none
  std::int64_t keys = 0;    // distinct keys; 0: requests have no key
  double zipf = 0.9;        // exponent of the Zipf distribution of the keys
  double hint_error = 0.3;  // standard deviation of log(estimated / true work); below 0: no estimates

  void Describe(config::FieldVisitor& v);
};

struct RequestClass {
  std::string name = "lookup";
  double share = 1;  // of the requests, relative to the other classes
  bool idempotent = true;
  double work_ms = 50;                     // mean, on a core of speed 1
  double work_cv = 0.5;                    // coefficient of variation of lognormal work
  std::string distribution = "lognormal";  // of the work; or "exponential" or "constant"
  double attempt_noise = 0.2;              // coefficient of variation of an attempt's work over the request's
  double latency_objective_ms = 500;       // responses that take longer have no value
  double deadline_ms = 2500;               // of the client, over all retries
  double priority_weight = 1;              // value of a millisecond of work served in time

  void Describe(config::FieldVisitor& v);
};

struct Tenant {
  std::string name = "all";
  double share = 1;  // of the requests, relative to the other tenants
  double quota = 0;  // requests a second within its quota; 0: unlimited

  void Describe(config::FieldVisitor& v);
};

// The backoff of a client before it retries.
enum class ClientRetryMode { kNone, kImmediate, kFixed, kExponential };

struct ClientSettings {
  ClientRetryMode retry = ClientRetryMode::kFixed;
  int retries = 3;          // after the first request, at most
  double backoff_ms = 100;  // kFixed: the backoff; kExponential: upper bound of the first, with full jitter
  double request_timeout_share = 0.5;  // of the deadline, after which a client gives up and retries
  double retry_after_compliance = 0;   // share of clients that follow Retry-After
  double max_retry_after_ms = 0;       // longest Retry-After that they follow; 0: proxies send none
  double reconnect_ms = 1;             // delay before a client refused by one proxy connects to another
  double failure_detection_ms = 2000;  // until the front end detects that a proxy has crashed
  bool marks_retry = false;            // whether a client marks its retries as such

  void Describe(config::FieldVisitor& v);
};

struct BackendType {
  std::string name = "standard";
  double share = 1;  // of the backends, relative to the other types
  int cores = 1;
  double slots_per_core = 1;       // requests that run at once
  double speed = 1;                // of a core; mean over the backends
  double speed_cv = 0;             // its coefficient of variation over the backends
  int queue = 50;                  // longest queue; further requests are rejected unprocessed
  double congestion_start = 0;     // requests queued or running per slot above which it slows down; 0: never
  double congestion_slowdown = 0;  // share of its speed lost at twice `congestion_start`
  double slow_start_min_capacity = 1;  // share of its capacity right after a start
  double slow_start_window_s = 0;      // from a start to full capacity
  // In slow start a backend crashes when the work sent to it in the window exceeds this multiple of its
  // capacity, and more than random variation explains; 0: never.
  double overload_factor = 0;
  double overload_window_ms = 1000;
  double overload_deviations = 0;      // random variation: standard deviations plus 2 requests; 0: 3 requests
  double error_rate = 0;               // share of responses that are errors
  std::string cancelled = "runs_on";   // or "queued": queued jobs are dropped; "stops": running jobs too
  int connections = 0;                 // accepted at most; 0: unlimited
  double handshake_ms = 0;             // work for a new connection
  double cached_key_gain = 0;          // share of the work saved for a cached key
  double cached_key_s = 5;             // how long a key stays cached after its last use
  std::int64_t max_cached_keys = 100;  // per core

  void Describe(config::FieldVisitor& v);
};

// What a proxy's ring offset is derived from. By the offsets proxies divide the backends into subsets.
enum class RingOffsetSource { kProxyIndex, kRandom, kMembership };

struct FleetSettings {
  int backends = 12;
  int proxies = 3;
  int zones = 1;
  double zone_skew = 0;  // the first zone has 1 + this times the traffic of each other zone
  int cell_size = 4;     // backends per cell
  RingOffsetSource ring_offsets = RingOffsetSource::kProxyIndex;
  double membership_delay_ms = 3000;  // kMembership: until proxies know that one of them joined or left

  void Describe(config::FieldVisitor& v);
};

struct NetworkSettings {
  double client_ms = 0.5;  // one way, like the next two
  double same_zone_ms = 0.3;
  double cross_zone_ms = 2;
  double jitter = 0.15;        // coefficient of variation of each delay
  double loss = 0;             // share of messages that are lost and retransmitted
  double retransmit_ms = 200;  // first retransmission; doubled for each further one
  double handshake_rtts = 1;   // round trips to open a connection
  double connect_timeout_ms = 200;
  double idle_s = 60;  // a connection not used for this long is closed

  void Describe(config::FieldVisitor& v);
};

struct DiscoverySettings {
  bool polled = false;                      // updates go only to proxies that subscribed by a poll
  double detection_ms = 2000;               // until it detects that a process started, drains or exited
  double unresponsive_detection_ms = 8000;  // until it detects that a machine became unresponsive
  double propagation_ms = 300;              // longest delay of an update on its way to a proxy
  double calls_per_s = 1000;                // polls that it can answer
  double call_timeout_ms = 1000;            // a poll that would have to wait longer fails

  void Describe(config::FieldVisitor& v);
};

// The weights of the service objective. The policies are configured with them.
struct ObjectiveWeights {
  double overall = 1;
  double worst_class = 0;
  double worst_tenant = 0;

  void Describe(config::FieldVisitor& v);
};

// Tolerances of the rule checker, and limits that the policies are configured with.
struct ServiceRules {
  double response_slack_ms = 20;        // for a final response, after the request's timeout
  double drain_grace_ms = 500;          // for attempts to a draining or removed backend, after the update
  int max_attempts = 5;                 // per client request
  double cross_zone_cost = 0;           // of an attempt to another zone, as a share of the request's value
  double over_quota_weight = 1;         // factor of the value of requests beyond their tenant's quota
  double max_poll_interval_ms = 10000;  // this long after a proxy's last poll, changes count as known to it

  void Describe(config::FieldVisitor& v);
};

// The whole file.
struct Scenario {
  std::string title;
  double length_s = 30;  // of the arrivals; requests in progress then are completed
  double window_s = 1;   // of the time line
  WorkloadSettings load;
  std::vector<RequestClass> classes{RequestClass{}};
  std::vector<Tenant> tenants{Tenant{}};
  ClientSettings clients;
  std::vector<BackendType> backend_types{BackendType{}};
  FleetSettings fleet;
  NetworkSettings network;
  DiscoverySettings discovery;
  ServiceRules rules;
  ObjectiveWeights objective;
  std::vector<Fault> faults;

  void Describe(config::FieldVisitor& v);

  // Requests a second that the backends can serve after slow start, by the figures of the file (not those of
  // the drawn backends).
  double Capacity() const;
  // First requests a second.
  double Rate() const { return load.of_capacity > 0 ? load.of_capacity * Capacity() : load.rate; }
  double MaxDeadlineMs() const;
};

// Throws config::InvalidFile with all errors in the file.
Scenario ReadScenario(const std::string& file);

// The reference page of all keys, in Markdown, without its heading.
std::string ScenarioReference();

}  // namespace copperpoint::simulation

#endif  // COPPERPOINT_SIMULATION_SCENARIO_SCENARIO_H_
