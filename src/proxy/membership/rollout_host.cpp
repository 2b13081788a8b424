// SPDX-License-Identifier: Apache-2.0
#include "proxy/membership/rollout_host.h"

#include <algorithm>
#include <chrono>
#include <nlohmann/json.hpp>
#include <utility>

#include "config/read.h"
#include "log/log.h"
#include "proxy/membership/clock.h"
#include "rollout/plan_parser.h"

namespace copperpoint::proxy {
namespace {

using FleetCallRequest = AdminHandler::FleetCallRequest;
using FleetCallResult = AdminHandler::FleetCallResult;

constexpr std::string_view kRolloutPath = "/rollout";
constexpr double kMinLifetimeSeconds = 1;  // the shortest time over which a rate is computed

}  // namespace

bool RolloutHost::IsRolloutCall(std::string_view target) { return target.starts_with(kRolloutPath); }

RolloutHost::RolloutHost(boost::asio::io_context& io, const Member& self, Callbacks callbacks)
    : callbacks_(std::move(callbacks)),
      started_at_(MembershipNow()),
      supervisor_(
          SupervisorLink::FromEnvironment(io,
                                          [this](const std::string& version, const std::string& reason) {
                                            agent_.OnVersionFailed(version, reason);
                                            callbacks_.on_output();
                                          })),
      agent_(AgentIdentity(self), callbacks_.is_living, [this] { return Report(); }) {}

rollout::Agent::Identity RolloutHost::AgentIdentity(const Member& self) const {
  rollout::Agent::Identity agent;
  agent.name = self.name;
  agent.incarnation = self.incarnation;
  if (!supervisor_) return agent;
  const SupervisorLink::History& history = supervisor_->history();
  agent.version = history.version;
  agent.progress = history.progress;
  agent.failed_version = history.failed_version;
  agent.failure = history.failure;
  return agent;
}

rollout::wire::MemberReport RolloutHost::Report() const {
  rollout::wire::MemberReport report = counts_.Report();
  report.set_ready(serving_ && !left_);
  if (supervisor_) report.set_crashes(supervisor_->history().unexpected_exits);
  return report;
}

void RolloutHost::OnMessage(membership::Time now, const std::string& from, const std::string& body) {
  agent_.OnMessage(now, from, body);
}

void RolloutHost::OnDocument(membership::Time now, std::uint32_t topic, std::uint64_t version,
                             const std::string& body) {
  agent_.OnDocument(now, topic, version, body);
}

void RolloutHost::OnTick(membership::Time now) {
  if (agent_.next_tick_at() <= now) agent_.OnTick(now);
}

rollout::Agent::Output RolloutHost::TakeOutput() {
  rollout::Agent::Output output = agent_.TakeOutput();
  for (const rollout::Event& event : output.events)
    log::Global().Info(std::string("rollout_") + rollout::NameOf(event.kind),
                       {{"change", event.rollout_name},
                        {"why", event.reason},
                        {"may_have_changed", event.admitted_members}});
  if (supervisor_ && output.progress != 0) supervisor_->StoreProgress(output.progress);
  if (supervisor_ && output.requested_version) supervisor_->RequestVersion(*output.requested_version);
  return output;
}

void RolloutHost::OnServing() {
  if (std::exchange(serving_, true)) return;
  if (supervisor_) supervisor_->ReportServing();
}

void RolloutHost::OnLeft() { left_ = true; }

void RolloutHost::OnConnected() {
  if (std::exchange(connected_, true)) return;
  if (supervisor_) supervisor_->ReportMembershipContact();
}

std::optional<FleetCallResult> RolloutHost::Handle(membership::Time now, const FleetCallRequest& request) {
  const std::string_view call = std::string_view(request.target).substr(kRolloutPath.size());
  if (request.method == FleetCallRequest::Method::kGet) return HandleGet(now, call);
  return HandlePost(now, call, request.body);
}

std::optional<FleetCallResult> RolloutHost::HandleGet(membership::Time now, std::string_view call) const {
  if (call == "/history") return FleetCallResult{true, agent_.HistoryJson()};
  if (call.empty()) return FleetCallResult{true, StatusJson(now)};
  return std::nullopt;
}

std::optional<FleetCallResult> RolloutHost::HandlePost(membership::Time now, std::string_view call,
                                                       const std::string& body) {
  std::optional<rollout::CommandFailure> failure;
  if (call == "/start") {
    failure = Start(now, body);
  } else if (call == "/abort") {
    failure = agent_.Abort(now);
  } else if (call == "/pause") {
    failure = agent_.Pause(now);
  } else if (call == "/resume") {
    failure = agent_.Resume(now);
  } else {
    return std::nullopt;
  }
  return FleetCallResult{!failure, failure ? failure->text : "done"};
}

std::string RolloutHost::StatusJson(membership::Time now) const {
  auto json = nlohmann::ordered_json::parse(agent_.StatusJson(now));
  const double lifetime_s = std::chrono::duration<double>(now - started_at_).count();
  json["rate_per_s"] = static_cast<double>(counts_.recorded()) / std::max(kMinLifetimeSeconds, lifetime_s);
  return json.dump();
}

std::optional<rollout::CommandFailure> RolloutHost::Start(membership::Time now, const std::string& plan) {
  try {
    return agent_.Start(now, rollout::ParsePlan(plan, "plan"), callbacks_.living_members());
  } catch (const rollout::InvalidPlan& error) {
    return rollout::CommandFailure{rollout::CommandError::kInvalidPlan, error.what()};
  }
}

}  // namespace copperpoint::proxy
