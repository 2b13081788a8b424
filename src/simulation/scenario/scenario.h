// SPDX-License-Identifier: Apache-2.0
//
// A scenario: what is emulated, for how long, and what goes wrong when. Read from TOML (docs/lab.md tells
// each model); every field is described once, in scenario.cpp, for the reader, the writer and the reference.
#ifndef COPPERPOINT_SIMULATION_SCENARIO_SCENARIO_H_
#define COPPERPOINT_SIMULATION_SCENARIO_SCENARIO_H_

#include <cstdint>
#include <string>
#include <vector>

#include "config/schema.h"

namespace copperpoint::simulation {

// All times in the file are milliseconds unless the key ends in `_s`.

enum class Shape { kSteady, kBursty, kDaily };

struct Load {
  double rate = 200;       // first tries a second
  double of_capacity = 0;  // if over 0: the rate is this share of what the warm fleet can do
  Shape shape = Shape::kSteady;
  double swing = 0.3;       // amplitude of bursty and daily, as a share of the rate
  double period_s = 20;     // of the daily shape; mean length of a bursty spell
  std::string replay;       // a file of arrivals: at_ms,class,account,key,work_ms a line
  std::int64_t keys = 0;    // distinct keys; 0: requests carry none
  double zipf = 0.9;        // exponent of their popularity
  double hint_error = 0.3;  // deviation of the log of hinted over true work; below 0: no hints

  void Describe(config::Visitor& v);
};

struct RequestClass {
  std::string name = "lookup";
  double share = 1;
  bool safe = true;
  double work_ms = 50;  // on a core of speed 1
  double work_cv = 0.5;
  std::string distribution = "lognormal";  // or exponential, constant
  double attempt_noise = 0.2;              // cv of one attempt's work over the request's
  double aim_ms = 500, deadline_ms = 2500;
  double worth = 1;

  void Describe(config::Visitor& v);
};

struct Account {
  std::string name = "all";
  double share = 1;  // of the traffic
  double quota = 0;  // requests a second within its share; 0: no bound

  void Describe(config::Visitor& v);
};

enum class Retry { kNone, kImmediate, kFixed, kExponential };

struct Clients {
  Retry retry = Retry::kFixed;
  int retries = 3;
  double backoff_ms = 100;    // fixed; the first of exponential, which has full jitter
  double try_share = 0.5;     // a try is given up after this share of the deadline
  double honour = 0;          // share of clients that follow Retry-After
  double retry_after_ms = 0;  // the longest that they follow; 0: they are not told
  double reconnect_ms = 1;    // until a refused connection is tried elsewhere
  double notice_ms = 2000;    // until the front notices that a proxy is dead
  bool marks_retry = false;

  void Describe(config::Visitor& v);
};

struct Machine {
  std::string name = "standard";
  double share = 1;
  int cores = 1;
  double slots_per_core = 1;
  double speed = 1, speed_cv = 0;
  int queue = 50;                      // waiting room; beyond, requests are turned away unseen
  double crowd_at = 0;                 // requests held, a slot, from which it gets slower; 0: never
  double crowding = 0;                 // share of its speed lost with as many held again
  double slow_start_min_capacity = 1;  // share of its capacity right after a start
  double warm_up_s = 0;
  double overload_factor = 0;  // a cold one falls over when sent more than this; 0: never
  double fall_ms = 1000;
  double fall_roots = 0;  // what chance may add to it; 0: three requests
  double error_rate = 0;
  std::string cancelled = "runs_on";  // or queued: waiting work is dropped; stops: all of it
  int connections = 0;                // that it accepts; 0: any number
  double handshake_ms = 0;            // its work for a new connection
  double warm_key_gain = 0;           // share of the work saved for a key met lately
  double warm_key_s = 5;
  std::int64_t key_affinity = 100;  // that it remembers

  void Describe(config::Visitor& v);
};

// By what proxies that keep to subsets divide the backends.
enum class Positions { kNumber, kChance, kView };

struct Fleet {
  int backends = 12;
  int proxies = 3;
  int zones = 1;
  double zone_skew = 0;  // of the traffic: the first zone has this much more than its even share
  int cell_size = 4;
  Positions positions = Positions::kNumber;
  double view_ms = 3000;  // where they keep one: until they know that one of them came or went

