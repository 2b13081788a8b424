// SPDX-License-Identifier: Apache-2.0
#include "rollout/status.h"

#include <chrono>
#include <cstddef>
#include <nlohmann/json.hpp>

#include "rollout/cohort.h"
#include "rollout/member_table.h"

namespace copperpoint::rollout {
namespace {

using Json = nlohmann::ordered_json;

constexpr double kNeverReportedS = -1;  // The value of heard_s for a member that has not reported.

double ToSeconds(Time time) { return std::chrono::duration<double>(time).count(); }

const char* NameOf(Leader::Phase phase) {
  switch (phase) {
    case Leader::Phase::kWaitingForMajority:
      return "gathering";
    case Leader::Phase::kUpgrading:
      return "changing";
    case Leader::Phase::kSettling:
      return "settling";
    case Leader::Phase::kBaking:
      return "watching";
  }
  return "unknown";
}

Json ToJson(const CanaryAnalysis::CohortTotals& totals) {
  return {{"asked", totals.requests},
          {"missed", totals.missed},
          {"refused", totals.rejected},
          {"failed", totals.failed},
          {"attempts", totals.attempts}};
}

Json MembersToJson(const RolloutStatusView& rollout, Time now) {
  Json json = Json::array();
  const MemberTable& members = rollout.leader->members();
  for (std::size_t rank = 0; rank < members.size(); ++rank) {
    const ObservedMember& member = members[rank];
    json.push_back({{"name", rollout.order.members[rank].name},
                    {"zone", rollout.order.members[rank].zone},
                    {"allowed", rank < rollout.progress.admitted_members},
                    {"version", member.report.version()},
                    {"ready", member.report.ready()},
                    {"heard_s", member.has_reported ? ToSeconds(now - member.last_contact) : kNeverReportedS},
                    {"crashes", member.crashes}});
  }
  return json;
}

void AddLeader(Json& json, const RolloutStatusView& rollout, Time now) {
  const Leader& leader = *rollout.leader;
  json["phase"] = NameOf(leader.phase());
  json["phase_s"] = ToSeconds(now - leader.phase_since());
  json["heard"] = leader.members().CountParticipants(now, rollout.rollout_id);
  json["changed"] = ToJson(leader.analysis().totals(Cohort::kCanary));
  json["others"] = ToJson(leader.analysis().totals(Cohort::kBaseline));
  json["cohorts"] = MembersToJson(rollout, now);
}

}  // namespace

std::string FormatStatus(const std::string& version, const RolloutStatusView* rollout, Time now) {
  Json json{{"version", version}};
  if (!rollout) {
    json["change"] = nullptr;
    return json.dump();
  }
  json["change"] = {{"name", rollout->plan.name},
                    {"from", rollout->plan.old_version},
                    {"to", rollout->plan.new_version},
                    {"by", rollout->started_by},
                    {"course", rollout->expired ? "never began" : rollout::NameOf(rollout->progress.status)},
                    {"paused", rollout->progress.paused()},
                    {"members", rollout->order.members.size()},
                    {"may_have_changed", rollout->progress.admitted_members},
                    {"stages", rollout->order.stage_ends},
                    {"held_s", ToSeconds(rollout->age)},
                    {"majority_lives", rollout->has_majority}};
  json["leads"] = rollout->leader != nullptr;
  if (rollout->leader) AddLeader(json, *rollout, now);
  return json.dump();
}

std::string FormatHistory(const wire::History& history) {
  Json json = Json::array();
  for (const wire::Step& step : history.steps())
    json.push_back({{"at_s", static_cast<double>(step.age_ms()) / 1000},
                    {"what", step.event()},
                    {"why", step.reason()},
                    {"by", step.recorded_by()},
                    {"prefix", step.admitted_members()}});
  return json.dump();
}

}  // namespace copperpoint::rollout
