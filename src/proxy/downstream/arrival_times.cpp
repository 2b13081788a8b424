// SPDX-License-Identifier: Apache-2.0
#include "proxy/downstream/arrival_times.h"

#include <algorithm>

namespace copperpoint::proxy {

void ArrivalTimes::Add(std::size_t bytes, Steady::time_point at) {
  if (!ranges_.empty() && (ranges_.size() >= kMaxRanges || ranges_.back().at == at)) {
    ranges_.back().bytes += bytes;
  } else {
    ranges_.push_back({bytes, at});
  }
}

Steady::time_point ArrivalTimes::Consume(std::size_t bytes, Steady::time_point now) {
  Steady::time_point last = now;
  while (bytes > 0 && !ranges_.empty()) {
    Range& first = ranges_.front();
    const std::size_t consumed = std::min(bytes, first.bytes);
    last = first.at;
    bytes -= consumed;
    first.bytes -= consumed;
    if (first.bytes == 0) ranges_.erase(ranges_.begin());
  }
  return last;
}

}  // namespace copperpoint::proxy