  void Describe(config::Visitor& v);
};

struct Wires {
  double client_ms = 0.5, same_zone_ms = 0.3, cross_zone_ms = 2;  // one way
  double jitter = 0.15;                                           // cv of each delay
  double loss = 0;  // share of messages that are sent again after `retransmit_ms`
  double retransmit_ms = 200;
  double handshake_rtts = 1;
  double connect_timeout_ms = 200;
  double idle_s = 60;  // a connection not used for this long is closed

  void Describe(config::Visitor& v);
};

struct Registry {
  bool ask = false;                // changes come only to those that subscribed
  double notice_ms = 2000;         // until it knows that a process started, drains or ended
  double silent_notice_ms = 8000;  // the same of a machine that went silent
  double spread_ms = 300;          // over which news reach the proxies
  double calls_per_s = 1000;       // that it can answer
  double call_timeout_ms = 1000;

  void Describe(config::Visitor& v);
};

// What the operators judge by: weights, as the policies are told.
struct Goals {
  double whole = 1, worst_class = 0, worst_account = 0;

  void Describe(config::Visitor& v);
};

struct Rules {
  double answer_slack_ms = 20;
  double drain_grace_ms = 500;
  int max_attempts = 5;
  double cross_zone_price = 0;
  double over_quota_weight = 1;
  double must_ask_ms = 10000;

  void Describe(config::Visitor& v);
};

enum class TroubleKind {
  kPauses,        // backends stand still for size ms, about every `every_ms`
  kStall,         // backends stand still from its beginning to its end
  kVanish,        // machines go silent, come back cold at the end
  kFastErrors,    // backends fail `size` of their requests at once
  kSlow,          // backends take `size` times as long, their health still fine
  kLostZone,      // all of a zone's machines go silent
  kCut,           // nothing gets from `from_zone` to `to_zone`
  kBurst,         // traffic times `size`
  kRelease,       // backends drain and restart, `size` of them at a time
  kProxyRelease,  // proxies are replaced: planned (drained, then stopped)
  kProxyKill,     // proxies die, and start again at the end
  kPoison,        // requests of one key crash the backend that runs them
  kOutage,        // every backend's process dies, and starts again cold at the end
  kDiscoveryDown,
  kOverbooked,   // discovery can answer only `size` times its calls
  kLostAnswers,  // `size` of the answers never arrive, though the work was done
  kResets,       // `size` of the requests find their connection reset under them
  kImpatience,   // `part` of the clients give each try up after `size` ms, and come again at once
};

struct Trouble {
  TroubleKind kind = TroubleKind::kPauses;
  double at_s = 0, for_s = 1e9;
  double part = 0.2;  // of the backends or proxies, at least one
  double size = 1;
  double every_ms = 1000;
  int from_zone = 0, to_zone = 0;

  void Describe(config::Visitor& v);
};

struct Scenario {
  std::string title;
  double length_s = 30;
  double window_s = 1;  // of the time line
  Load load;
  std::vector<RequestClass> classes{RequestClass{}};
  std::vector<Account> accounts{Account{}};
  Clients clients;
  std::vector<Machine> machines{Machine{}};
  Fleet fleet;
  Wires network;
  Registry discovery;
  Rules rules;
  Goals goal;
  std::vector<Trouble> troubles;

  void Describe(config::Visitor& v);

  // Requests a second that the warm fleet can do, from the figures of the file (not of a drawn day).
  double Capacity() const;
  double Rate() const { return load.of_capacity > 0 ? load.of_capacity * Capacity() : load.rate; }
};

// Throws config::BadFile with all faults.
Scenario ReadScenario(const std::string& file);

// The reference of all keys, in Markdown.
std::string ScenarioReference();

}  // namespace copperpoint::simulation

#endif  // COPPERPOINT_SIMULATION_SCENARIO_SCENARIO_H_
