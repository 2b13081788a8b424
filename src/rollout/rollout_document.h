// SPDX-License-Identifier: Apache-2.0
//
// The document with which a rollout spreads to its members: the plan, and which members there are. It is
// never changed after its start.
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
  std::string started_by;  // a member
};

// `epoch`: greater than that of every rollout that is known to the member.
Document MakeRolloutDocument(std::uint32_t epoch, const Plan& plan, const std::string& started_by,
                             const std::vector<MemberInfo>& members);

// Null if `body` is malformed. Throws InvalidPlan (plan_parser.h) for a plan of a later version of the
// program.
std::unique_ptr<Rollout> ReadRolloutDocument(std::uint64_t version, const std::string& body);

}  // namespace copperpoint::rollout

#endif  // COPPERPOINT_ROLLOUT_ROLLOUT_DOCUMENT_H_
