// SPDX-License-Identifier: Apache-2.0
//
// What is still to be passed on, each claim a bounded number of times: those told least often go first, and
// where there is no room the most told are left out. One claim a member: a newer one takes its place.
#ifndef COPPERPOINT_MEMBERSHIP_GOSSIP_QUEUE_H_
#define COPPERPOINT_MEMBERSHIP_GOSSIP_QUEUE_H_

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <utility>

#include "membership/options.h"
#include "message.pb.h"

namespace copperpoint::membership {

class GossipQueue {
 public:
  explicit GossipQueue(std::size_t most) : most_(most) {}

  // `kind` tells apart what may be said of one member at the same time.
  enum Kind { kClaim, kLastContact, kAccuser };  // kAccuser + n: the n-th accuser of a suspect
  void Add(wire::Claim claim, Time now, int kind = kClaim);
  void Add(wire::LastContact heard, Time now);
  void Forget(const std::string& name);

  // Fills `message` up to `most_bytes` of claims; each counts as told once more, and goes after `times`. The
  // bytes that they take, about.
  std::size_t Fill(wire::Message* message, std::size_t most_bytes, int times, Time now);

  bool empty() const { return items_.empty(); }
  std::size_t size() const { return items_.size(); }
  std::size_t dropped() const { return dropped_; }

 private:
  using Key = std::pair<std::string, int>;
  struct Item {
    wire::Claim claim;
    wire::LastContact heard;
    std::size_t bytes = 0;
    int transmissions = 0;
    Time at{};
  };
  void Put(Key key, Item item);

  std::size_t most_, dropped_ = 0;
  std::map<Key, Item> items_;
  std::set<std::pair<int, Key>> by_transmissions_;
};

}  // namespace copperpoint::membership

#endif  // COPPERPOINT_MEMBERSHIP_GOSSIP_QUEUE_H_
