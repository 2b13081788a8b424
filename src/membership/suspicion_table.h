// SPDX-License-Identifier: Apache-2.0
//
// Which members are suspected and by whom, and the rule on when a suspicion becomes a death.
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
  std::uint32_t refutation_number = 0;  // of the suspect
  Time since{};
  std::vector<std::string> accusers;  // names; the first began the suspicion
  bool confirmer = false;             // this member is one of its confirmers
  Time confirmer_since{};
  Time last_probe{};  // by this confirmer
};

// Only confirmers declare a death early: the accuser, and the `confirmers` members that a hash of both names
// picks. A confirmer probes its suspect directly, again and again, so that one that merely paused answers all
// confirmers at once when it wakes, before any of them may decide:
//   dead at  max(since + min_suspicion, last_contact + contact_timeout, confirmer_since + 4 probe periods)
//            with two accusers;
//   dead at  max(since + max_suspicion_factor * contact_timeout, the same)  with one.
// last_contact is the latest that any member reported: a member that sends is not declared dead.
//
// Owns the suspicions, by the suspect's index in the member table.
class SuspicionTable {
 public:
  static constexpr std::size_t kMaxAccusers = 4;
  static constexpr int kMinConfirmerPeriods =
      4;  // probe periods for which a confirmer probes before it decides
  static constexpr std::size_t kAccusersNeeded = 2;

  explicit SuspicionTable(const Options& options) : options_(options) {}

  // nullptr: not suspected.
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

  // The accuser's number among those that count, from 0; -1: it is known, or there are enough.
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

  // Whether the suspect is dead. `healthy` members, this one included, are living and not suspected.
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
  // Whether the confirmers should have decided long ago: this member becomes one of them then.
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
