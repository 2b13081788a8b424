// SPDX-License-Identifier: Apache-2.0
#include "rollout/heterogeneity.h"

#include <algorithm>
#include <boost/math/distributions/normal.hpp>
#include <boost/math/distributions/students_t.hpp>

namespace copperpoint::rollout {
namespace {

constexpr double kMinRequestVariance = 1e-9;  // Used where all requests of a cohort had the same outcome.

struct CohortSums {
  MeasureCount total;
  double squared_requests = 0;  // The sum of the members' squared numbers of requests.
};

CohortSums Sum(const CountsByMember& members) {
  CohortSums sums;
  for (const auto& [member, count] : members) {
    sums.total += count;
    sums.squared_requests += count.requests * count.requests;
  }
  return sums;
}

// Returns the variance of the number of events of one request, at a mean of `rate` events per request.
double RequestVariance(double rate) {
  return std::max(kMinRequestVariance, rate <= 1 ? rate * (1 - rate) : rate);
}

}  // namespace

double BetweenMemberVariance(const PerCohort<CountsByMember>& members, double alpha) {
  double q = 0, degrees = 0, scale = 0;
  for (const Cohort cohort : kCohorts) {
    const CountsByMember& counts = members[cohort];
    const CohortSums sums = Sum(counts);
    if (counts.size() < 2 || sums.total.requests <= 0) continue;
    const double rate = sums.total.events / sums.total.requests;
    const double variance = RequestVariance(rate);
    for (const auto& [member, count] : counts) {
      if (count.requests <= 0) continue;
      const double deviation = count.events / count.requests - rate;
      q += count.requests * deviation * deviation / variance;
    }
    degrees += static_cast<double>(counts.size()) - 1;
    scale += (sums.total.requests - sums.squared_requests / sums.total.requests) / variance;
  }
  if (degrees < 1 || scale <= 0) return 0;
  const double estimate = std::max(0.0, q - degrees) / scale;
  if (estimate <= 0) return 0;
  const double student = boost::math::quantile(boost::math::students_t(degrees), 1 - alpha / 2);
  const double normal = boost::math::quantile(boost::math::normal(), 1 - alpha / 2);
  return estimate * (student / normal) * (student / normal);
}

double CohortDifferenceVariance(const PerCohort<CountsByMember>& members, double member_variance) {
  double variance = 0;
  if (member_variance <= 0) return variance;
  for (const Cohort cohort : kCohorts) {
    const CohortSums sums = Sum(members[cohort]);
    const double requests = sums.total.requests;
    if (requests > 0) variance += member_variance * sums.squared_requests / (requests * requests);
  }
  return variance;
}

}  // namespace copperpoint::rollout
