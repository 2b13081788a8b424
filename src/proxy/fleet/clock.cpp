// SPDX-License-Identifier: Apache-2.0
#include "proxy/fleet/clock.h"

#ifdef COPPERPOINT_CLOCK_SEAM
#include <cstdint>
#include <cstdlib>
#include <fstream>
#endif

namespace copperpoint::proxy {
namespace {

#ifdef COPPERPOINT_CLOCK_SEAM
// Microseconds ahead of the machine's clock: eight bytes, as this machine orders them.
view::Time Ahead() {
  static const char* const file = std::getenv("COPPERPOINT_CLOCK");
  std::int64_t ahead = 0;
  if (file) std::ifstream(file, std::ios::binary).read(reinterpret_cast<char*>(&ahead), sizeof ahead);
  return view::Time(ahead);
}
#else
constexpr view::Time Ahead() { return view::Time(0); }
#endif

}  // namespace

view::Time FleetNow() {
  return std::chrono::duration_cast<view::Time>(Steady::now().time_since_epoch()) + Ahead();
}

Steady::time_point ToSteady(view::Time at) { return Steady::time_point(at - Ahead()); }

}  // namespace copperpoint::proxy
