// SPDX-License-Identifier: Apache-2.0
//
// Who is suspected, by whom, and when a suspicion becomes a death.
//
// Only a judge declares a death early: the accuser, and the `witnesses` members that a hash of both names
// picks. A judge probes its suspect again and again, straight, so that one that merely stood still answers
// all that has piled up when it wakes, to every judge at once, before any of them may decide:
//   dead at  max(since + least_suspicion, heard + silence, judge_since + 4 periods)  where two members
//   accuse; dead at  max(since + longest * silence, the same)  where nobody confirms;
// `heard` being the latest sign of life that anybody told of. What speaks is not declared dead.
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
  std::uint32_t incarnation = 0;
  Time since{};
  std::vector<std::string> accusers;
  bool judge = false;  // this member is one of its judges
  Time judge_since{};
  Time asked{};  // when this judge asked it last
};

class Suspicions {
 public:
  static constexpr std::size_t kMostAccusers = 4;
  static constexpr int kAsks = 4;  // a judge's own questions, a period each
  explicit Suspicions(const Options& options) : options_(options) {}

  Suspicion* Find(int at) {
    const auto found = of_.find(at);
    return found == of_.end() ? nullptr : &found->second;
  }
  Suspicion& Begin(int at, std::uint32_t incarnation, Time since) {
    return of_[at] = Suspicion{incarnation, since, {}, false, {}, since - options_.period};
  }
  void End(int at) { of_.erase(at); }
  // The number of this accuser among those that count; -1: it changes nothing.
  static int Accuse(Suspicion& of, std::string_view by) {
    if (of.accusers.size() >= kMostAccusers) return -1;
    if (std::find(of.accusers.begin(), of.accusers.end(), by) != of.accusers.end()) return -1;
    of.accusers.emplace_back(by);
    return static_cast<int>(of.accusers.size()) - 1;
  }

  // `healthy` members, this one included, are living and not suspected.
  bool Over(const Suspicion& of, Time heard, std::size_t healthy, Time now) const {
    if (!options_.with_suspicion) return true;
    if (now < heard + options_.silence) return false;
    const std::size_t needed = std::min<std::size_t>(2, std::max<std::size_t>(1, healthy));
    // Nobody decides who has not asked for a while and got no answer.
    if (!of.judge || now < of.judge_since + kAsks * options_.period) return false;
    if (of.accusers.size() >= needed && now >= of.since + options_.least_suspicion) return true;
    return now >= of.since + options_.longest * options_.silence;
  }

  static void MakeJudge(Suspicion& of, Time now) {
    if (of.judge) return;
    of.judge = true;
    of.judge_since = now;
  }
  // Of those who neither heard of an answer nor of a death, each asks for itself.
  bool Overdue(const Suspicion& of, Time now) const {
    return !of.judge && now >= of.since + options_.silence + options_.least_suspicion;
  }

  std::map<int, Suspicion>& all() { return of_; }
  std::size_t size() const { return of_.size(); }

 private:
  const Options& options_;
  std::map<int, Suspicion> of_;
};

}  // namespace copperpoint::membership

#endif  // COPPERPOINT_MEMBERSHIP_SUSPICION_TABLE_H_
