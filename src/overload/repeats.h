// SPDX-License-Identifier: Apache-2.0
//
// Which requests are a client's next try at what was refused or failed a moment ago. Clients that mark
// their repeats need none of this; others give each try a new id, and are recognised by what does not change:
// class, account, key and the hint of the work. What several requests share at a time, or share with one that
// was served lately, names none of them: a constant hint or a popular key recognises nobody rather than the
// wrong one (docs/overload.md has the measured rates). No clock, no I/O; memory is bounded.
#ifndef COPPERPOINT_OVERLOAD_REPEATS_H_
#define COPPERPOINT_OVERLOAD_REPEATS_H_

#include <boost/unordered/unordered_flat_map.hpp>
#include <cstdint>
#include <deque>

#include "copperpoint/balancer.h"

namespace copperpoint::overload {

// What a client says the same of in each of its tries; 0: too little to recognise it by.
std::uint64_t FingerprintOf(const RequestReceived& submit);

// A wish of a client, over all of its tries that came here.
struct Wish {
  TimePoint since{};         // its first try
  int tries = 1;             // this one among them
  bool within_share = true;  // of its account, as found at the first try
};

class Repeats {
 public:
  static constexpr std::size_t kMostKept = 65536;  // fingerprints; beyond, new ones are not remembered
  static constexpr Duration kShared{30000};        // for which one that names several is not trusted

  // The wish that a new try belongs to.
  Wish Arrived(std::uint64_t fingerprint, TimePoint now);
  // Each try that arrived ends once: unserved, so that its client may come again until `until`; or for good,
  // after which the same can be no repeat until then.
  void Unserved(std::uint64_t fingerprint, const Wish& wish, TimePoint until);
  void Final(std::uint64_t fingerprint, TimePoint until);

  std::size_t kept() const { return known_.size(); }

 private:
  struct Known {
    int open = 0;
    Wish ended;  // of the last try that ended unserved
    TimePoint may_return_until{}, final_until{}, shared_until{};
    TimePoint Until() const;
  };
  struct Place {
    TimePoint at{};
    std::uint64_t fingerprint = 0;
  };
  Known* End(std::uint64_t fingerprint);
  void Forget(TimePoint now);

  boost::unordered_flat_map<std::uint64_t, Known> known_;
  std::deque<Place> order_;  // when each may be forgotten, about by time
};

}  // namespace copperpoint::overload

#endif  // COPPERPOINT_OVERLOAD_REPEATS_H_
