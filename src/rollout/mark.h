// SPDX-License-Identifier: Apache-2.0
//
// How far a change has gone, in one number that only grows: of two marks the greater holds, whoever wrote
// them. So an end goes before a pause, a pause before progress, and a later change before an earlier one;
// progress of two leaders that do not hear each other is the greater of theirs and never their sum, as both
// go by one order.
//
//   bits 40..63  epoch of the change      12 bits from 28: a hash of it, so that two of one epoch are told
//   apart
#ifndef COPPERPOINT_ROLLOUT_MARK_H_
#define COPPERPOINT_ROLLOUT_MARK_H_

#include <cstdint>

namespace copperpoint::rollout {

// How a change stands. A later one goes before an earlier.
enum class Course : std::uint8_t {
  kGoing = 0,
  kDone = 1,
  kStopped = 2,  // where it stands
  kBack = 3,     // stopped, and taken back
  kAborted = 4,  // by an operator: stopped, and taken back
};

struct Mark {
  std::uint64_t change = 0;  // epoch and hash, as Key() of the document's version
  Course course = Course::kGoing;
  std::uint32_t pauses = 0;  // odd: it pauses; 1,023 at most
  std::uint32_t prefix = 0;  // so many members of the order may have changed; 32,767 at most

  bool paused() const { return pauses % 2 == 1; }
  bool ended() const { return course != Course::kGoing; }
  bool takes_back() const { return course == Course::kBack || course == Course::kAborted; }

  std::uint64_t Pack() const {
    return change << 28 | std::uint64_t{static_cast<std::uint8_t>(course)} << 25 |
           std::uint64_t{pauses & 1023} << 15 | (prefix & 32767);
  }
  static Mark Unpack(std::uint64_t packed) {
    return {packed >> 28, static_cast<Course>(packed >> 25 & 7),
            static_cast<std::uint32_t>(packed >> 15 & 1023), static_cast<std::uint32_t>(packed & 32767)};
  }
};

// A document's version is its epoch and 32 bits of a hash of its body; its key the epoch and twelve of them.
inline std::uint64_t VersionOf(std::uint32_t epoch, std::uint32_t hash) {
  return static_cast<std::uint64_t>(epoch) << 32 | hash;
}
inline std::uint64_t KeyOf(std::uint64_t version) {
  return (version >> 32 & 0xffffff) << 12 | (version >> 20 & 0xfff);
}
inline std::uint32_t EpochOf(std::uint64_t version) { return static_cast<std::uint32_t>(version >> 32); }

}  // namespace copperpoint::rollout

#endif  // COPPERPOINT_ROLLOUT_MARK_H_
