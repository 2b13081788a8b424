// SPDX-License-Identifier: Apache-2.0
//
// What the member does that leads a change: asks all named members for what they count, lets them change in
// their order, watches each stage, goes on or stops. It holds nothing that must not be lost: another member
// takes up a change by its document and mark, and begins the watch of the stage anew.
#ifndef COPPERPOINT_ROLLOUT_LEADER_H_
#define COPPERPOINT_ROLLOUT_LEADER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "rollout.pb.h"
#include "rollout/compare.h"
#include "rollout/plan.h"
#include "rollout/progress.h"

namespace copperpoint::rollout {

class Leader {
 public:
  // Both have to outlive it.
  Leader(const Plan& plan, const UpgradeOrder& order);

  // From the member of that rank, which holds to `change`; asked for at `asked_at`.
  void OnReport(Time asked_at, int rank, std::uint64_t change, const wire::MemberReport& report);

  struct Decision {
    Progress mark;
    std::string what, why;  // an event, where something was decided
  };
  // What follows at `now` from a mark: the next one, where it changes.
  std::optional<Decision> Look(Time now, const Progress& mark);

  // Members that were heard lately and hold to this change, this one included.
  int Heard(Time now, std::uint64_t change) const;
  bool HasMajority(Time now, std::uint64_t change) const {
    return 2 * Heard(now, change) > static_cast<int>(order_.members.size());
  }

  // ---- for status ----
  enum class Phase { kGathering, kChanging, kSettling, kWatching };
  Phase phase() const { return phase_; }
  Time phase_since() const { return phase_since_; }
  const Comparison& comparison() const { return comparison_; }
  struct Member {
    bool ever = false;  // heard by this leader
    Time heard{};
    std::uint64_t change = 0;
    wire::MemberReport report;
    std::vector<wire::Stratum> base;  // what was counted when it was last added
    std::uint64_t base_life = 0;
    Time allowed{};        // since when it may change; 0: not yet
    bool was_new = false;  // heard as the new version, ready
    std::uint32_t crashes_before = 0;
    bool crashes_known = false;
    std::uint32_t crashes = 0;  // of a changed one, of its version; of others, since this leader hears them
    std::uint64_t cpu_base = 0, asked_base = 0, asked = 0, cpu = 0;
  };
  const std::vector<Member>& members() const { return members_; }

 private:
  bool Fresh(Time now, const Member& member) const;
  bool Changed(const Member& member) const;
  void Enter(Time now, Phase phase);
  Decision Stop(const Progress& mark, const std::string& why) const;
  std::optional<std::string> Hard(Time now,
                                  const Progress& mark) const;   // why it must stop whatever the counts say
  std::optional<std::string> Costs(const Progress& mark) const;  // processor time and memory
  void AddCounts(int rank, Member& member, bool changed);

  const Plan& plan_;
  const UpgradeOrder& order_;
  std::vector<Member> members_;
  Comparison comparison_;
  Phase phase_ = Phase::kGathering;
  Time phase_since_{}, began_{}, next_look_{};
  Time majority_since_{},
      majority_at_{};  // without a break; what was not heard before is no silence of others
  int stage_ = -1;
};

const char* NameOf(Leader::Phase phase);

}  // namespace copperpoint::rollout

#endif  // COPPERPOINT_ROLLOUT_LEADER_H_
