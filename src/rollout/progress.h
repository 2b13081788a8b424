// SPDX-License-Identifier: Apache-2.0
//
// The progress of a rollout, encoded as one number that only grows. Members that disagree take the greatest
// number, whichever member wrote it. Therefore an end takes precedence over a pause, a pause over admissions,
// and a later rollout over an earlier one. Two leaders that cannot reach each other are safe: they admit
// members in the same order, so that the greater of their numbers covers both.
#ifndef COPPERPOINT_ROLLOUT_PROGRESS_H_
#define COPPERPOINT_ROLLOUT_PROGRESS_H_

#include <cstdint>

namespace copperpoint::rollout {

// The values are part of the wire format. A greater value takes precedence.
enum class RolloutStatus : std::uint8_t {
  kInProgress = 0,
  kCompleted = 1,
  kStopped = 2,     // Members stay at the version that they run.
  kRolledBack = 3,  // The leader stopped the rollout; all members return to the old version.
  kAborted = 4,     // An operator aborted the rollout; all members return to the old version.
};

// Returns the status's name in the log, in the status JSON and in the history.
const char* NameOf(RolloutStatus status);

// A rollout is identified by its epoch (24 bits) and 12 bits of the hash of its document (RolloutIdOf).
//
// The encoding has, from the highest bit: rollout_id (36 bits), status (3), pause_count (10) and
// admitted_members (15). These bits are part of the wire format, and the supervisor stores them.
struct Progress {
  static constexpr std::uint32_t kMaxPauseCount = 1023, kMaxAdmittedMembers = 32767;

  std::uint64_t rollout_id = 0;
  RolloutStatus status = RolloutStatus::kInProgress;
  std::uint32_t pause_count = 0;  // The number of pauses and resumptions; odd while paused.
  std::uint32_t admitted_members =
      0;  // The number of members, from the first of the order, that may upgrade.

  bool paused() const { return pause_count % 2 == 1; }
  bool ended() const { return status != RolloutStatus::kInProgress; }
  bool requires_rollback() const {
    return status == RolloutStatus::kRolledBack || status == RolloutStatus::kAborted;
  }

  std::uint64_t Encode() const {
    return rollout_id << 28 | std::uint64_t{static_cast<std::uint8_t>(status)} << 25 |
           std::uint64_t{pause_count & kMaxPauseCount} << 15 | (admitted_members & kMaxAdmittedMembers);
  }
  static Progress Decode(std::uint64_t encoded) {
    return {encoded >> 28, static_cast<RolloutStatus>(encoded >> 25 & 7),
            static_cast<std::uint32_t>(encoded >> 15 & kMaxPauseCount),
            static_cast<std::uint32_t>(encoded & kMaxAdmittedMembers)};
  }
};

// Returns the version of a rollout's document in the membership: its epoch and a hash of its body.
inline std::uint64_t DocumentVersion(std::uint32_t epoch, std::uint32_t hash) {
  return static_cast<std::uint64_t>(epoch) << 32 | hash;
}
inline std::uint32_t EpochOf(std::uint64_t document_version) {
  return static_cast<std::uint32_t>(document_version >> 32);
}
inline std::uint32_t EpochOfRollout(std::uint64_t rollout_id) {
  return static_cast<std::uint32_t>(rollout_id >> 12);
}
inline std::uint64_t RolloutIdOf(std::uint64_t document_version) {
  return (document_version >> 32 & 0xffffff) << 12 | (document_version >> 20 & 0xfff);
}

}  // namespace copperpoint::rollout

#endif  // COPPERPOINT_ROLLOUT_PROGRESS_H_
