// SPDX-License-Identifier: Apache-2.0
//
// Decides which version this member runs, using only what the member itself knows. It upgrades when it is
// admitted and rolls back when the rollout requires it; neither needs contact to the leader.
#ifndef COPPERPOINT_ROLLOUT_VERSION_SWITCH_H_
#define COPPERPOINT_ROLLOUT_VERSION_SWITCH_H_

#include <optional>
#include <string>

#include "rollout/plan.h"
#include "rollout/progress.h"

namespace copperpoint::rollout {

struct VersionRequest {
  std::string version, reason;
};

// Owns the version that was requested last and the version that failed last.
class VersionSwitch {
 public:
  struct Input {
    const Plan& plan;
    const Progress& progress;
    int rank = 0;               // This member's rank in the upgrade order.
    bool has_majority = false;  // Whether a majority of the members is alive.
    Time majority_at{};         // When a majority was last alive.
  };

  // `version` is the supervisor's name of the version that this process runs. Without a supervisor it is
  // empty, and no other version is ever requested. `failed_version` and `failure` are what the supervisor has
  // stored about the version that failed last.
  VersionSwitch(std::string version, std::string failed_version, std::string failure);

  void OnRolloutStarted() { rollback_at_.reset(); }
  // The supervisor has rolled `version` back because of `failure`.
  void OnVersionFailed(const std::string& version, const std::string& failure);

  // Returns the version that the supervisor is to run from now on, if it differs from the one requested last.
  // To be called at each tick and when the progress has changed.
  std::optional<VersionRequest> Update(Time now, const Input& input);

  const std::string& requested_version() const { return requested_version_; }
  // Returns why `version` failed at this member; empty if it did not fail last.
  std::string FailureOf(const std::string& version) const;

 private:
  std::optional<VersionRequest> Request(const std::string& version, const std::string& reason);
  std::optional<VersionRequest> RollBack(Time now, const Input& input);
  bool MayUpgrade(const Input& input) const;

  const std::string own_version_;
  std::string requested_version_, failed_version_, failure_;
  std::optional<Time> rollback_at_;  // When this member's turn to roll back comes.
};

}  // namespace copperpoint::rollout

#endif  // COPPERPOINT_ROLLOUT_VERSION_SWITCH_H_
