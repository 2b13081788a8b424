// SPDX-License-Identifier: Apache-2.0
#include "rollout/member_failures.h"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <cstddef>

namespace copperpoint::rollout {
namespace {

constexpr double kMaxCrashRatio = 3;   // The maximum ratio of crashes per canary to crashes per other member.
constexpr double kPriorCrashes = 0.5;  // Added to the other members' crashes, so that their rate is never 0.

// The contact of the other members of an upgraded member's zone that have not been admitted. The upgraded
// member's contact is compared with theirs.
struct ZoneContact {
  int members = 0, with_contact = 0;

  // Whether the zone itself has lost contact, which excuses the upgraded member. A zone without such members
  // excuses nothing.
  bool IsLost() const { return members > 0 && 2 * with_contact <= members; }
};

ZoneContact ContactOfZone(const FailureInput& input, Time now, std::size_t rank) {
  ZoneContact contact;
  for (std::size_t other = input.admitted_members; other < input.members.size(); ++other) {
    if (other == rank || input.order.members[other].zone != input.order.members[rank].zone) continue;
    ++contact.members;
    contact.with_contact += input.members.HasContact(now, other);
  }
  return contact;
}

std::optional<StopCause> FindContactLoss(const FailureInput& input, Time now, std::size_t rank) {
  const ObservedMember& member = input.members[rank];
  if (input.members.HasContact(now, rank) || member.admitted_at == Time{}) return std::nullopt;
  const Time deadline =
      std::max({member.last_contact, member.admitted_at, input.majority_since}) +
      FromSeconds(member.was_upgraded ? input.plan.contact_timeout_s : input.plan.upgrade_timeout_s);
  if (now < deadline) return std::nullopt;
  const ZoneContact zone = ContactOfZone(input, now, rank);
  if (zone.IsLost()) return std::nullopt;
  const double without_contact_s = std::chrono::duration<double>(now - member.last_contact).count();
  return StopCause{
      StopReason::kContactLost,
      fmt::format("{} has had no contact for {:.1f} s at version {}, while {} of {} other members "
                  "of zone {} have contact",
                  input.order.members[rank].name, without_contact_s, input.plan.new_version,
                  zone.with_contact, zone.members, input.order.members[rank].zone)};
}

std::optional<StopCause> FindUpgradeTimeout(const FailureInput& input, Time now, std::size_t rank) {
  const ObservedMember& member = input.members[rank];
  if (member.admitted_at == Time{} || member.was_upgraded || !input.members.HasContact(now, rank))
    return std::nullopt;
  const Time deadline =
      std::max(member.admitted_at, input.majority_since) + FromSeconds(input.plan.upgrade_timeout_s);
  if (now <= deadline) return std::nullopt;
  return StopCause{
      StopReason::kUpgradeTimeout,
      fmt::format("{} is not ready at version {} after {:.0f} s (change_s)", input.order.members[rank].name,
                  input.plan.new_version, input.plan.upgrade_timeout_s)};
}

std::optional<StopCause> FindCrashes(const FailureInput& input) {
  double canary_crashes = 0, canaries = 0, other_crashes = 0, others = 0;
  for (std::size_t rank = 0; rank < input.members.size(); ++rank) {
    const bool canary = rank < input.admitted_members && input.members[rank].was_upgraded;
    (canary ? canary_crashes : other_crashes) += input.members[rank].crashes;
    ++(canary ? canaries : others);
  }
  if (canary_crashes <= 0 || canaries <= 0) return std::nullopt;
  const double max_crashes_per_canary =
      kMaxCrashRatio * (other_crashes + kPriorCrashes) / std::max(1.0, others);
  if (canary_crashes / canaries <= max_crashes_per_canary) return std::nullopt;
  return StopCause{StopReason::kCrashes,
                   fmt::format("{:.0f} crashes at {:.0f} upgraded members, {:.0f} at {:.0f} other members",
                               canary_crashes, canaries, other_crashes, others)};
}

}  // namespace

std::optional<StopCause> FindMemberFailure(const FailureInput& input, Time now) {
  const std::size_t admitted = std::min<std::size_t>(input.admitted_members, input.members.size());
  for (std::size_t rank = 0; rank < admitted; ++rank) {
    const ObservedMember& member = input.members[rank];
    if (member.has_reported && !member.report.failure().empty())
      return StopCause{StopReason::kVersionFailed,
                       fmt::format("{} could not run version {}: {}", input.order.members[rank].name,
                                   input.plan.new_version, member.report.failure())};
    if (auto cause = FindContactLoss(input, now, rank)) return cause;
  }
  for (std::size_t rank = 0; rank < admitted; ++rank)
    if (auto cause = FindUpgradeTimeout(input, now, rank)) return cause;
  return FindCrashes(input);
}

}  // namespace copperpoint::rollout
