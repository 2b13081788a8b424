// SPDX-License-Identifier: Apache-2.0
//
// Decides which version this member runs, by what it knows itself: it upgrades when it is admitted, rolls
// back when the rollout was stopped, and needs no leader for that.
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

// Owns which version was requested last, and which one failed.
class VersionSwitch {
 public:
  struct Input {
    const Plan& plan;
    const Progress& progress;
    int rank = 0;               // of this member in the order
    bool has_majority = false;  // of the members lives
    Time majority_at{};         // when it last did
  };

  // `version`: that this process runs, by the supervisor's name; empty without a supervisor, which means that
  // this member runs what it runs. The last two are what the supervisor has stored of a version that failed.
  VersionSwitch(std::string version, std::string failed_version, std::string failure);

  void OnRolloutStarted() { rollback_at_.reset(); }
  // The supervisor has rolled `version` back.
  void OnVersionFailed(const std::string& version, const std::string& failure);

  // The version that the supervisor is to run from now on, if that is another one. Call it at each tick and
  // when the progress has changed.
  std::optional<VersionRequest> Update(Time now, const Input& input);

  const std::string& requested_version() const { return requested_version_; }
  // Why `version` failed here; empty if it did not.
  std::string FailureOf(const std::string& version) const;

 private:
  std::optional<VersionRequest> Request(const std::string& version, const std::string& reason);
  std::optional<VersionRequest> RollBack(Time now, const Input& input);
  bool MayUpgrade(const Input& input) const;

  const std::string own_version_;
  std::string requested_version_, failed_version_, failure_;
  std::optional<Time> rollback_at_;
};

}  // namespace copperpoint::rollout

#endif  // COPPERPOINT_ROLLOUT_VERSION_SWITCH_H_
