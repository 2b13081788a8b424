// SPDX-License-Identifier: Apache-2.0
//
// The position of this proxy on the ring of backends, computed from the membership that all proxies share, as
// in deterministic aperture (Finagle, 2019). The subset of the proxy begins there; the decision module
// decides how large the subset is. Has no I/O, clock or threads.
//
// Positions only distribute the connections evenly over the backends. Proxies whose member tables differ or
// are outdated still have subsets that are as large and as healthy.
#ifndef COPPERPOINT_SUBSETTING_RING_POSITION_H_
#define COPPERPOINT_SUBSETTING_RING_POSITION_H_

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "membership/membership.h"

namespace copperpoint::subsetting {

// The name and the zone of a proxy.
struct Peer {
  std::string name, zone;
};

// Returns the offset of the proxy `name` on the ring, 0 to below 1: (rank among the peers of its zone + rank
// of the zone / number of zones) / number of peers in the zone. Peers rank by a hash of their names, so that
// a peer that joins or leaves moves each of the others by less than 1 / number of peers. The offsets of the
// zones are interleaved. Returns nullopt if no peer has this name.
std::optional<double> RingOffsetAmong(const std::vector<Peer>& peers, const std::string& name);

// Follows the membership as one proxy sees it, and decides when the offset of that proxy changes: not while
// the membership is changing, and not because another proxy restarts.
//
// Owns the present offset and the list of the proxies that it is computed from.
class RingPosition {
 public:
  struct Options {
    // Least time between two changes of the offset.
    membership::Time min_move_interval = std::chrono::seconds(2);
    // How long a change waits for the membership to converge; then the membership is used as it is.
    membership::Time max_unconverged_wait = std::chrono::seconds(10);
    // How long a proxy still counts after it stopped serving, so that a restart, as in a rolling update,
    // moves no other proxy.
    membership::Time departed_retention = std::chrono::seconds(10);
  };

  RingPosition() = default;
  explicit RingPosition(const Options& options) : options_(options) {}

  // Returns the offset if it differs from the last one that was returned. Has to be called after each event
  // of the membership and at the time next(). `now` is the time of the caller's clock.
  std::optional<double> Update(const membership::Membership& membership, membership::Time now);
  // When Update has to be called even without an event.
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
  std::uint64_t table_hash_ = 0;                        // hash of the member table at the last update
  bool pending_ = false;  // the member table has changed and the offset has not been recomputed since
  membership::Time changed_{}, moved_{}, next_ = membership::Time::max();
  std::optional<double> ring_offset_;
};

}  // namespace copperpoint::subsetting

#endif  // COPPERPOINT_SUBSETTING_RING_POSITION_H_
