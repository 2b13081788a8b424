// SPDX-License-Identifier: Apache-2.0
//
// Periods, timeouts and limits of the membership. docs/membership.md derives each bound on detection and
// dissemination from them.
#ifndef COPPERPOINT_MEMBERSHIP_OPTIONS_H_
#define COPPERPOINT_MEMBERSHIP_OPTIONS_H_

#include <chrono>
#include <cstddef>

namespace copperpoint::membership {

// The time since an origin that the host chooses. Times of two machines are never compared.
using Time = std::chrono::microseconds;
using std::chrono::milliseconds;

// The time at which a timer that is not running is due.
inline constexpr Time kNever = Time::max() / 2;

struct Options {
  // Each member sends one direct probe in each period.
  Time probe_period = milliseconds(200);
  // A direct probe that is not answered for this time is repeated through other members.
  Time direct_probe_timeout = milliseconds(80);
  // The number of other members that repeat an unanswered probe.
  int indirect_probes = 3;
  // A suspect is declared dead only after no member has had contact with it for this time.
  Time contact_timeout = milliseconds(2500);
  // The least time from the first accusation to a death.
  Time min_suspicion = milliseconds(1000);
  // A suspect that only one member accuses is declared dead after this number of contact_timeouts.
  int max_suspicion_factor = 4;
  // The number of members that probe a suspect besides its accuser.
  int confirmers = 4;
  // The time between two rounds of gossip while claims are queued.
  Time gossip_period = milliseconds(100);
  // The number of recipients of a round.
  int fanout = 3;
  // Each member sends a claim this many times log10(n + 1), rounded up, where n is the number of living
  // members.
  int retransmit_factor = 4;
  // A timer that fires later than this shows that the process was paused.
  Time delayed_wakeup = milliseconds(200);
  // Two tables that have differed for this time without a change are synchronized.
  Time sync_delay = milliseconds(400);
  // The time between two probes of members that are marked dead.
  Time reconnect_period = milliseconds(1000);
  // The time for which a member that died or left is remembered.
  Time tombstone_lifetime = std::chrono::minutes(10);
  // The greatest number of living members and tombstones together.
  std::size_t max_members = 20000;
  std::size_t max_queued_claims = 4096;
  // The bytes of claims that a member sends in datagrams per second; further claims wait.
  std::size_t max_gossip_bytes_per_s = std::size_t{64} * 1024;
  // The bytes in the body of an application message.
  std::size_t max_message_bytes = 900;
  // The number of values that a member publishes, and the bytes of each.
  std::size_t max_metadata_entries = 16;
  std::size_t max_metadata_value_bytes = 64;
  // The bytes of a name, an address, a zone, a program version, a settings version or a metadata key.
  std::size_t max_name_bytes = 64;

  // Mechanisms that only experiments switch off, to show what each contributes (docs/membership.md).
  bool with_suspicion = true, with_delayed_wakeups = true, with_indirect_probes = true,
       with_anti_entropy = true;
};

}  // namespace copperpoint::membership

#endif  // COPPERPOINT_MEMBERSHIP_OPTIONS_H_
