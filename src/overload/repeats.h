// SPDX-License-Identifier: Apache-2.0
//
// Which requests are a client's next try at what was refused or failed a moment ago. Clients that mark
// their repeats need none of this; others give each try a new id, and are recognised by what does not change:
// class, account, key and the hint of the work. Exact hints make a mistake as good as impossible; without
// hints, two requests of one account for one popular key may be taken for tries of one (docs/overload.md has
// the measured rates). No clock, no I/O; memory is bounded.
#ifndef COPPERPOINT_OVERLOAD_REPEATS_H_
#define COPPERPOINT_OVERLOAD_REPEATS_H_

#include <boost/unordered/unordered_flat_map.hpp>
#include <cstdint>
#include <deque>
#include <optional>

#include "copperpoint/balancer.h"

namespace copperpoint::overload {

// What a client says the same of in each of its tries; 0: too little to recognise it by.
std::uint64_t FingerprintOf(const Submit& submit);

// A wish of a client, over all of its tries that came here.
struct Wish {
  TimePoint since{};  // its first try
  int tries = 1;      // this one among them
};

class Repeats {
 public:
  static constexpr std::size_t kMostKept = 65536;  // tries that ended unserved; the oldest are forgotten first

  // A try ended unserved; until `until` its client may come again.
  void Unserved(std::uint64_t fingerprint, const Wish& wish, TimePoint until);
  // The wish that a new try belongs to. Each ended try is followed by one at the most.
  Wish Take(std::uint64_t fingerprint, TimePoint now);

  std::size_t kept() const { return kept_; }

 private:
  struct Ended {
    Wish wish;
    TimePoint until{};
  };
  struct Place {
    TimePoint until{};
    std::uint64_t fingerprint = 0;
  };
  void Forget(TimePoint now);

  boost::unordered_flat_map<std::uint64_t, std::deque<Ended>> ended_;
  std::deque<Place> order_;  // about by time; what was taken meanwhile is passed over
  std::size_t kept_ = 0;
};

}  // namespace copperpoint::overload

#endif  // COPPERPOINT_OVERLOAD_REPEATS_H_
