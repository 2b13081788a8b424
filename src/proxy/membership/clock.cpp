// SPDX-License-Identifier: Apache-2.0
#include "proxy/membership/clock.h"

#ifdef COPPERPOINT_CLOCK_SEAM
#include <cstdint>
#include <cstdlib>
#include <fstream>
#endif

namespace copperpoint::proxy {
namespace {

#ifdef COPPERPOINT_CLOCK_SEAM
// Microseconds ahead of the machine's clock: eight bytes, as this machine orders them.
membership::Time Ahead() {
  static const char* const file = std::getenv("COPPERPOINT_CLOCK");
  std::int64_t ahead = 0;
  if (file) std::ifstream(file, std::ios::binary).read(reinterpret_cast<char*>(&ahead), sizeof ahead);
  return membership::Time(ahead);
}
#else
constexpr membership::Time Ahead() { return membership::Time(0); }
#endif

}  // namespace

membership::Time FleetNow() {
  return std::chrono::duration_cast<membership::Time>(Steady::now().time_since_epoch()) + Ahead();
}

Steady::time_point ToSteady(membership::Time at) { return Steady::time_point(at - Ahead()); }

}  // namespace copperpoint::proxy
