// SPDX-License-Identifier: Apache-2.0
//
// The order in which members are probed, and the probes that are not answered yet.
#ifndef COPPERPOINT_MEMBERSHIP_PROBES_H_
#define COPPERPOINT_MEMBERSHIP_PROBES_H_

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "membership/options.h"
#include "membership/random_source.h"

namespace copperpoint::membership {

// Members in a shuffled order, then in a new one, so that each is probed once in as many periods as there are
// members, and a dead one after 1.6 periods in the mean (SWIM). Owns the rest of the present order.
class ProbeOrder {
 public:
  // The index of the next member, of those that `list_members()` returns; it is called when an order is used
  // up. The member at an index may have changed since. Nothing: there are none.
  template <typename ListMembers>
  std::optional<int> Next(ListMembers list_members, RandomSource& random) {
    if (order_.empty()) {
      order_ = list_members();
      for (std::size_t i = order_.size(); i > 1; --i) std::swap(order_[i - 1], order_[random.Below(i)]);
    }
    if (order_.empty()) return std::nullopt;
    const int index = order_.back();
    order_.pop_back();
    return index;
  }

 private:
  std::vector<int> order_;  // the next is the last
};

struct Probe {
  std::uint32_t id = 0;
  std::string target;  // its name
  std::uint32_t refutation_number = 0;
  Time sent{};
  bool confirming = false;     // of a suspect, by a confirmer
  bool indirect_sent = false;  // other members were requested to repeat it
};

// Owns the ids of probes and those that are not answered.
class OutstandingProbes {
 public:
  const Probe& Start(std::string target, std::uint32_t refutation_number, Time now, bool confirming) {
    const std::uint32_t id = NewId();
    probes_.push_back({id, std::move(target), refutation_number, now, confirming, false});
    return probes_.back();
  }
  // For a ping whose answer is not waited for here.
  std::uint32_t NewId() { return ++last_id_; }
  // Takes the probe out; nothing if it was answered or has expired.
  std::optional<Probe> Take(std::uint32_t id) {
    const auto found =
        std::find_if(probes_.begin(), probes_.end(), [id](const Probe& p) { return p.id == id; });
    if (found == probes_.end()) return std::nullopt;
    Probe probe = std::move(*found);
    probes_.erase(found);
    return probe;
  }

  std::vector<Probe>& all() { return probes_; }
  const std::vector<Probe>& all() const { return probes_; }

 private:
  std::vector<Probe> probes_;
  std::uint32_t last_id_ = 0;
};

}  // namespace copperpoint::membership

#endif  // COPPERPOINT_MEMBERSHIP_PROBES_H_
