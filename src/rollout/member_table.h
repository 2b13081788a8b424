// SPDX-License-Identifier: Apache-2.0
//
// The leader's observations of a rollout's members: their reports, whether they have contact, and what they
// have counted since the bake time of the current stage started.
#ifndef COPPERPOINT_ROLLOUT_MEMBER_TABLE_H_
#define COPPERPOINT_ROLLOUT_MEMBER_TABLE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "rollout.pb.h"
#include "rollout/plan.h"

namespace copperpoint::rollout {

// The observations of one member by this leader.
struct ObservedMember {
  bool has_reported = false;     // Whether this leader has received a report.
  Time last_contact{};           // When the latest report that arrived was requested.
  std::uint64_t rollout_id = 0;  // The rollout that the member takes part in, by its latest report.
  wire::MemberReport report;     // The latest report.

  Time admitted_at{};         // Since when the member may upgrade; 0 if it may not yet.
  bool was_upgraded = false;  // Whether the member has ever been ready at the new version.
  // The crashes of the new version if the member runs it, otherwise those since its first report to this
  // leader.
  std::uint32_t crashes = 0;

  // Counts since the start of the bake time or of the member's process, whichever is later.
  std::uint64_t requests = 0, processor_us = 0;
};

// Owns the observations of all members, by rank.
class MemberTable {
 public:
  // A member has contact for this long after the time at which its latest report was requested.
  static constexpr Time kContactTime = std::chrono::milliseconds(2500);

  MemberTable(std::string new_version, std::size_t members);

  // The member of that rank, which takes part in `rollout_id`, answered the request sent at `requested_at`.
  void OnReport(Time requested_at, int rank, std::uint64_t rollout_id, const wire::MemberReport& report);
  // Sets admitted_at to `now` for those of the first `admitted_members` that were not admitted before.
  void OnAdmitted(Time now, std::uint32_t admitted_members);

  std::size_t size() const { return members_.size(); }
  const ObservedMember& operator[](std::size_t rank) const { return members_[rank]; }
  bool HasContact(Time now, std::size_t rank) const;
  bool IsUpgraded(std::size_t rank) const;  // Whether the member is ready at the new version.

  // Returns the number of members with contact that take part in `rollout_id`, the leader included.
  int CountParticipants(Time now, std::uint64_t rollout_id) const;
  bool HasMajority(Time now, std::uint64_t rollout_id) const;

  // Resets the counts of all members to 0.
  void StartBakeTime();
  // Returns what the member has counted since the previous call, for strata that received requests.
  std::vector<wire::Stratum> TakeIncrease(std::size_t rank);

 private:
  // The values of a member's counters from which its counts start.
  struct Counters {
    std::vector<wire::Stratum> strata;             // At the latest call of TakeIncrease.
    std::uint64_t incarnation = 0;                 // Of the process that reported the strata.
    std::uint64_t requests = 0, processor_us = 0;  // At the start of the bake time.
    bool crashes_known = false;                    // Whether a report has set `crashes`.
    std::uint32_t crashes = 0;                     // In the latest report.
  };

  void CountCrashes(std::size_t rank, const wire::MemberReport& report);

  const std::string new_version_;
  std::vector<ObservedMember> members_;
  std::vector<Counters> counters_;
};

}  // namespace copperpoint::rollout

#endif  // COPPERPOINT_ROLLOUT_MEMBER_TABLE_H_
