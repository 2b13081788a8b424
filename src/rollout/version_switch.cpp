// SPDX-License-Identifier: Apache-2.0
#include "rollout/version_switch.h"

#include <algorithm>
#include <utility>

namespace copperpoint::rollout {

VersionSwitch::VersionSwitch(std::string version, std::string failed_version, std::string failure)
    : own_version_(std::move(version)),
      requested_version_(own_version_),
      failed_version_(std::move(failed_version)),
      failure_(std::move(failure)) {}

void VersionSwitch::OnVersionFailed(const std::string& version, const std::string& failure) {
  failed_version_ = version;
  failure_ = failure;
  requested_version_ = own_version_;
}

std::string VersionSwitch::FailureOf(const std::string& version) const {
  return failed_version_ == version ? failure_ : "";
}

std::optional<VersionRequest> VersionSwitch::Request(const std::string& version, const std::string& reason) {
  if (requested_version_ == version) return std::nullopt;
  requested_version_ = version;
  return VersionRequest{version, reason};
}

std::optional<VersionRequest> VersionSwitch::Update(Time now, const Input& input) {
  if (input.rank < 0 || own_version_.empty()) return std::nullopt;
  const Plan& plan = input.plan;
  const bool upgraded = requested_version_ == plan.new_version;
  if (input.progress.requires_rollback()) return upgraded ? RollBack(now, input) : std::nullopt;
  if (!upgraded)
    return MayUpgrade(input) ? Request(plan.new_version, "the rollout admitted this member") : std::nullopt;
  const bool isolated = now - input.majority_at > FromSeconds(plan.isolation_timeout_s);
  if (input.progress.ended() || plan.isolation_timeout_s <= 0 || !isolated) return std::nullopt;
  return Request(plan.old_version, "no contact to a majority of the members for longer than alone_back_s");
}

// The members that upgraded last roll back first, `max_unavailable` at a time. Each member derives the time
// of its turn from its rank.
std::optional<VersionRequest> VersionSwitch::RollBack(Time now, const Input& input) {
  if (!rollback_at_) {
    // The number of members that roll back before this one.
    const int before = std::max(0, static_cast<int>(input.progress.admitted_members) - 1 - input.rank);
    rollback_at_ = now + (before / input.plan.max_unavailable) * FromSeconds(input.plan.rollback_interval_s);
  }
  if (now < *rollback_at_) return std::nullopt;
  return Request(input.plan.old_version, std::string("the rollout was ") + NameOf(input.progress.status));
}

// A member upgrades only from the plan's old version, only if the new version did not fail here before, and
// only while a majority of the members is alive.
bool VersionSwitch::MayUpgrade(const Input& input) const {
  if (input.progress.ended() && input.progress.status != RolloutStatus::kCompleted) return false;
  return input.rank < static_cast<int>(input.progress.admitted_members) &&
         requested_version_ == input.plan.old_version && failed_version_ != input.plan.new_version &&
         input.has_majority;
}

}  // namespace copperpoint::rollout
