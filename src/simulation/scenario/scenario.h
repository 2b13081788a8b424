// SPDX-License-Identifier: Apache-2.0
//
// A scenario: what is simulated, for how long, and which faults happen when. Read from TOML (docs/lab.md
// describes each model). Every field is described once, in scenario.cpp, with its key in the file, for the
// reader, the writer and the reference page.
#ifndef COPPERPOINT_SIMULATION_SCENARIO_SCENARIO_H_
#define COPPERPOINT_SIMULATION_SCENARIO_SCENARIO_H_

#include <cstdint>
#include <string>
#include <vector>

#include "config/schema.h"
#include "simulation/scenario/fault.h"

namespace copperpoint::simulation {

enum class ArrivalShape { kSteady, kBursty, kDaily };

struct WorkloadSettings {
  double rate = 200;       // first requests a second
  double of_capacity = 0;  // if over 0: the rate is this share of what the warm backends can do
  ArrivalShape shape = ArrivalShape::kSteady;
  double swing = 0.3;       // amplitude of bursty and daily, as a share of the rate
  double period_s = 20;     // of the daily shape; mean length of a bursty spell
  std::string replay;       // a file of arrivals: at_ms,class,account,key,work_ms a line
  std::int64_t keys = 0;    // distinct keys; 0: requests carry none
  double zipf = 0.9;        // exponent of their popularity
  double hint_error = 0.3;  // deviation of the log of estimated over true work; below 0: no estimates

  void Describe(config::FieldVisitor& v);
};

struct RequestClass {
  std::string name = "lookup";
  double share = 1;  // of the requests
  bool idempotent = true;
  double work_ms = 50;  // on a core of speed 1
  double work_cv = 0.5;
  std::string distribution = "lognormal";  // of the work; or exponential, constant
  double attempt_noise = 0.2;              // coefficient of variation of an attempt's work over the request's
  double latency_objective_ms = 500;
  double deadline_ms = 2500;
  double priority_weight = 1;

  void Describe(config::FieldVisitor& v);
};

struct Tenant {
  std::string name = "all";
  double share = 1;  // of the traffic
  double quota = 0;  // requests a second within its share; 0: unlimited

  void Describe(config::FieldVisitor& v);
};

enum class ClientRetryMode { kNone, kImmediate, kFixed, kExponential };

struct ClientSettings {
  ClientRetryMode retry = ClientRetryMode::kFixed;
  int retries = 3;
  double backoff_ms = 100;             // fixed; the first of exponential, which has full jitter
  double request_timeout_share = 0.5;  // of the deadline, after which a request is given up and retried
  double retry_after_compliance = 0;   // share of clients that follow Retry-After
  double max_retry_after_ms = 0;       // the longest that they follow; 0: no Retry-After is sent
  double reconnect_ms = 1;             // until a refused connection is tried at another proxy
  double failure_detection_ms = 2000;  // until the front end notices that a proxy has crashed
  bool marks_retry = false;

  void Describe(config::FieldVisitor& v);
};

struct BackendType {
  std::string name = "standard";
  double share = 1;  // of the backends
  int cores = 1;
  double slots_per_core = 1;
  double speed = 1;
  double speed_cv = 0;
  int queue = 50;                      // requests that wait; beyond, requests are rejected unprocessed
  double congestion_start = 0;         // requests queued or in progress per slot that slow it down; 0: never
  double congestion_slowdown = 0;      // share of its speed lost with `congestion_start` more of them
  double slow_start_min_capacity = 1;  // share of its capacity right after a start
  double slow_start_window_s = 0;
  double overload_factor = 0;  // in slow start it crashes when sent more than this; 0: never
  double overload_window_ms = 1000;
  double overload_deviations = 0;  // standard deviations of chance tolerated beyond it; 0: three requests
  double error_rate = 0;
  std::string cancelled = "runs_on";  // or queued: waiting work is dropped; stops: all of it
  int connections = 0;                // that it accepts; 0: unlimited
  double handshake_ms = 0;            // its work for a new connection
  double cached_key_gain = 0;         // share of the work saved for a key in its cache
  double cached_key_s = 5;            // how long a key stays cached
  std::int64_t max_cached_keys = 100;

  void Describe(config::FieldVisitor& v);
};

// From what proxies take their ring offset, by which they divide the backends into subsets.
enum class RingOffsetSource { kProxyIndex, kRandom, kMembership };

struct FleetSettings {
  int backends = 12;
  int proxies = 3;
  int zones = 1;
  double zone_skew = 0;  // of the traffic: the first zone has this much more than its even share
  int cell_size = 4;
  RingOffsetSource ring_offsets = RingOffsetSource::kProxyIndex;
  double membership_delay_ms = 3000;  // until proxies know that one of them came or went

  void Describe(config::FieldVisitor& v);
};

struct NetworkSettings {
  double client_ms = 0.5;  // one way, as the next two
  double same_zone_ms = 0.3;
  double cross_zone_ms = 2;
  double jitter = 0.15;  // coefficient of variation of each delay
  double loss = 0;       // share of messages that are sent again after `retransmit_ms`
  double retransmit_ms = 200;
  double handshake_rtts = 1;
  double connect_timeout_ms = 200;
  double idle_s = 60;  // a connection not used for this long is closed

  void Describe(config::FieldVisitor& v);
};

struct DiscoverySettings {
  bool polled = false;                      // updates go only to proxies that subscribed
  double detection_ms = 2000;               // until it knows that a process started, drains or exited
  double unresponsive_detection_ms = 8000;  // the same of a machine that became unresponsive
  double propagation_ms = 300;              // over which an update reaches the proxies
  double calls_per_s = 1000;                // that it can answer
  double call_timeout_ms = 1000;

  void Describe(config::FieldVisitor& v);
};

// The weights of the service objective, which the policies are given.
struct ObjectiveWeights {
  double overall = 1;
  double worst_class = 0;
  double worst_tenant = 0;

  void Describe(config::FieldVisitor& v);
};

// What the rule checker tolerates, and limits that the policies are given.
struct ServiceRules {
  double response_slack_ms = 20;  // after a request's timeout, for its final response
  double drain_grace_ms = 500;    // after an update, for the last attempt sent to a draining backend
  int max_attempts = 5;
  double cross_zone_cost = 0;
  double over_quota_weight = 1;
  double max_poll_interval_ms = 10000;

  void Describe(config::FieldVisitor& v);
};

struct Scenario {
  std::string title;
  double length_s = 30;
  double window_s = 1;  // of the time line
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

  // Requests a second that the warm backends can do, by the figures of the file (not of drawn backends).
  double Capacity() const;
  double Rate() const { return load.of_capacity > 0 ? load.of_capacity * Capacity() : load.rate; }
  double MaxDeadlineMs() const;
};

// Throws config::InvalidFile with all errors.
Scenario ReadScenario(const std::string& file);

// The reference of all keys, in Markdown.
std::string ScenarioReference();

}  // namespace copperpoint::simulation

#endif  // COPPERPOINT_SIMULATION_SCENARIO_SCENARIO_H_
