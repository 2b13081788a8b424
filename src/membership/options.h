// SPDX-License-Identifier: Apache-2.0
//
// Periods, timeouts and limits of the membership. docs/membership.md derives each bound on detection and
// dissemination from them.
#ifndef COPPERPOINT_MEMBERSHIP_OPTIONS_H_
#define COPPERPOINT_MEMBERSHIP_OPTIONS_H_

#include <chrono>
#include <cstddef>

namespace copperpoint::membership {

// Since an origin that the host chooses. Times of two machines are never compared.
using Time = std::chrono::microseconds;
using std::chrono::milliseconds;

// A timer that is not running.
inline constexpr Time kNever = Time::max() / 2;

struct Options {
  Time probe_period = milliseconds(200);         // one direct probe in each
  Time direct_probe_timeout = milliseconds(80);  // an unanswered probe is repeated through other members then
  int indirect_probes = 3;                       // other members that repeat it
  Time contact_timeout = milliseconds(2500);     // without contact with any member, before a death
  Time min_suspicion = milliseconds(1000);       // from the first accusation to a death
  int max_suspicion_factor = 4;  // contact_timeouts until a death that no other member has confirmed
  int confirmers = 4;            // members that probe a suspect besides its accuser
  Time gossip_period = milliseconds(100);  // between rounds, while claims are queued
  int fanout = 3;                          // recipients of a round
  int retransmit_factor = 4;               // times log10(n + 1): transmissions of a claim by each member
  Time delayed_wakeup =
      milliseconds(200);                // a timer that fires later than this shows that the process paused
  Time sync_delay = milliseconds(400);  // tables that differ for so long without a change are synchronized
  Time reconnect_period = milliseconds(1000);          // between probes of members thought dead
  Time tombstone_lifetime = std::chrono::minutes(10);  // how long a member that died or left is remembered
  std::size_t max_members = 20000;                     // living ones and tombstones
  std::size_t max_queued_claims = 4096;
  std::size_t max_gossip_bytes_per_s =
      std::size_t{64} * 1024;             // of claims in datagrams; claims beyond it wait
  std::size_t max_message_bytes = 900;    // body of an application message
  std::size_t max_metadata_entries = 16;  // values that a member publishes
  std::size_t max_metadata_value_bytes = 64;
  std::size_t max_name_bytes = 64;  // of a name, an address, a zone, a version, or a key of metadata

  // Off only in experiments that show what each contributes (docs/membership.md).
  bool with_suspicion = true, with_delayed_wakeups = true, with_indirect_probes = true,
       with_anti_entropy = true;
};

}  // namespace copperpoint::membership

#endif  // COPPERPOINT_MEMBERSHIP_OPTIONS_H_
