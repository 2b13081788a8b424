// SPDX-License-Identifier: Apache-2.0
//
// Records which members are suspected and by whom, and decides when a suspect is declared dead.
#ifndef COPPERPOINT_MEMBERSHIP_SUSPICION_TABLE_H_
#define COPPERPOINT_MEMBERSHIP_SUSPICION_TABLE_H_

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "membership/options.h"

namespace copperpoint::membership {

struct Suspicion {
  std::uint32_t refutation_number = 0;  // the suspect's number when the suspicion started
  Time since{};
  std::vector<std::string> accusers;  // names; the first accuser started the suspicion
  bool confirmer = false;             // whether this member is one of the confirmers
  Time confirmer_since{};
  Time last_probe{};  // the last probe that this member sent as a confirmer
};

// Only the confirmers of a suspicion declare a death: the accuser, and the `confirmers` members that a hash
// of both names selects. A confirmer probes the suspect directly in every probe period, so that a suspect
// that was only paused answers all confirmers when it resumes, before any of them may decide:
//   with two accusers, the suspect is declared dead at
//     max(since + min_suspicion, last_contact + contact_timeout, confirmer_since + 4 probe periods);
//   with one accuser, at the later of that time and since + max_suspicion_factor * contact_timeout.
// last_contact is the latest contact that any member reported: a member that sends is not declared dead.
//
// Owns the suspicions, by the suspect's index in the member table.
class SuspicionTable {
 public:
  static constexpr std::size_t kMaxAccusers = 4;
  // The number of probe periods for which a confirmer probes before it decides.
  static constexpr int kMinConfirmerPeriods = 4;
  static constexpr std::size_t kAccusersNeeded = 2;

  explicit SuspicionTable(const Options& options) : options_(options) {}

  // Return the suspicion of the member with this index, or nullptr if it is not suspected.
  Suspicion* Find(int index) {
    const auto found = suspicions_.find(index);
    return found == suspicions_.end() ? nullptr : &found->second;
  }
  const Suspicion* Find(int index) const {
    const auto found = suspicions_.find(index);
    return found == suspicions_.end() ? nullptr : &found->second;
  }
  Suspicion& Start(int index, std::uint32_t refutation_number, Time since) {
    return suspicions_[index] =
               Suspicion{refutation_number, since, {}, false, {}, since - options_.probe_period};
  }
  void End(int index) { suspicions_.erase(index); }

  // Adds an accuser and returns its number, from 0. Returns -1 if it is one already, or if the suspicion has
  // kMaxAccusers.
  static int AddAccuser(Suspicion& suspicion, std::string_view accuser) {
    auto& accusers = suspicion.accusers;
    if (accusers.size() >= kMaxAccusers) return -1;
    if (std::find(accusers.begin(), accusers.end(), accuser) != accusers.end()) return -1;
    accusers.emplace_back(accuser);
    return static_cast<int>(accusers.size()) - 1;
  }
  static void MakeConfirmer(Suspicion& suspicion, Time now) {
    if (suspicion.confirmer) return;
    suspicion.confirmer = true;
    suspicion.confirmer_since = now;
  }

  // Returns whether the suspect is to be declared dead. `healthy` is the number of members, this one
  // included, that are living and not suspected.
  bool HasFailed(const Suspicion& suspicion, Time last_contact, std::size_t healthy, Time now) const {
    if (!options_.with_suspicion) return true;
    if (now < last_contact + options_.contact_timeout) return false;
    if (!suspicion.confirmer ||
        now < suspicion.confirmer_since + kMinConfirmerPeriods * options_.probe_period)
      return false;
    const std::size_t needed = std::min(kAccusersNeeded, std::max<std::size_t>(1, healthy));
    if (suspicion.accusers.size() >= needed && now >= suspicion.since + options_.min_suspicion) return true;
    return now >= suspicion.since + options_.max_suspicion_factor * options_.contact_timeout;
  }
  // Returns whether the confirmers should have decided by now, in which case this member becomes one of them.
  bool IsOverdue(const Suspicion& suspicion, Time now) const {
    return !suspicion.confirmer && now >= suspicion.since + options_.contact_timeout + options_.min_suspicion;
  }

  std::map<int, Suspicion>& all() { return suspicions_; }
  std::size_t size() const { return suspicions_.size(); }
  bool empty() const { return suspicions_.empty(); }

 private:
  const Options& options_;
  std::map<int, Suspicion> suspicions_;
};

}  // namespace copperpoint::membership

#endif  // COPPERPOINT_MEMBERSHIP_SUSPICION_TABLE_H_
