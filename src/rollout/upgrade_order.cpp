// SPDX-License-Identifier: Apache-2.0
#include "rollout/upgrade_order.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <map>
#include <utility>

namespace copperpoint::rollout {
namespace {

constexpr double kRounding = 1e-9;  // Tolerance for rounding errors of fractions.

struct Zone {
  std::vector<MemberInfo> members;  // In their order within the zone.
  std::size_t taken = 0;            // The number of them that the rollout's order already contains.

  double remaining_fraction() const {
    return static_cast<double>(members.size() - taken) / static_cast<double>(members.size());
  }
};

// Returns the zones with their members, both sorted by hash.
std::vector<Zone> SortedZones(std::vector<MemberInfo> members, std::uint64_t rollout_id) {
  const auto hash = [&](const std::string& name) { return XXH64(name.data(), name.size(), rollout_id); };
  const auto before = [&](const std::string& a, const std::string& b) {
    return std::pair(hash(a), a) < std::pair(hash(b), b);
  };
  std::map<std::string, std::vector<MemberInfo>> by_name;
  for (MemberInfo& member : members) by_name[member.zone].push_back(std::move(member));
  std::vector<Zone> zones;
  for (auto& [name, of_zone] : by_name) {
    std::sort(of_zone.begin(), of_zone.end(),
              [&](const MemberInfo& a, const MemberInfo& b) { return before(a.name, b.name); });
    zones.push_back({std::move(of_zone)});
  }
  std::sort(zones.begin(), zones.end(), [&](const Zone& a, const Zone& b) {
    return before(a.members.front().zone, b.members.front().zone);
  });
  return zones;
}

// Returns the number of members that are upgraded when each stage ends. It never decreases.
std::vector<int> StageEnds(const Plan& plan, int members, int zones) {
  std::vector<int> ends;
  for (const Stage& stage : plan.stages) {
    int end =
        std::max(stage.members, static_cast<int>(std::ceil(stage.member_fraction * members - kRounding)));
    if (stage.one_per_zone) end = std::max(end, zones);
    ends.push_back(std::clamp(end, ends.empty() ? 0 : ends.back(), members));
  }
  return ends;
}

}  // namespace

int UpgradeOrder::RankOf(const std::string& name) const {
  const auto found = std::find_if(members.begin(), members.end(),
                                  [&](const MemberInfo& member) { return member.name == name; });
  return found == members.end() ? kNotAMember : static_cast<int>(found - members.begin());
}

int UpgradeOrder::StageOf(int admitted_members) const {
  const auto found =
      std::find_if(stage_ends.begin(), stage_ends.end(), [&](int end) { return end >= admitted_members; });
  return found == stage_ends.end() ? static_cast<int>(stage_ends.size()) - 1
                                   : static_cast<int>(found - stage_ends.begin());
}

UpgradeOrder MakeUpgradeOrder(const Plan& plan, std::vector<MemberInfo> members, std::uint64_t rollout_id) {
  const std::size_t count = members.size();
  std::vector<Zone> zones = SortedZones(std::move(members), rollout_id);
  UpgradeOrder order;
  while (order.members.size() < count) {
    // The next member is of the first zone with the greatest remaining fraction.
    Zone* next = nullptr;
    for (Zone& zone : zones) {
      if (zone.taken == zone.members.size()) continue;
      if (!next || zone.remaining_fraction() > next->remaining_fraction() + kRounding) next = &zone;
    }
    order.members.push_back(next->members[next->taken++]);
  }
  order.stage_ends = StageEnds(plan, static_cast<int>(count), static_cast<int>(zones.size()));
  return order;
}

}  // namespace copperpoint::rollout
