// SPDX-License-Identifier: Apache-2.0
//
// A fault test plan (lab/rig/*.toml): the number of members, which faults occur at which members and when,
// and the properties that must hold. The same file runs with real processes and in virtual time.
#ifndef COPPERPOINT_FAULT_TESTING_PLAN_H_
#define COPPERPOINT_FAULT_TESTING_PLAN_H_

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "config/schema.h"
#include "membership/options.h"
#include "simulation/core/random.h"

namespace copperpoint::fault_testing {

enum class FaultKind {
  kLoss,       // a share `amount` of the datagrams is lost
  kDelay,      // delivery is delayed by `amount` ms plus a random 0 to `amount` ms
  kDuplicate,  // a share `amount` of the datagrams is delivered twice
  kReorder,    // a share `amount` of the datagrams is delayed by another 1 to 50 ms
  kCorrupt,    // a share `amount` of the datagrams has one bit flipped
  kBandwidth,  // `amount` bytes a second each way; a datagram that would queue for over half a second is
               // dropped
  kCut,        // no datagram and no connection data passes
  kStop,       // the process is paused
  kStarve,     // the process is paused repeatedly, for `least_ms` to `most_ms` each time
  kKill,       // the process is killed without leaving, and restarted after `for_s` (0: never)
  kLeave,      // the process leaves and exits, and is restarted after `for_s` (0: never)
  kStart,      // the process is not started before this time
  kSlowStart,  // processes that start while this lasts are paused for their first `amount` seconds
  kJump,       // the clock jumps ahead by `amount` seconds (processes: the program must be built with
               // COPPERPOINT_CLOCK_SEAM)
  kReplace,    // the process leaves and the other program (`--other`) starts in its place; at 0 s the member
               // starts with the other program
  kChange,     // a rollout of the plan `file` is started at the first of `who` (processes under supervisors)
  kAbort,      // an operator aborts the rollout at the first of `who`
  kReload,     // the configuration names another address of discovery and the process gets SIGHUP; the old
               // address refuses connections, and closes the open ones after 1.5 s (processes only)
  // Service faults, with processes only. `who` are backends, or the proxies that are cut off from `to`.
  kFreeze,   // backends accept requests and do not respond
  kFail,     // a share `amount` of the requests fails at once; at `discovery`: of each proxy's calls, evenly
             // spaced, `amount` are rejected after 1 s
  kSlow,     // requests take `amount` times as long
  kReset,    // for a share `amount` of the requests the connection is reset, half of these after execution
  kDrain,    // discovery reports the backends as terminating; after `for_s` as in service again
  kRestart,  // the backends exit, and start again cold after `for_s`; discovery reports both
  kCutService,  // nothing passes between the proxies `who` and `to`: backends, or `discovery`
};

struct Fault {
  FaultKind kind = FaultKind::kKill;
  double at_s = 0, for_s = 0;  // for_s 0: until the end of the run
  std::string when;            // the condition from which `at_s` counts (conditions.h); empty: from the start
  std::vector<std::string> who{"all"};  // link faults: the senders
  std::vector<std::string> to;  // link faults: the receivers; empty: all members that are not in `who`
  bool both = true;             // link faults: the reverse direction too
  double amount = 1;
  double least_ms = 200, most_ms = 2000;
  std::string file;  // change: a rollout plan, relative to the folder of this plan

  bool AffectsLinks() const { return kind <= FaultKind::kCut; }
  bool AffectsService() const { return kind >= FaultKind::kFreeze; }
  void Describe(config::FieldVisitor& v);
};

enum class PropertyKind {
  kSettlesWithin,  // all running members agree on the true membership within `bound` seconds of the end
                   // of the last fault (or of `after_s`)
  kKnownWithin,    // every crash is detected by every member that keeps running within `bound` seconds
  kNeverRemoved,   // at most `bound` times, a running and reachable member is declared dead
  kBytesAtMost,    // no member sends or receives more than `bound` bytes a second of datagrams from `after_s`
                   // on, including 28 bytes of headers each
  kServedAtLeast,  // clients see at least this share of the requests from `after_s` on served (processes
                   // only)
  kRefusedSome,    // at least `bound` datagrams are rejected, which shows that the fault took effect
  kHoldersEven,    // at the end, the number of connected proxies by backend has at most this coefficient of
                   // variation
  kRunsAtEnd,      // at the end every running member runs `version`
  kEverRan,        // at most `bound` members ever started `version`
  kTrafficShare,  // of the executions at backends from `after_s` to `until_s`, at most this share is at `who`
};

struct Property {
  PropertyKind kind = PropertyKind::kSettlesWithin;
  double bound = 0;
  double after_s = -1;  // negative: the default of the kind
  double until_s = -1;  // traffic_share; negative: the end of the run
  std::vector<std::string> who{"backends"};
  std::string version = "v2";  // runs_at_end, ever_ran

  void Describe(config::FieldVisitor& v);
};

struct Network {
  double delay_ms = 0.3, jitter = 0.3, loss = 0;  // one way; only used in virtual time

  void Describe(config::FieldVisitor& v);
};

struct Service {
  int backends = 6;
  double work_ms = 10;
  int slots = 8;
  double rate = 100;              // requests a second over all proxies; 0: no clients
  bool polled_discovery = false;  // proxies have to poll discovery where they have no watch
  // Cold start of a backend: its initial share of full capacity, the seconds until it reaches full capacity,
  // and the load, as a multiple of its capacity over `fall_ms`, at which it becomes overloaded and ends.
  double slow_start_min_capacity = 0.2, warm_up_s = 1, overload_factor = 3, fall_ms = 1000;

  void Describe(config::FieldVisitor& v);
};

struct Plan {
  std::string about;
  int members = 12, zones = 3, seeds = 3;  // the first `seeds` members are the seed addresses of all
  double length_s = 10;
  double start_spread_s = 0.5;  // members start at random times within this
  bool keep = false;   // runs each process under a supervisor with v1 (this program) and v2 (`--other`)
  std::string folder;  // the folder of the plan file
  Network network;
  Service service;
  std::vector<Fault> faults;
  std::vector<Property> properties;

  void Describe(config::FieldVisitor& v);
};

Plan ReadPlan(const std::string& file);
std::string NameOf(FaultKind kind);
std::string NameOf(PropertyKind kind);
std::string MemberName(int number);  // `number` counts from 0
std::string ZoneName(const Plan& plan, int number);

// The members selected by `words`: "all", "p3", "p3-p9", "zone:a", "seeds", "share:0.1" (drawn with `seed`).
// Throws std::invalid_argument if a word selects no member.
std::vector<int> SelectMembers(const Plan& plan, const std::vector<std::string>& words, std::uint64_t seed);

// Likewise for backends: "backends" (all), "b3", "b3-b5", "share:0.5", and "discovery" for kDiscovery.
constexpr int kDiscovery = -1;
std::vector<int> SelectBackends(const Plan& plan, const std::vector<std::string>& words, std::uint64_t seed);

// The intervals, in seconds, during which a `starve` fault pauses one member. Pauses and the times between
// them have the same distribution of lengths.
std::vector<std::pair<double, double>> PauseIntervals(const Plan& plan, const Fault& fault,
                                                      simulation::Random& random);

// The time in seconds at which the last fault ends, among those without a condition.
double LastFaultEnd(const Plan& plan);

}  // namespace copperpoint::fault_testing

#endif  // COPPERPOINT_FAULT_TESTING_PLAN_H_
