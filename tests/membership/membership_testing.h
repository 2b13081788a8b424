// SPDX-License-Identifier: Apache-2.0
//
// A few members on a network without delay, in a time that the test advances.
#ifndef COPPERPOINT_TESTS_MEMBERSHIP_MEMBERSHIP_TESTING_H_
#define COPPERPOINT_TESTS_MEMBERSHIP_MEMBERSHIP_TESTING_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "membership/membership.h"

namespace copperpoint::testing {

using membership::Event;
using membership::Membership;
using membership::MemberStatus;
using membership::Time;
using std::chrono::milliseconds;

inline const char kKey[] = "sixteen bytes or more";

// Returns a message with the fields that `sender` would set.
inline wire::Message MessageFrom(const Membership& sender, wire::Kind kind, std::uint64_t to_incarnation,
                                 std::uint32_t sequence) {
  wire::Message message;
  message.set_kind(kind);
  message.set_from(sender.self().name());
  message.set_incarnation(sender.self().incarnation());
  message.set_refutation_number(sender.self().refutation_number());
  message.set_sequence(sequence);
  message.set_to_incarnation(to_incarnation);
  return message;
}

// Returns a claim on the member that a record describes, reported by "b".
inline wire::Claim ClaimOn(const membership::Record& record, wire::Status status,
                           std::uint32_t refutation_number, std::uint32_t age_ms = 0) {
  wire::Claim claim;
  claim.set_status(status);
  *claim.mutable_record() = record;
  claim.mutable_record()->set_refutation_number(refutation_number);
  claim.set_age_ms(age_ms);
  claim.set_reported_by("b");
  return claim;
}

// Owns the members, and delivers their datagrams and exchanges at once.
class TestNetwork {
 public:
  explicit TestNetwork(membership::Options options = {}) : options(options) {}

  // Starts a process whose address is its name. A `seed` of 0 selects a seed that no other process has.
  Membership& Add(const std::string& name, const std::vector<std::string>& seeds = {"a"},
                  std::uint64_t seed = 0) {
    membership::Record self;
    self.set_name(name);
    self.set_address(name);
    nodes[name] = std::make_unique<Membership>(options, peers::FrameCodec("c", kKey), self,
                                               seed ? seed : ++seeds_, now);
    nodes[name]->Join(now, seeds);
    Flush(name);
    return *nodes[name];
  }
  // Advances the time by `ms` milliseconds, in steps of 10 ms.
  void Run(int ms) {
    for (const Time until = now + milliseconds(ms); now < until; now += milliseconds(10)) {
      for (auto& [name, member] : nodes) {
        if (stopped[name] || member->next() > now) continue;
        member->OnTick(now);
        Flush(name);
      }
    }
  }
  // Records the events of a member, and delivers what it sends.
  void Flush(const std::string& name) {
    membership::Output output = nodes[name]->Take();
    for (const auto& event : output.events) events[name].push_back(event);
    for (const auto& datagram : output.datagrams) {
      if (tap) tap(name, datagram.to, datagram.bytes);
      wire::Message message;
      if (peers::FrameCodec("c", kKey).Decode(datagram.bytes, &message) == peers::FrameError::kNone)
        sequences[name] = message.sequence();
      if (!IsDelivered(name, datagram.to)) continue;
      nodes[datagram.to]->OnDatagram(now, name, datagram.bytes);
      Flush(datagram.to);
    }
    for (const auto& exchange : output.exchanges) {
      if (!IsDelivered(name, exchange.to)) continue;
      const std::string reply = nodes[exchange.to]->OnExchange(now, exchange.bytes);
      Flush(exchange.to);
      if (!reply.empty()) nodes[name]->OnReply(now, reply);
      Flush(name);
    }
  }
  // Delivers a message as a datagram of the member that it names as its sender.
  void Deliver(const std::string& to, const wire::Message& message) {
    nodes[to]->OnDatagram(now, message.from(), peers::FrameCodec("c", kKey).Encode(message));
    Flush(to);
  }
  // Delivers a claim as gossip that `from` sends.
  void SendClaim(const std::string& from, const std::string& to, const wire::Claim& claim) {
    wire::Message message =
        MessageFrom(*nodes[from], wire::KIND_GOSSIP, nodes[to]->self().incarnation(), ++sequences[from]);
    *message.add_claims() = claim;
    Deliver(to, message);
  }
  // Returns the status that the observer has of a member: kLeft also if it does not know the member.
  MemberStatus StatusAt(const std::string& observer, const std::string& name) {
    const auto& members = nodes[observer]->members();
    const int index = members.Find(name);
    return index < 0 ? MemberStatus::kLeft : members[index].status;
  }
  // Returns the number of events of one kind that the observer has reported of a member.
  int Count(const std::string& observer, Event::Kind kind, const std::string& name) {
    int count = 0;
    for (const auto& event : events[observer]) count += event.kind == kind && event.name == name;
    return count;
  }
  // Returns whether the tables of all processes are equal and have exactly these processes as living members.
  bool Converged() {
    for (const auto& [name, member] : nodes) {
      if (member->members().hash() != nodes.begin()->second->members().hash() ||
          member->members().living().size() != nodes.size())
        return false;
    }
    return true;
  }

  membership::Options options;
  Time now{milliseconds(1000)};
  std::map<std::string, std::unique_ptr<Membership>> nodes;
  std::map<std::string, bool> stopped;             // processes that pause: datagrams to them are lost
  std::map<std::string, std::uint32_t> sequences;  // the sequence number of each member's last message
  std::map<std::string, std::vector<Event>> events;
  // Returns whether a datagram or an exchange is delivered. If it is not set, all are.
  std::function<bool(const std::string& from, const std::string& to)> passes;
  // Observes every datagram that is sent.
  std::function<void(const std::string& from, const std::string& to, const std::string& bytes)> tap;

 private:
  bool IsDelivered(const std::string& from, const std::string& to) {
    return nodes.contains(to) && !stopped[to] && (!passes || passes(from, to));
  }

  std::uint64_t seeds_ = 0;
};

}  // namespace copperpoint::testing

#endif  // COPPERPOINT_TESTS_MEMBERSHIP_MEMBERSHIP_TESTING_H_
