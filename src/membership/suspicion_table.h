// SPDX-License-Identifier: Apache-2.0
//
// Who is suspected, by whom, and when a suspicion becomes a death.
//
// Only a confirmer declares a death early: the accuser, and the `witnesses` members that a hash of both names
// picks. A confirmer probes its suspect again and again, straight, so that one that merely stood still
// answers all that has piled up when it wakes, to every confirmer at once, before any of them may decide:
//   dead at  max(since + min_suspicion, heard + silence, confirmer_since + 4 periods)  where two members
//   accuse; dead at  max(since + longest * silence, the same)  where nobody confirms;
// `heard` being the latest contact that anybody told of. What speaks is not
// declared dead.
#ifndef COPPERPOINT_MEMBERSHIP_SUSPICION_TABLE_H_
#define COPPERPOINT_MEMBERSHIP_SUSPICION_TABLE_H_

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "membership/options.h"

namespace copperpoint::membership {

struct Suspicion {
  std::uint32_t refutation_number = 0;
  Time since{};
  std::vector<std::string> accusers;
  bool confirmer = false;  // this member is one of its judges
  Time confirmer_since{};
  Time asked{};  // when this confirmer asked it last
};

class SuspicionTable {
 public:
  static constexpr std::size_t kMaxAccusers = 4;
  static constexpr int kMinConfirmerPeriods = 4;  // a confirmer's own questions, a period each
  explicit SuspicionTable(const Options& options) : options_(options) {}

  Suspicion* Find(int at) {
    const auto found = of_.find(at);
    return found == of_.end() ? nullptr : &found->second;
  }
  Suspicion& Begin(int at, std::uint32_t refutation_number, Time since) {
    return of_[at] = Suspicion{refutation_number, since, {}, false, {}, since - options_.probe_period};
  }
  void End(int at) { of_.erase(at); }
  // The number of this accuser among those that count; -1: it changes nothing.
  static int Accuse(Suspicion& of, std::string_view by) {
    if (of.accusers.size() >= kMaxAccusers) return -1;
    if (std::find(of.accusers.begin(), of.accusers.end(), by) != of.accusers.end()) return -1;
    of.accusers.emplace_back(by);
    return static_cast<int>(of.accusers.size()) - 1;
  }

  // `healthy` members, this one included, are living and not suspected.
  bool HasFailed(const Suspicion& of, Time heard, std::size_t healthy, Time now) const {
    if (!options_.with_suspicion) return true;
    if (now < heard + options_.contact_timeout) return false;
    const std::size_t needed = std::min<std::size_t>(2, std::max<std::size_t>(1, healthy));
    // Nobody decides who has not asked for a while and got no answer.
    if (!of.confirmer || now < of.confirmer_since + kMinConfirmerPeriods * options_.probe_period)
      return false;
    if (of.accusers.size() >= needed && now >= of.since + options_.min_suspicion) return true;
    return now >= of.since + options_.max_suspicion_factor * options_.contact_timeout;
  }

  static void MakeConfirmer(Suspicion& of, Time now) {
    if (of.confirmer) return;
    of.confirmer = true;
    of.confirmer_since = now;
  }
  // Of those who neither heard of an answer nor of a death, each asks for itself.
  bool Overdue(const Suspicion& of, Time now) const {
    return !of.confirmer && now >= of.since + options_.contact_timeout + options_.min_suspicion;
  }

  std::map<int, Suspicion>& all() { return of_; }
  std::size_t size() const { return of_.size(); }

 private:
  const Options& options_;
  std::map<int, Suspicion> of_;
};

}  // namespace copperpoint::membership

#endif  // COPPERPOINT_MEMBERSHIP_SUSPICION_TABLE_H_
