// SPDX-License-Identifier: Apache-2.0
//
// The faults in force between members, and what they do to one datagram or connection. The relay of processes
// and the network in virtual time ask the same object.
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

  void AddFault(const Fault& fault);  // one on links
  void RemoveFault(const Fault& fault);

  struct Delivery {
    bool delivered = true;
    double extra_delay_ms = 0;  // than without a fault
    int copies = 1;
  };
  // `bytes` may be changed on its way; `stream`: a connection or a piece of one, of which nothing is lost or
  // spoilt but by a cut.
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
  std::map<std::pair<int, int>, double> busy_until_s_;  // of links with a bandwidth
};

}  // namespace copperpoint::fault_testing

#endif  // COPPERPOINT_FAULT_TESTING_LINKS_H_
