// SPDX-License-Identifier: Apache-2.0
//
// How fast and how patient the view is. docs/view.md has each bound as a formula of these.
#ifndef COPPERPOINT_MEMBERSHIP_OPTIONS_H_
#define COPPERPOINT_MEMBERSHIP_OPTIONS_H_

#include <chrono>
#include <cstddef>

namespace copperpoint::membership {

// Since an origin of the host's own. No time of one machine is compared with another's.
using Time = std::chrono::microseconds;
using std::chrono::milliseconds;

struct Options {
  Time probe_period = milliseconds(200);         // one probe each
  Time direct_probe_timeout = milliseconds(80);  // a probe that is unanswered so long goes through others too
  int indirect_probes = 3;                       // so many others
  Time contact_timeout = milliseconds(2500);     // without a contact that anybody told of, before a death
  Time min_suspicion = milliseconds(1000);       // from the first accusation to a death
  int max_suspicion_factor = 4;                  // times `silence`: a death that nobody else confirms
  int confirmers = 4;                            // who probe a suspect besides its accuser
  Time gossip_period = milliseconds(100);        // between rounds, while there is something to tell
  int fanout = 3;                                // members told in a round
  int retransmit_factor = 4;                     // times log10(n + 1): how often a claim is passed on by each
  Time delayed_wakeup = milliseconds(200);       // a wake later than this means that this process stood still
  Time sync_delay = milliseconds(400);  // views that differ for so long without news are compared whole
  Time reconnect_period = milliseconds(1000);          // one of those thought dead is asked whether it lives
  Time tombstone_lifetime = std::chrono::minutes(10);  // the dead are remembered
  std::size_t max_members = 20000;                     // living and dead
  std::size_t max_queued_claims = 4096;                // claims waiting to be passed on
  std::size_t max_gossip_bytes_per_s =
      64 * 1024;                        // bytes a second of claims in datagrams; what is over waits
  std::size_t max_message_bytes = 900;  // bytes that one part may say to another member at once
  std::size_t max_metadata_entries = 16, max_metadata_value_bytes = 64,
              max_name_bytes = 64;  // values of a member; bytes of one; of a name

  // Switched off only to show what each is worth (docs/view.md).
  bool with_suspicion = true, with_delayed_wakeups = true, with_indirect_probes = true,
       with_anti_entropy = true;
};

}  // namespace copperpoint::membership

#endif  // COPPERPOINT_MEMBERSHIP_OPTIONS_H_
