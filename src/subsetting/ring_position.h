// SPDX-License-Identifier: Apache-2.0
//
// Proxies of a zone divide the servers evenly among themselves by the view that they share: deterministic
// aperture (Finagle, 2019). Each stands at its rank among them on the ring of servers, and its subset begins
// there; how wide it is, is the decision module's own matter. No I/O, no clock, no thread.
//
// What it rests on: positions only make connections even. Two proxies that disagree, or one that goes by an
// old view, hold subsets as wide and as healthy as ever.
#ifndef COPPERPOINT_SUBSETTING_RING_POSITION_H_
#define COPPERPOINT_SUBSETTING_RING_POSITION_H_

#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "membership/membership.h"

namespace copperpoint::subsetting {

struct Peer {
  std::string name, zone;
};

// From 0 to below 1: (rank + zone's rank / zones) / peers of the zone, ranks by a hash of names, so that one
// that joins or goes moves each other one by less than 1 / peers. Zones stand between each other's steps.
// nullopt: nobody of this name is among them.
std::optional<double> RingOffsetAmong(const std::vector<Peer>& peers, const std::string& name);

// Follows one proxy's view, and says when its position is another one.
class RingPosition {
 public:
  struct Options {
    membership::Time min_hold = std::chrono::seconds(2);  // between two moves
    membership::Time max_unconverged_wait =
        std::chrono::seconds(10);  // a view that will not settle is taken as it is
    // One that went keeps its place for so long: a restart, as in a rolling change, moves nobody.
    membership::Time departed_retention = std::chrono::seconds(10);
  };

  RingPosition() = default;
  explicit RingPosition(const Options& options) : options_(options) {}

  // The new position, if it is another one than was said last. To be called after anything happened to the
  // view, and at next(). `now` is the host's.
  std::optional<double> Update(const membership::Membership& view, membership::Time now);
  membership::Time next() const { return next_; }

 private:
  static constexpr membership::Time kHere = membership::Time::max();
  struct Place {
    std::string zone;
    membership::Time until = kHere;  // of one that went: it is given up then
  };
  static bool Serves(const membership::MemberTable& members, int at);
  void CountPlaces(const membership::MemberTable& members, membership::Time now);

  Options options_;
  std::unordered_map<std::string, Place> places_;
  std::uint64_t seen_ = 0;  // the view's hash at the last look
  bool pending_ = false;    // something changed, and the position was not looked at anew since
  membership::Time changed_{}, moved_{}, next_ = membership::Time::max();
  std::optional<double> ring_offset_;
};

}  // namespace copperpoint::subsetting

#endif  // COPPERPOINT_SUBSETTING_RING_POSITION_H_
