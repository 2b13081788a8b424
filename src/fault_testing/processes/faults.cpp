// SPDX-License-Identifier: Apache-2.0
#include "fault_testing/processes/fleet.h"

namespace copperpoint::fault_testing {

void ProcessFleet::SetBackend(int backend, Directory::Phase phase, bool up) {
  const bool was_up = !down_backends_.contains(backend);
  if (was_up && !up) backends_->Down(backend);
  if (!was_up && up) backends_->Up(backend);
  if (up) down_backends_.erase(backend);
  if (!up) down_backends_.insert(backend);
  directory_->SetState(backend, phase, /*started=*/!was_up && up);
}

void ProcessFleet::StartSharedFault(const Fault& fault) {
  if (fault.AffectsLinks()) return links_.AddFault(fault);
  if (fault.kind != FaultKind::kDrain && fault.kind != FaultKind::kRestart)
    return service_faults_.AddFault(fault);
  const bool drain = fault.kind == FaultKind::kDrain;
  for (const int backend : SelectBackends(plan_, fault.who, options_.seed))
    SetBackend(backend, drain ? Directory::Phase::kTerminating : Directory::Phase::kTerminated, drain);
}

void ProcessFleet::EndSharedFault(const Fault& fault) {
  if (fault.AffectsLinks()) return links_.RemoveFault(fault);
  if (fault.kind != FaultKind::kDrain && fault.kind != FaultKind::kRestart)
    return service_faults_.RemoveFault(fault);
  for (const int backend : SelectBackends(plan_, fault.who, options_.seed))
    SetBackend(backend, Directory::Phase::kInService, /*up=*/true);
}

void ProcessFleet::TriggerFaults(std::string_view event, std::string_view member) {
  for (const std::size_t index : conditions_.TakeTriggered(event, member)) {
    Fault& fault = triggered_faults_.emplace_back(plan_.faults[index]);
    fault.at_s += Now();
    evaluator_.OnFaultTriggered(fault.at_s, fault);
    ScheduleFault(fault);
  }
}

void ProcessFleet::Schedule(double at_s, std::function<void()> what) {
  const auto due =
      started_at_ + std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(at_s));
  timers_.push_back(std::make_unique<asio::steady_timer>(io_, due));
  timers_.back()->async_wait([this, due, what = std::move(what)](const Error& cancelled) {
    if (cancelled || has_ended_) return;
    max_lateness_ = std::max(max_lateness_, Clock::now() - due);
    what();
  });
}

void ProcessFleet::ScheduleFault(const Fault& fault) {
  const double until = fault.for_s > 0 ? fault.at_s + fault.for_s : plan_.length_s;
  if (fault.AffectsLinks() || fault.AffectsService()) {
    Schedule(fault.at_s, [&] { StartSharedFault(fault); });
    if (fault.for_s > 0) Schedule(until, [&] { EndSharedFault(fault); });
    return;
  }
  const std::vector<int> members = SelectMembers(plan_, fault.who, options_.seed);
  if (fault.kind == FaultKind::kSlowStart) {
    Schedule(fault.at_s, [this, &fault, members] { delayed_starts_.emplace_back(fault, members); });
    if (fault.for_s > 0)
      Schedule(until, [this, &fault] {
        delayed_starts_.remove_if([&](const auto& one) { return one.first.at_s == fault.at_s; });
      });
    return;
  }
  for (const int member : members) {
    switch (fault.kind) {
      case FaultKind::kChange:
        if (member != members.front()) break;
        Schedule(fault.at_s, [this, member, &fault] {
          CallOperator(member, "/rollout/start", config::ReadFileContents(plan_.folder + "/" + fault.file));
        });
        break;
      case FaultKind::kAbort:
        if (member == members.front())
          Schedule(fault.at_s, [this, member] { CallOperator(member, "/rollout/abort", ""); });
        break;
      case FaultKind::kReload:
        Schedule(fault.at_s, [this, member] { Reload(member); });
        break;
      case FaultKind::kJump:
        Schedule(fault.at_s, [this, member, &fault] { JumpClock(member, fault.amount); });
        break;
      case FaultKind::kKill:
      case FaultKind::kLeave:
        Schedule(fault.at_s, [this, member, &fault] { End(member, fault.kind == FaultKind::kLeave); });
        if (fault.for_s > 0) Schedule(until, [this, member] { Start(member); });
        break;
      case FaultKind::kReplace:
        if (fault.at_s <= 0) {
          At(member).runs_other_program = true;
        } else {
          Schedule(fault.at_s, [this, member] { Replace(member, true); });
        }
        if (fault.for_s > 0) Schedule(until, [this, member] { Replace(member, false); });
        break;
      case FaultKind::kStart:
        Schedule(fault.at_s, [this, member] { Start(member); });
        break;
      case FaultKind::kStop:
        Schedule(fault.at_s, [this, member] { SetPaused(member, true); });
        if (fault.for_s > 0) Schedule(until, [this, member] { SetPaused(member, false); });
        break;
      default:  // starve
        for (const auto& [from, to] : PauseIntervals(plan_, fault, random_)) {
          Schedule(from, [this, member] { SetPaused(member, true); });
          Schedule(to, [this, member] { SetPaused(member, false); });
        }
    }
  }
}

}  // namespace copperpoint::fault_testing
