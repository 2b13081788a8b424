// SPDX-License-Identifier: Apache-2.0
//
// What the leader of a rollout observes of its members: their reports, whether they have contact, and how
// much they have counted since a stage's bake time started.
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

// One member, as this leader has observed it.
struct ObservedMember {
  bool has_reported = false;     // to this leader
  Time last_contact{};           // when its latest report was requested
  std::uint64_t rollout_id = 0;  // that it takes part in, by its latest report
  wire::MemberReport report;

  Time admitted_at{};         // since when it may upgrade; 0: not yet
  bool was_upgraded = false;  // has been ready at the new version
  // Of the new version, if it runs that; of others, since this leader has their reports.
  std::uint32_t crashes = 0;

  // Since the bake time started or the process did, whichever is later.
  std::uint64_t requests = 0, processor_us = 0;
};

// Owns the observations, by rank.
class MemberTable {
 public:
  // For how long a member has contact after a report was requested that it answered.
  static constexpr Time kContactTime = std::chrono::milliseconds(2500);

  MemberTable(std::string new_version, std::size_t members);

  // The member of that rank, which takes part in `rollout_id`, has answered a request of `requested_at`.
  void OnReport(Time requested_at, int rank, std::uint64_t rollout_id, const wire::MemberReport& report);
  // The first so many members may upgrade from `now` on, if they could not before.
  void OnAdmitted(Time now, std::uint32_t admitted_members);

  std::size_t size() const { return members_.size(); }
  const ObservedMember& operator[](std::size_t rank) const { return members_[rank]; }
  bool HasContact(Time now, std::size_t rank) const;
  bool IsUpgraded(std::size_t rank) const;  // ready at the new version

  // Members with contact that take part in this rollout, this one included.
  int CountParticipants(Time now, std::uint64_t rollout_id) const;
  bool HasMajority(Time now, std::uint64_t rollout_id) const;

  // From here on all counts start at 0.
  void StartBakeTime();
  // What the member has counted since the last call, of strata with requests.
  std::vector<wire::Stratum> TakeIncrease(std::size_t rank);

 private:
  struct Counters {
    std::vector<wire::Stratum> strata;             // at the last call of TakeIncrease
    std::uint64_t incarnation = 0;                 // of the process that counted them
    std::uint64_t requests = 0, processor_us = 0;  // at the start of the bake time
    bool crashes_known = false;
    std::uint32_t crashes = 0;  // in the latest report
  };

  void CountCrashes(std::size_t rank, const wire::MemberReport& report);

  const std::string new_version_;
  std::vector<ObservedMember> members_;
  std::vector<Counters> counters_;
};

}  // namespace copperpoint::rollout

#endif  // COPPERPOINT_ROLLOUT_MEMBER_TABLE_H_
