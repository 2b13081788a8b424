// SPDX-License-Identifier: Apache-2.0
//
// Whether those that have changed do worse than those that have not, at the same time and on the same kind of
// traffic. May be asked at any time: the chance of a false alarm holds over all looks together.
//
// Sources: Mantel and Haenszel (1959) for counts compared within strata (zone and class, and each look apart,
// so that what comes and goes for both cohorts does not count); Robbins' normal mixture as a bound for all
// times (Howard, Ramdas, McAuliffe, Sekhon 2021, eq. 14); DerSimonian and Laird (1986) for how much members
// of one cohort differ from each other anyway, as they meet other backends.
#ifndef COPPERPOINT_ROLLOUT_COMPARE_H_
#define COPPERPOINT_ROLLOUT_COMPARE_H_

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "rollout.pb.h"
#include "rollout/plan.h"

namespace copperpoint::rollout {

// Times taken, by bucket: up to 1 ms, then a quarter longer each; the last holds all beyond 1.2 s.
constexpr std::size_t kLatencyBuckets = 33;
std::size_t LatencyBucketOf(double ms);

// The score of a martingale of variance `v` that a true null exceeds, at any time, with at most this chance.
double Boundary(double v, double alpha);
// Of one test among all that are made: measures, and classes, zones and accounts by themselves.
double AlphaOf(const Guardrails& guardrails, std::size_t stages, std::size_t parts);

struct Finding {
  std::string measure, where;  // where: "all", "class 2", "zone a", "account 7"
  double worse = 0;            // by how much, in the measure's unit
  double score = 0, bound = 0;
};

class Comparison {
 public:
  // `members`: of the change, by rank.
  Comparison(const Guardrails& guardrails, std::size_t stages, const std::vector<MemberInfo>& members);

  void Begin();  // a new stage: what was seen before no longer counts
  // What a member has counted more since it was last added.
  void Add(int member, bool changed, const wire::Stratum& more);
  void Close();  // a look is over
  // The worst of what is beyond its bound and matters.
  std::optional<Finding> Worse() const;
  std::uint64_t changed_requests() const { return changed_requests_; }

  struct Cohort {
    double asked = 0, missed = 0, refused = 0, failed = 0, attempts = 0;
  };
  const Cohort& changed() const { return cohorts_[1]; }
  const Cohort& others() const { return cohorts_[0]; }

 private:
  enum Measure { kMissed, kSlow, kTail, kAttempts };
  static constexpr int kMeasures = 4;
  struct Counts {
    double n = 0, x = 0;
  };
  struct Test {
    double s = 0, v = 0, weight = 0;               // weight: sum of n1 n0 / (n1 + n0)
    std::array<std::map<int, Counts>, 2> members;  // by cohort
  };
  using Part = std::pair<int, std::uint32_t>;  // 0: all; 1: a class; 2: a zone; 3: an account
  struct Cells {
    std::array<std::array<Counts, kMeasures>, 2> cohort;
  };

  double Margin(int measure) const;
  void Count(int member, bool changed, const wire::Stratum& more,
             const std::array<Counts, kMeasures>& counts);
  // How much members of one cohort differ beyond chance: the variance of their rates, as much larger as it is
  // uncertain with so few members.
  static double Spread(const Test& test, double alpha);
  std::string NameOf(const Part& part) const;

  const Guardrails& guardrails_;
  const std::size_t stages_;
  std::vector<std::uint32_t> zone_of_;
  std::vector<std::string> zones_;
  std::array<Cohort, 2> cohorts_;
  std::uint64_t changed_requests_ = 0;
  // Of the present look: by zone, class and account.
  std::map<std::array<std::uint32_t, 3>, Cells> look_;
  // Times that the others' answers took, by class, and what follows for this look.
  std::map<std::uint32_t, std::array<double, kLatencyBuckets>> times_, times_next_;
  std::map<std::pair<Part, int>, Test> tests_;
};

}  // namespace copperpoint::rollout

#endif  // COPPERPOINT_ROLLOUT_COMPARE_H_
