// SPDX-License-Identifier: Apache-2.0
#include "rollout/rollout_document.h"

#include <xxhash.h>

#include <utility>

#include "rollout.pb.h"
#include "rollout/plan_parser.h"
#include "rollout/progress.h"

namespace copperpoint::rollout {

Document MakeRolloutDocument(std::uint32_t epoch, const Plan& plan, const std::string& started_by,
                             const std::vector<MemberInfo>& members) {
  wire::RolloutDocument document;
  document.set_plan(FormatPlan(plan));
  document.set_started_by(started_by);
  for (const MemberInfo& member : members) {
    wire::Member& added = *document.add_members();
    added.set_name(member.name);
    added.set_zone(member.zone);
  }
  std::string body = document.SerializeAsString();
  const std::uint64_t version = DocumentVersion(epoch, XXH32(body.data(), body.size(), 0));
  return {kPlanTopic, version, std::move(body)};
}

std::unique_ptr<Rollout> ReadRolloutDocument(std::uint64_t version, const std::string& body) {
  wire::RolloutDocument document;
  if (!document.ParseFromString(body)) return nullptr;
  auto rollout = std::make_unique<Rollout>();
  rollout->plan = ParsePlan(document.plan(), "the rollout started at " + document.started_by());
  std::vector<MemberInfo> members;
  members.reserve(static_cast<std::size_t>(document.members_size()));
  for (const wire::Member& member : document.members()) members.push_back({member.name(), member.zone()});
  rollout->document_version = version;
  rollout->id = RolloutIdOf(version);
  rollout->order = MakeUpgradeOrder(rollout->plan, std::move(members), rollout->id);
  rollout->started_by = document.started_by();
  return rollout;
}

}  // namespace copperpoint::rollout
