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

// Yields the members in a shuffled order, and then in a new one, so that each is probed once in as many
// periods as there are members, and a dead one is first probed after 1.6 periods on average (SWIM). Owns the
// rest of the current order.
class ProbeOrder {
 public:
  // Returns the index of the next member, or nothing if there is none. `list_members()` returns the indices
  // for a new order when the current one is used up; the member at an index may have changed since that call.
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
  std::vector<int> order_;  // the last element is the next member
};

struct Probe {
  std::uint32_t id = 0;
  std::string target;  // the name of the probed member
  std::uint32_t refutation_number = 0;
  Time sent{};
  bool confirming = false;     // whether a confirmer probes a suspect
  bool indirect_sent = false;  // whether other members were requested to repeat the probe
};

// Owns the probes that are not answered yet, and the last id given to a probe.
class OutstandingProbes {
 public:
  const Probe& Start(std::string target, std::uint32_t refutation_number, Time now, bool confirming) {
    const std::uint32_t id = NewId();
    probes_.push_back({id, std::move(target), refutation_number, now, confirming, false});
    return probes_.back();
  }
  // Returns a new id, for a ping whose ack this object does not wait for.
  std::uint32_t NewId() { return ++last_id_; }
  // Removes and returns the probe, or returns nothing if it was answered or has expired.
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
