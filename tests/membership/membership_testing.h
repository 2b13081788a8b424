// SPDX-License-Identifier: Apache-2.0
//
// A few views on a network without delay, moved by hand.
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

class TestNetwork {
 public:
  explicit TestNetwork(membership::Options options = {}) : options(options) {}

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
  // Runs until `ms` have passed, in steps of 10 ms.
  void Run(int ms) {
    for (const Time until = now + milliseconds(ms); now < until; now += milliseconds(10)) {
      for (auto& [name, v] : nodes) {
        if (stopped[name] || v->next() > now) continue;
        v->OnTick(now);
        Flush(name);
      }
    }
  }
  void Flush(const std::string& name) {
    membership::Output output = nodes[name]->Take();
    for (const auto& event : output.events) events[name].push_back(event);
    for (const auto& d : output.datagrams) {
      if (tap) tap(name, d.to, d.bytes);
      wire::Message said;
      if (peers::FrameCodec("c", kKey).Decode(d.bytes, &said) == peers::FrameError::kNone)
        sequences[name] = said.sequence();
      if (!nodes.contains(d.to) || stopped[d.to] || (passes && !passes(name, d.to))) continue;
      nodes[d.to]->OnDatagram(now, name, d.bytes);
      Flush(d.to);
    }
    for (const auto& e : output.exchanges) {
      if (!nodes.contains(e.to) || stopped[e.to] || (passes && !passes(name, e.to))) continue;
      const std::string answer = nodes[e.to]->OnExchange(now, e.bytes);
      Flush(e.to);
      if (!answer.empty()) nodes[name]->OnReply(now, answer);
      Flush(name);
    }
  }
  // What `of` says to `to` now, as the network would carry it.
  void Deliver(const std::string& to, const wire::Message& message) {
    nodes[to]->OnDatagram(now, message.from(), peers::FrameCodec("c", kKey).Encode(message));
    Flush(to);
  }
  MemberStatus StatusAt(const std::string& observer, const std::string& of) {
    const auto& members = nodes[observer]->members();
    const int at = members.Find(of);
    return at < 0 ? MemberStatus::kLeft : members[at].status;
  }
  int Count(const std::string& observer, Event::Kind kind, const std::string& of) {
    int n = 0;
    for (const auto& event : events[observer]) n += event.kind == kind && event.name == of;
    return n;
  }
  bool Converged() {
    for (const auto& [name, v] : nodes)
      if (v->members().hash() != nodes.begin()->second->members().hash() ||
          v->members().living().size() != nodes.size())
        return false;
    return true;
  }

  membership::Options options;
  Time now{milliseconds(1000)};
  std::map<std::string, std::unique_ptr<Membership>> nodes;
  std::map<std::string, bool> stopped;
  std::map<std::string, std::uint32_t> sequences;  // of the last message that each has said
  std::map<std::string, std::vector<Event>> events;
  std::function<bool(const std::string&, const std::string&)> passes;
  std::function<void(const std::string&, const std::string&, const std::string&)> tap;

 private:
  std::uint64_t seeds_ = 0;
};

// A message as `of` would say it, with a sequence above all that it has said.
inline wire::Message MessageOf(const Membership& of, wire::Kind kind, std::uint64_t to_incarnation,
                               std::uint32_t sequence) {
  wire::Message message;
  message.set_kind(kind);
  message.set_from(of.self().name());
  message.set_incarnation(of.self().incarnation());
  message.set_refutation_number(of.self().refutation_number());
  message.set_sequence(sequence);
  message.set_to_incarnation(to_incarnation);
  return message;
}

}  // namespace copperpoint::testing

#endif  // COPPERPOINT_TESTS_MEMBERSHIP_MEMBERSHIP_TESTING_H_
