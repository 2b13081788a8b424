// SPDX-License-Identifier: Apache-2.0
//
// Whose turn it is to be probed, and which probes are out.
//
// Turns: all in a shuffled order, then a new order, so that each is probed once in as many periods as there
// are members and a dead one is met after 1.6 periods in the mean (SWIM).
#ifndef COPPERPOINT_MEMBERSHIP_PROBES_H_
#define COPPERPOINT_MEMBERSHIP_PROBES_H_

#include <algorithm>
#include <boost/random/taus88.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <cstdint>
#include <string>
#include <vector>

#include "membership/options.h"

namespace copperpoint::membership {

class RandomSource {
 public:
  explicit RandomSource(std::uint64_t seed)
      : engine_(static_cast<std::uint32_t>(seed ^ (seed >> 32)) | 4096) {}
  std::size_t Below(std::size_t n) {
    return boost::random::uniform_int_distribution<std::size_t>(0, n - 1)(engine_);
  }

 private:
  boost::random::taus88 engine_;
};

struct Probe {
  std::uint32_t id = 0;
  std::string target;
  std::uint32_t refutation_number = 0;
  Time sent{};
  bool confirming = false;  // of a suspect: it goes straight, again and again
  bool indirect_sent = false;
};

class Prober {
 public:
  // The next of the places that `places` gives whose turn it is; they are asked for when an order is used up.
  // Below 0: there are none. Who stands at a place may have changed since: another has that turn then.
  template <typename Places>
  int Next(Places places, RandomSource& draw) {
    if (order_.empty()) {
      order_ = places();
      for (std::size_t i = order_.size(); i > 1; --i) std::swap(order_[i - 1], order_[draw.Below(i)]);
    }
    if (order_.empty()) return -1;
    const int place = order_.back();
    order_.pop_back();
    return place;
  }

  Probe& Start(std::string target, std::uint32_t refutation_number, Time now, bool confirming) {
    out_.push_back({++last_id_, std::move(target), refutation_number, now, confirming, false});
    return out_.back();
  }
  std::vector<Probe>& out() { return out_; }
  std::uint32_t NewId() { return ++last_id_; }

  // Takes back the probe of that id; nullptr-like empty target if there is none (it was answered, or is
  // over).
  Probe Take(std::uint32_t id) {
    const auto found = std::find_if(out_.begin(), out_.end(), [id](const Probe& p) { return p.id == id; });
    if (found == out_.end()) return {};
    Probe probe = std::move(*found);
    out_.erase(found);
    return probe;
  }

 private:
  std::vector<int> order_;
  std::vector<Probe> out_;
  std::uint32_t last_id_ = 0;
};

}  // namespace copperpoint::membership

#endif  // COPPERPOINT_MEMBERSHIP_PROBES_H_
