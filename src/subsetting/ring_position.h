// SPDX-License-Identifier: Apache-2.0
//
// The position of this proxy on the ring of backends, from the membership that all proxies share:
// deterministic aperture (Finagle, 2019). Its subset begins there; the decision module decides how large it
// is. No I/O, no clock, no thread.
//
// Positions only make the connections of backends even. Proxies whose tables differ, or are outdated, have
// subsets as large and as healthy as otherwise.
#ifndef COPPERPOINT_SUBSETTING_RING_POSITION_H_
#define COPPERPOINT_SUBSETTING_RING_POSITION_H_

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "membership/membership.h"

namespace copperpoint::subsetting {

// A proxy, by its name and its zone.
struct Peer {
  std::string name, zone;
};

// The offset on the ring, from 0 to below 1: (rank among the peers of its zone + rank of the zone / zones) /
// peers of the zone. Peers rank by a hash of their names, so that one that joins or leaves moves each other
// one by less than 1 / peers; zones are interleaved. Nothing: no peer has this name.
std::optional<double> RingOffsetAmong(const std::vector<Peer>& peers, const std::string& name);

// Follows the membership of one proxy, and decides when its offset changes: not while the membership is
// changing, and not for a proxy that restarts.
//
// Owns the proxies that count, and the present offset.
class RingPosition {
 public:
  struct Options {
    membership::Time min_move_interval = std::chrono::seconds(2);
    // A membership that does not converge is used as it is after so long.
    membership::Time max_unconverged_wait = std::chrono::seconds(10);
    // For how long a proxy counts after it stopped serving: a restart, as in a rolling change, moves no other
    // proxy.
    membership::Time departed_retention = std::chrono::seconds(10);
  };

  RingPosition() = default;
  explicit RingPosition(const Options& options) : options_(options) {}

  // The offset, if it differs from the last one that was returned. To be called after each event of the
  // membership, and at next(). `now` is the host's.
  std::optional<double> Update(const membership::Membership& membership, membership::Time now);
  membership::Time next() const { return next_; }

 private:
  static constexpr membership::Time kServing = membership::Time::max();
  struct ServingPeer {
    std::string zone;
    membership::Time counts_until = kServing;
  };
  static bool Serves(const membership::MemberTable& members, int index);
  void UpdatePeers(const membership::MemberTable& members, membership::Time now);

  Options options_;
  std::unordered_map<std::string, ServingPeer> peers_;  // by name
  std::uint64_t table_hash_ = 0;                        // at the last update
  bool pending_ = false;  // the table has changed, and the offset was not computed since
  membership::Time changed_{}, moved_{}, next_ = membership::Time::max();
  std::optional<double> ring_offset_;
};

}  // namespace copperpoint::subsetting

#endif  // COPPERPOINT_SUBSETTING_RING_POSITION_H_
