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

using membership::Happened;
using membership::Status;
using membership::Time;
using membership::View;
using std::chrono::milliseconds;

inline const char kKey[] = "sixteen bytes or more";

class Net {
 public:
  explicit Net(membership::Options options = {}) : options(options) {}

  View& Add(const std::string& name, const std::vector<std::string>& seeds = {"a"}, std::uint64_t seed = 0) {
    membership::Record self;
    self.set_name(name);
    self.set_address(name);
    views[name] = std::make_unique<View>(options, peers::Seal("c", kKey), self, seed ? seed : ++seeds_, now);
    views[name]->Join(now, seeds);
    Flush(name);
    return *views[name];
  }
  // Runs until `ms` have passed, in steps of 10 ms.
  void Run(int ms) {
    for (const Time until = now + milliseconds(ms); now < until; now += milliseconds(10)) {
      for (auto& [name, v] : views) {
        if (stopped[name] || v->next() > now) continue;
        v->OnTick(now);
        Flush(name);
      }
    }
  }
  void Flush(const std::string& name) {
    membership::Output output = views[name]->Take();
    for (const auto& event : output.events) happened[name].push_back(event);
    for (const auto& d : output.datagrams) {
      if (tap) tap(name, d.to, d.bytes);
      wire::Message said;
      if (peers::Seal("c", kKey).Open(d.bytes, &said) == peers::Refusal::kNone)
        sequences[name] = said.sequence();
      if (!views.contains(d.to) || stopped[d.to] || (passes && !passes(name, d.to))) continue;
      views[d.to]->OnDatagram(now, name, d.bytes);
      Flush(d.to);
    }
    for (const auto& e : output.exchanges) {
      if (!views.contains(e.to) || stopped[e.to] || (passes && !passes(name, e.to))) continue;
      const std::string answer = views[e.to]->OnExchange(now, e.bytes);
      Flush(e.to);
      if (!answer.empty()) views[name]->OnReply(now, answer);
      Flush(name);
    }
  }
  // What `of` says to `to` now, as the network would carry it.
  void Deliver(const std::string& to, const wire::Message& message) {
    views[to]->OnDatagram(now, message.from(), peers::Seal("c", kKey).Close(message));
    Flush(to);
  }
  Status StatusAt(const std::string& observer, const std::string& of) {
    const auto& members = views[observer]->members();
    const int at = members.Find(of);
    return at < 0 ? Status::kLeft : members[at].status;
  }
  int Count(const std::string& observer, Happened::Kind kind, const std::string& of) {
    int n = 0;
    for (const auto& event : happened[observer]) n += event.kind == kind && event.name == of;
    return n;
  }
  bool OneView() {
    for (const auto& [name, v] : views)
      if (v->members().hash() != views.begin()->second->members().hash() ||
          v->members().living().size() != views.size())
        return false;
    return true;
  }

  membership::Options options;
  Time now{milliseconds(1000)};
  std::map<std::string, std::unique_ptr<View>> views;
  std::map<std::string, bool> stopped;
  std::map<std::string, std::uint32_t> sequences;  // of the last message that each has said
  std::map<std::string, std::vector<Happened>> happened;
  std::function<bool(const std::string&, const std::string&)> passes;
  std::function<void(const std::string&, const std::string&, const std::string&)> tap;

 private:
  std::uint64_t seeds_ = 0;
};

// A message as `of` would say it, with a sequence above all that it has said.
inline wire::Message MessageOf(const View& of, wire::Kind kind, std::uint64_t to_life,
                               std::uint32_t sequence) {
  wire::Message message;
  message.set_kind(kind);
  message.set_from(of.self().name());
  message.set_life(of.self().life());
  message.set_incarnation(of.self().incarnation());
  message.set_sequence(sequence);
  message.set_to_life(to_life);
  return message;
}

}  // namespace copperpoint::testing

#endif  // COPPERPOINT_TESTS_MEMBERSHIP_MEMBERSHIP_TESTING_H_
