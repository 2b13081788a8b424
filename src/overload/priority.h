// SPDX-License-Identifier: Apache-2.0
//
// Who goes first while not all can be served: the request whose work adds most to the goal that the operators
// have set, a mix of the worth served in all and of the shares of the worst-served class and account. Strict
// order by worth alone starves the class that is worth less; the share of the worst rises faster, for the
// same work, the smaller that class is. No clock, no I/O.
#ifndef COPPERPOINT_OVERLOAD_PRIORITY_H_
#define COPPERPOINT_OVERLOAD_PRIORITY_H_

#include <vector>

#include "copperpoint/balancer.h"

namespace copperpoint::overload {

class Priority {
 public:
  static constexpr Duration kMemory{20000};  // over which shares are averaged

  explicit Priority(const Settings& settings);

  // A client's wish, at its first try, and its answer in time. Those beyond their account's share count for
  // their class alone; an account or a class that the settings don't have counts for nothing.
  void Asked(int cls, int tenant, double work, bool within_share);
  void InTime(int cls, int tenant, double work, bool within_share);
  void Forget(Duration elapsed);

  // What a unit of work adds to the goal, in units of worth: the class's own where nobody is worse off.
  double Of(int cls, int tenant) const;

 private:
  struct Share {
    double asked = 0, got = 0;
    double Part() const { return asked > 0 ? got / asked : 1; }
  };
  static const Share* Worst(const std::vector<Share>& shares);
  void Count(int cls, int tenant, double work, bool within_share, double Share::*sum);

  ServiceObjective goal_;
  std::vector<double> worth_;             // of the classes
  std::vector<Share> classes_, tenants_;  // by worth
  double asked_ = 0;                      // by worth
};

}  // namespace copperpoint::overload

#endif  // COPPERPOINT_OVERLOAD_PRIORITY_H_
