// SPDX-License-Identifier: Apache-2.0
//
// The active link faults between members and their effect on a datagram or connection. Used both by the relay
// between processes and by the network in virtual time.
#ifndef COPPERPOINT_FAULT_TESTING_LINKS_H_
#define COPPERPOINT_FAULT_TESTING_LINKS_H_

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "fault_testing/plan.h"
#include "simulation/core/random.h"

namespace copperpoint::fault_testing {

class Links {
 public:
  Links(const Plan& plan, std::uint64_t seed) : plan_(plan), seed_(seed), random_(seed, "links") {}

  void AddFault(const Fault& fault);  // a link fault; must stay valid until RemoveFault
  void RemoveFault(const Fault& fault);

  struct Delivery {
    bool delivered = true;
    double extra_delay_ms = 0;  // caused by faults
    int copies = 1;
  };
  // Decides how `bytes` is delivered, and may corrupt it. If `stream`, it is a connection or a part of its
  // data, which only a cut or total loss can stop; it is never corrupted, duplicated or reordered.
  Delivery Transmit(double now_s, int from, int to, bool stream, std::string* bytes);

 private:
  struct ActiveFault {
    const Fault* fault;
    std::vector<bool> senders, receivers;
  };
  const Plan& plan_;
  const std::uint64_t seed_;
  simulation::Random random_;
  std::vector<ActiveFault> active_;
  std::map<std::pair<int, int>, double>
      busy_until_s_;  // by sender and receiver, for links with limited bandwidth
};

}  // namespace copperpoint::fault_testing

#endif  // COPPERPOINT_FAULT_TESTING_LINKS_H_
