// SPDX-License-Identifier: Apache-2.0
//
// A file of the rig (lab/rig/*.toml): how many members, what befalls which of them when, and what has to
// hold. The same file is played by processes and in virtual time.
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
  kLoss,       // of datagrams, `amount` of them
  kDelay,      // by `amount` ms more, and as much again by chance
  kDuplicate,  // `amount` of the datagrams come twice
  kReorder,    // `amount` of them come 1 to 50 ms later than they would
  kCorrupt,    // `amount` of them have a bit turned
  kBandwidth,  // `amount` bytes a second each way; what would wait for over half a second is dropped
  kCut,        // nothing passes, datagram or connection
  kStop,       // the process stands still
  kStarve,     // it stands still again and again, from `least_ms` to `most_ms` each time
  kKill,       // it ends without a word, and is started again after `for_s` (0: never)
  kLeave,      // it ends in good order; the same
  kStart,      // it is started only now
  kSlowStart,  // processes that start meanwhile stand still for `amount` seconds before they do anything
  kJump,  // its clock jumps ahead by `amount` seconds (processes: of a program built with the clock's seam)
  kReplace,  // it ends in good order, and the other program (`--other`) is started in its place; from 0 s on:
             // it begins with that one
  kChange,   // a rolling change by the plan `file` begins at the first of `who` (processes under keepers)
  kAbort,    // an operator aborts it there
  // Of the service (processes alone). `who` are backends, or the proxies whose way to `to` is cut.
  kFreeze,      // backends take requests and say nothing
  kFail,        // `amount` of their requests fail at once
  kSlow,        // they take `amount` times as long
  kReset,       // `amount` of their requests find the connection reset, half of these after they ran
  kDrain,       // discovery says that they want nothing new; after `for_s` that they serve again
  kRestart,     // they end, and are back cold after `for_s`, as discovery says of both
  kCutService,  // nothing passes between the proxies `who` and `to`: backends, or `discovery`
};

struct Fault {
  FaultKind kind = FaultKind::kKill;
  double at_s = 0, for_s = 0;  // for_s 0: to the end
  std::string when;  // `at_s` counts from when this first holds (conditions.h); empty: from the start
  std::vector<std::string> who{"all"};  // links: the senders
  std::vector<std::string> to;          // links: the receivers; none: all that are not in `who`
  bool both = true;                     // links: the way back too
  double amount = 1;
  double least_ms = 200, most_ms = 2000;
  std::string file;  // change: a plan, beside this file

  bool AffectsLinks() const { return kind <= FaultKind::kCut; }
  bool AffectsService() const { return kind >= FaultKind::kFreeze; }
  void Describe(config::FieldVisitor& v);
};

enum class PropertyKind {
  kSettlesWithin,  // after the last fault (or `after_s`) all living members have one view, the true one:
                   // seconds
  kKnownWithin,    // every end without a word is known to every member that lives on: seconds
  kNeverRemoved,   // at most `bound` times a member was taken for dead that lived and could be reached
  kBytesAtMost,  // a member's datagrams, each way, with 28 bytes of headers: bytes a second from `after_s` on
  kServedAtLeast,  // share of the requests from `after_s` on that clients saw served (processes alone)
  kRefusedSome,    // datagrams were refused, `bound` at least: the fault has worked
  kHoldersEven,    // at the end, proxies with a connection, by backend: their deviation over their mean is at
                   // most this
  kRunsAtEnd,      // at the end every member runs the version `version`
  kEverRan,        // at most this many members ever began `version`
  kTrafficShare,   // of what ran at backends from `after_s` to `until_s`, at most this share ran at `who`
};

struct Property {
  PropertyKind kind = PropertyKind::kSettlesWithin;
  double bound = 0;
  double after_s = -1;  // below 0: as the kind says
  double until_s = -1;  // traffic_share: below 0: the end
  std::vector<std::string> who{"backends"};
  std::string version = "v2";  // runs_at_end, ever_ran

  void Describe(config::FieldVisitor& v);
};

struct Network {
  double delay_ms = 0.3, jitter = 0.3, loss = 0;  // one way; in virtual time alone

  void Describe(config::FieldVisitor& v);
};

struct Service {
  int backends = 6;
  double work_ms = 10;
  int slots = 8;
  double rate = 100;  // requests a second over all proxies; 0: no clients
  // A new process of a backend: its share of its speed at first, until when that grows to the whole, and that
  // many times its capacity over how long it bears before it falls over.
  double slow_start_min_capacity = 0.2, warm_up_s = 1, overload_factor = 3, fall_ms = 1000;

  void Describe(config::FieldVisitor& v);
};

struct Plan {
  std::string about;
  int members = 12, zones = 3, seeds = 3;  // the first `seeds` members are asked first by all
  double length_s = 10;
  double start_spread_s = 0.5;  // over which members start
  bool keep = false;            // each process under a keeper, which has v1 (this program) and v2 (`--other`)
  std::string folder;           // of the file that was read
  Network network;
  Service service;
  std::vector<Fault> faults;
  std::vector<Property> properties;

  void Describe(config::FieldVisitor& v);
};

Plan ReadPlan(const std::string& file);
std::string NameOf(FaultKind kind);
std::string NameOf(PropertyKind kind);
std::string MemberName(int number);  // of the number-th, from 0
std::string ZoneName(const Plan& plan, int number);

// The members that words name: "all", "p3", "p3-p9", "zone:a", "seeds", "share:0.1" (drawn by the seed).
// Throws std::invalid_argument on a word that names none.
std::vector<int> SelectMembers(const Plan& plan, const std::vector<std::string>& words, std::uint64_t seed);

// The same of backends: "backends" (all), "b3", "b3-b5", "share:0.5"; and "discovery", which is kDiscovery.
constexpr int kDiscovery = -1;
std::vector<int> SelectBackends(const Plan& plan, const std::vector<std::string>& words, std::uint64_t seed);

// From when to when one member stands still under a `starve`, in seconds: stops and pauses as long as each
// other in the mean.
std::vector<std::pair<double, double>> PauseIntervals(const Plan& plan, const Fault& fault,
                                                      simulation::Random& random);

// When the last fault is over, of those that wait for nothing.
double LastFaultEnd(const Plan& plan);

}  // namespace copperpoint::fault_testing

#endif  // COPPERPOINT_FAULT_TESTING_PLAN_H_
