// SPDX-License-Identifier: Apache-2.0
//
// The queue of claims that this member still has to disseminate, each a bounded number of times.
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

// Claims that were sent least often are sent first. When the queue is full, the claim that was sent most
// often is dropped. A new claim on a member replaces everything that is queued on that member.
//
// Owns the queued claims, and the time at which the next round of gossip is due.
class GossipQueue {
 public:
  GossipQueue(std::size_t max_claims, Time now) : max_claims_(max_claims), next_round_(now) {}

  // What may be queued on one member at a time. kAccuser + n is the accusation by the suspect's n-th accuser.
  enum Kind { kClaim, kLastContact, kAccuser };
  void Add(wire::Claim claim, Time now, int kind = kClaim);
  void Add(wire::LastContact last_contact, Time now);
  void Remove(const std::string& name);
  // Empties the queue for good.
  void Clear();

  // Adds claims of at most `max_bytes` in total to the message. Each added claim counts as sent once more,
  // and is removed after `max_transmissions`. Returns an upper estimate of the bytes added.
  std::size_t Fill(wire::Message* message, std::size_t max_bytes, int max_transmissions, Time now);

  bool empty() const { return items_.empty(); }
  std::size_t size() const { return items_.size(); }
  std::size_t dropped() const { return dropped_; }  // claims dropped from a full queue since the start

  Time next_round() const { return next_round_; }
  void ScheduleRound(Time at) { next_round_ = at; }

 private:
  using Key = std::pair<std::string, int>;  // the member's name, and the kind
  struct Item {
    wire::Claim claim;
    wire::LastContact last_contact;  // set for kLastContact, where `claim` is not set
    std::size_t bytes = 0;
    int transmissions = 0;
    Time queued_at{};
  };
  void Insert(Key key, Item item);

  std::size_t max_claims_, dropped_ = 0;
  Time next_round_;
  std::map<Key, Item> items_;
  std::set<std::pair<int, Key>> by_transmissions_;
};

}  // namespace copperpoint::membership

#endif  // COPPERPOINT_MEMBERSHIP_GOSSIP_QUEUE_H_
