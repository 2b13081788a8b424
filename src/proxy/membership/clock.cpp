// SPDX-License-Identifier: Apache-2.0
#include "proxy/membership/clock.h"

#ifdef COPPERPOINT_CLOCK_SEAM
#include <cstdint>
#include <cstdlib>
#include <fstream>
#endif

namespace copperpoint::proxy {
namespace {

// Offset() is how far the membership's time is ahead of the machine's clock.
#ifdef COPPERPOINT_CLOCK_SEAM
// The file has the offset in microseconds: eight bytes in this machine's byte order.
membership::Time Offset() {
  static const char* const kFile = std::getenv("COPPERPOINT_CLOCK");
  std::int64_t microseconds = 0;
  if (kFile)
    std::ifstream(kFile, std::ios::binary).read(reinterpret_cast<char*>(&microseconds), sizeof microseconds);
  return membership::Time(microseconds);
}
#else
constexpr membership::Time Offset() { return membership::Time(0); }
#endif

}  // namespace

membership::Time MembershipNow() {
  return std::chrono::duration_cast<membership::Time>(Steady::now().time_since_epoch()) + Offset();
}

Steady::time_point ToSteady(membership::Time at) { return Steady::time_point(at - Offset()); }

}  // namespace copperpoint::proxy
