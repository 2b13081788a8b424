// SPDX-License-Identifier: Apache-2.0
#include "rollout/compare.h"

#include <algorithm>
#include <boost/math/distributions/normal.hpp>
#include <boost/math/distributions/students_t.hpp>
#include <cmath>

namespace copperpoint::rollout {
namespace {

// Of the mixture: where the bound is tightest, as a variance. About a thousand requests with one in a hundred
// bad.
constexpr double kMixture = 5;
constexpr double kLeastTimes = 50;  // answers of the others before their times say anything
constexpr const char* kNames[] = {"missed", "slow", "tail", "attempts"};

// The first bucket beyond which at most `share` of the answers lie; none if there are too few.
int Beyond(const std::array<double, kLatencyBuckets>& times, double member_fraction) {
  double all = 0;
  for (const double n : times) all += n;
  if (all < kLeastTimes) return -1;
  double beyond = all;
  for (std::size_t i = 0; i < times.size(); ++i) {
    beyond -= times[i];
    if (beyond <= member_fraction * all) return static_cast<int>(i);
  }
  return -1;
}

}  // namespace

std::size_t LatencyBucketOf(double ms) {
  if (!(ms > 1)) return 0;
  return std::min(kLatencyBuckets - 1,
                  static_cast<std::size_t>(std::ceil(std::log(ms) / std::log(1.25) - 1e-9)));
}

double Boundary(double v, double alpha) {
  return std::sqrt((v + kMixture) * std::log((v + kMixture) / (kMixture * alpha * alpha)));
}

double AlphaOf(const Guardrails& guardrails, std::size_t stages, std::size_t parts) {
  return guardrails.false_alarm_probability /
         static_cast<double>(std::max<std::size_t>(1, stages) * (4 + 4 * parts));
}

Comparison::Comparison(const Guardrails& guardrails, std::size_t stages,
                       const std::vector<MemberInfo>& members)
    : guardrails_(guardrails), stages_(stages) {
  for (const MemberInfo& one : members) {
    auto zone = std::find(zones_.begin(), zones_.end(), one.zone);
    if (zone == zones_.end()) zone = zones_.insert(zones_.end(), one.zone);
    zone_of_.push_back(static_cast<std::uint32_t>(zone - zones_.begin()));
  }
}

void Comparison::Begin() {
  look_.clear();
  times_.clear();
  times_next_.clear();
  tests_.clear();
  cohorts_ = {};
  changed_requests_ = 0;
}

void Comparison::Add(int member, bool changed, const wire::Stratum& more) {
  Cohort& cohort = cohorts_[changed];
  cohort.asked += static_cast<double>(more.requests());
  cohort.missed += static_cast<double>(more.missed());
  cohort.refused += static_cast<double>(more.rejected());
  cohort.failed += static_cast<double>(more.failed());
  cohort.attempts += static_cast<double>(more.attempts());
  if (changed) changed_requests_ += more.requests();

  std::array<Counts, kMeasures> counts;
  const auto asked = static_cast<double>(more.requests());
  counts[kMissed] = {asked, static_cast<double>(more.missed())};
  counts[kAttempts] = {asked, std::max(0.0, static_cast<double>(more.attempts()) - asked)};
  // What is slow is said by what the others took before this look.
  if (const auto times = times_.find(more.request_class()); times != times_.end()) {
    const int median = Beyond(times->second, 0.5), tail = Beyond(times->second, 0.05);
    for (int i = 0; i < more.latency_buckets_size(); ++i) {
      const double n = more.latency_buckets(i);
      if (median >= 0) counts[kSlow].n += n, counts[kSlow].x += i > median ? n : 0;
      if (tail >= 0) counts[kTail].n += n, counts[kTail].x += i > tail ? n : 0;
    }
  }
  if (!changed) {
    auto& next = times_next_[more.request_class()];
    for (int i = 0; i < more.latency_buckets_size() && i < static_cast<int>(kLatencyBuckets); ++i)
      next[static_cast<std::size_t>(i)] += more.latency_buckets(i);
  }
  Count(member, changed, more, counts);
}

void Comparison::Count(int member, bool changed, const wire::Stratum& more,
                       const std::array<Counts, kMeasures>& counts) {
  const std::uint32_t zone = zone_of_[static_cast<std::size_t>(member)];
  Cells& cells = look_[{zone, more.request_class(), more.tenant()}];
  const Part parts[] = {{0, 0}, {1, more.request_class()}, {2, zone}, {3, more.tenant()}};
  for (int measure = 0; measure < kMeasures; ++measure) {
    const Counts& of = counts[static_cast<std::size_t>(measure)];
    if (of.n <= 0) continue;
    Counts& cell = cells.cohort[changed][static_cast<std::size_t>(measure)];
    cell.n += of.n;
    cell.x += of.x;
    for (const Part& part : parts) {
      if (part.first == 3 && part.second == 0) continue;
      Counts& sum = tests_[{part, measure}].members[changed][member];
      sum.n += of.n;
      sum.x += of.x;
    }
  }
}

void Comparison::Close() {
  // Those of a zone, class and account where both cohorts were asked are compared there. Where a zone has
  // members of one cohort alone, with its class in the other such zones.
  std::map<std::uint32_t, Cells> left_over;
  const auto score = [&](const Cells& cells, const std::vector<Part>& parts) {
    for (int measure = 0; measure < kMeasures; ++measure) {
      const auto m = static_cast<std::size_t>(measure);
      const Counts &others = cells.cohort[0][m], &changed = cells.cohort[1][m];
      const double n = others.n + changed.n, x = others.x + changed.x;
      if (others.n <= 0 || changed.n <= 0) continue;
      const double s = (others.n * changed.x - changed.n * others.x) / n;
      const double both = others.n * changed.n / n;
      // Attempts are no share: their number may be any.
      const double v = measure == kAttempts ? x * both / n : n > 1 ? x * (n - x) / n * both / (n - 1) : 0;
      for (const Part& part : parts) {
        Test& test = tests_[{part, measure}];
        test.s += s;
        test.v += v;
        test.weight += both;
      }
    }
  };
  for (auto at = look_.begin(); at != look_.end();) {
    const auto& [zone, cls, account] = at->first;
    const Cells& cells = at->second;
    const bool both = cells.cohort[0][kMissed].n > 0 && cells.cohort[1][kMissed].n > 0;
    if (!both) {
      const auto& here = tests_[{{2, zone}, kMissed}].members;
      if (!here[0].empty() && !here[1].empty()) {
        ++at;  // where traffic is thin, a look lasts until both were asked
        continue;
      }
      Cells& rest = left_over[cls];
      for (std::size_t cohort = 0; cohort < 2; ++cohort)
        for (std::size_t m = 0; m < kMeasures; ++m) {
          rest.cohort[cohort][m].n += cells.cohort[cohort][m].n;
          rest.cohort[cohort][m].x += cells.cohort[cohort][m].x;
        }
      at = look_.erase(at);
      continue;
    }
    std::vector<Part> parts{{0, 0}, {1, cls}, {2, zone}};
    if (account != 0) parts.emplace_back(3, account);
    score(cells, parts);
    at = look_.erase(at);
  }
  for (const auto& [cls, cells] : left_over) score(cells, {{0, 0}, {1, cls}});
  for (const auto& [cls, times] : times_next_)
    for (std::size_t i = 0; i < kLatencyBuckets; ++i) times_[cls][i] += times[i];
  times_next_.clear();
}

double Comparison::Margin(int measure) const {
  // Half of what must not go unseen: a change that is worse by less than that is not worth a stop.
  switch (measure) {
    case kMissed:
      return guardrails_.missed_fraction / 2;
    case kSlow:
      return guardrails_.above_median_fraction / 2;
    case kTail:
      return guardrails_.above_tail_fraction / 2;
    default:
      return guardrails_.attempts_per_request / 2;
  }
}

double Comparison::Spread(const Test& test, double alpha) {
  double q = 0, degrees = 0, scale = 0;
  for (const auto& cohort : test.members) {
    double n = 0, x = 0, squares = 0;
    for (const auto& [member, of] : cohort) n += of.n, x += of.x, squares += of.n * of.n;
    if (cohort.size() < 2 || n <= 0) continue;
    const double p = x / n, one = std::max(1e-9, p <= 1 ? p * (1 - p) : p);
    for (const auto& [member, of] : cohort) {
      if (of.n > 0) q += of.n * (of.x / of.n - p) * (of.x / of.n - p) / one;
    }
    degrees += static_cast<double>(cohort.size()) - 1;
    scale += (n - squares / n) / one;
  }
  if (degrees < 1 || scale <= 0) return 0;
  const double between = std::max(0.0, q - degrees) / scale;
  if (between <= 0) return 0;
  // Student's quantile in place of the normal's, as the variance is an estimate.
  const double student = boost::math::quantile(boost::math::students_t(degrees), 1 - alpha / 2);
  const double normal = boost::math::quantile(boost::math::normal(), 1 - alpha / 2);
  return between * (student / normal) * (student / normal);
}

std::optional<Finding> Comparison::Worse() const {
  std::size_t parts = 0;
  for (const auto& [key, test] : tests_) parts += key.second == 0 && key.first.first != 0;
  const double alpha = AlphaOf(guardrails_, stages_, std::max<std::size_t>(8, parts));
  std::optional<Finding> worst;
  for (const auto& [key, test] : tests_) {
    const auto& [part, measure] = key;
    if (test.weight <= 0 || test.s <= 0) continue;
    const double worse = test.s / test.weight;
    if (worse < Margin(measure)) continue;
    double spread = 0;
    if (const double between = Spread(test, alpha); between > 0) {
      for (const auto& cohort : test.members) {
        double n = 0, squares = 0;
        for (const auto& [member, of] : cohort) n += of.n, squares += of.n * of.n;
        if (n > 0) spread += between * squares / (n * n);
      }
    }
    const double bound = Boundary(test.v + spread * test.weight * test.weight, alpha);
    if (test.s <= bound) continue;
    if (!worst || test.s / bound > worst->score / worst->bound)
      worst = Finding{kNames[measure], NameOf(part), worse, test.s, bound};
  }
  return worst;
}

std::string Comparison::NameOf(const Part& part) const {
  switch (part.first) {
    case 1:
      return "class " + std::to_string(part.second);
    case 2:
      return "zone " + zones_[part.second];
    case 3:
      return "account " + std::to_string(part.second);
    default:
      return "all";
  }
}

}  // namespace copperpoint::rollout
