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
  Time period = milliseconds(200);            // one probe each
  Time direct = milliseconds(80);             // a probe that is unanswered so long goes through others too
  int helpers = 3;                            // so many others
  Time silence = milliseconds(2500);          // without a sign of life that anybody told of, before a death
  Time least_suspicion = milliseconds(1000);  // from the first accusation to a death
  int longest = 4;                            // times `silence`: a death that nobody else confirms
  int witnesses = 4;                          // who probe a suspect besides its accuser
  Time gossip = milliseconds(100);            // between rounds, while there is something to tell
  int fanout = 3;                             // members told in a round
  int retransmit = 4;                         // times log10(n + 1): how often a claim is passed on by each
  Time starved = milliseconds(200);           // a wake later than this means that this process stood still
  Time quiet = milliseconds(400);             // views that differ for so long without news are compared whole
  Time retry = milliseconds(1000);            // one of those thought dead is asked whether it lives
  Time tombstone = std::chrono::minutes(10);  // the dead are remembered
  std::size_t most_members = 20000;           // living and dead
  std::size_t most_news = 4096;               // claims waiting to be passed on
  std::size_t most_told = 64 * 1024;          // bytes a second of claims in datagrams; what is over waits
  std::size_t most_letter = 900;              // bytes that one part may say to another member at once
  std::size_t most_bag = 16, most_value = 64, most_name = 64;  // values of a member; bytes of one; of a name

  // Switched off only to show what each is worth (docs/view.md).
  bool with_suspicion = true, with_own_time = true, with_helpers = true, with_sync = true;
};

}  // namespace copperpoint::membership

#endif  // COPPERPOINT_MEMBERSHIP_OPTIONS_H_
