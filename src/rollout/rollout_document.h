// SPDX-License-Identifier: Apache-2.0
//
// The document that distributes a rollout to its members. It contains the plan and the list of members, and
// never changes after the rollout's start.
#ifndef COPPERPOINT_ROLLOUT_ROLLOUT_DOCUMENT_H_
#define COPPERPOINT_ROLLOUT_ROLLOUT_DOCUMENT_H_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "rollout/documents.h"
#include "rollout/plan.h"
#include "rollout/upgrade_order.h"

namespace copperpoint::rollout {

// A rollout as its document describes it.
struct Rollout {
  Plan plan;
  UpgradeOrder order;
  std::uint64_t document_version = 0, id = 0;
  std::string started_by;  // The name of the member at which the rollout was started.
};

// `epoch` must be greater than that of every rollout that this member knows.
Document MakeRolloutDocument(std::uint32_t epoch, const Plan& plan, const std::string& started_by,
                             const std::vector<MemberInfo>& members);

// Returns null if `body` is malformed. Throws InvalidPlan (plan_parser.h) if a later version of the program
// wrote the plan.
std::unique_ptr<Rollout> ReadRolloutDocument(std::uint64_t version, const std::string& body);

}  // namespace copperpoint::rollout

#endif  // COPPERPOINT_ROLLOUT_ROLLOUT_DOCUMENT_H_
