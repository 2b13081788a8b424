// SPDX-License-Identifier: Apache-2.0
//
// Arrival times of bytes that were read from a client before the request they belong to was parsed. A
// request's deadline counts from the arrival of its last byte, which may be long before it is parsed: if it
// waited behind another request of the same connection, or in the accept queue.
#ifndef COPPERPOINT_PROXY_DOWNSTREAM_ARRIVAL_TIMES_H_
#define COPPERPOINT_PROXY_DOWNSTREAM_ARRIVAL_TIMES_H_

#include <cstddef>
#include <vector>

#include "proxy/clock.h"

namespace copperpoint::proxy {

class ArrivalTimes {
 public:
  // Maximum number of ranges with separate times. Bytes beyond them join the last range and its earlier time.
  static constexpr std::size_t kMaxRanges = 16;

  // Records that `bytes` arrived at `at`, after all bytes recorded before.
  void Add(std::size_t bytes, Steady::time_point at);

  // Removes the next `bytes`. @return when the last of them arrived; `now` if no arrival is recorded.
  Steady::time_point Consume(std::size_t bytes, Steady::time_point now);

  void Clear() { ranges_.clear(); }

 private:
  struct Range {
    std::size_t bytes;
    Steady::time_point at;
  };
  std::vector<Range> ranges_;  // oldest first
};

}  // namespace copperpoint::proxy

#endif  // COPPERPOINT_PROXY_DOWNSTREAM_ARRIVAL_TIMES_H_
