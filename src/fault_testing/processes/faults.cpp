// SPDX-License-Identifier: Apache-2.0
#include "fault_testing/processes/fleet.h"

namespace copperpoint::fault_testing {

void ProcessFleet::SetBackend(int backend, Directory::Phase phase, bool up) {
  const bool was = !down_.contains(backend);
  if (was && !up) backends_->Down(backend);
  if (!was && up) backends_->Up(backend);
  if (up) down_.erase(backend);
  if (!up) down_.insert(backend);
  directory_->Set(backend, phase, /*started=*/!was && up);
}

void ProcessFleet::BeginBetween(const Fault& fault) {
  if (fault.OnLinks()) return links_.Begin(fault);
  if (fault.kind != FaultKind::kDrain && fault.kind != FaultKind::kRestart) return troubles_.Begin(fault);
  const bool drain = fault.kind == FaultKind::kDrain;
  for (const int backend : ChosenBackends(plan_, fault.who, options_.seed))
    SetBackend(backend, drain ? Directory::Phase::kTerminating : Directory::Phase::kTerminated, drain);
}

void ProcessFleet::EndBetween(const Fault& fault) {
  if (fault.OnLinks()) return links_.End(fault);
  if (fault.kind != FaultKind::kDrain && fault.kind != FaultKind::kRestart) return troubles_.End(fault);
  for (const int backend : ChosenBackends(plan_, fault.who, options_.seed))
    SetBackend(backend, Directory::Phase::kInService, /*up=*/true);
}

void ProcessFleet::Meet(std::string_view event, std::string_view member) {
  for (const std::size_t index : conditions_.Met(event, member)) {
    Fault& fault = begun_.emplace_back(plan_.faults[index]);
    fault.at_s += Now();
    judge_.Begun(fault.at_s, fault);
    ScheduleFault(fault);
  }
}

void ProcessFleet::Schedule(double at_s, std::function<void()> what) {
  const auto due = began_ + std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(at_s));
  timers_.push_back(std::make_unique<asio::steady_timer>(io_, due));
  timers_.back()->async_wait([this, due, what = std::move(what)](const Error& cancelled) {
    if (cancelled || over_) return;
    latest_ = std::max(latest_, Clock::now() - due);
    what();
  });
}

void ProcessFleet::ScheduleFault(const Fault& fault) {
  const double until = fault.for_s > 0 ? fault.at_s + fault.for_s : plan_.length_s;
  if (fault.OnLinks() || fault.OnService()) {
    Schedule(fault.at_s, [&] { BeginBetween(fault); });
    if (fault.for_s > 0) Schedule(until, [&] { EndBetween(fault); });
    return;
  }
  const std::vector<int> members = Chosen(plan_, fault.who, options_.seed);
  if (fault.kind == FaultKind::kSlowStart) {
    Schedule(fault.at_s, [this, &fault, members] { slow_starts_.emplace_back(fault, members); });
    if (fault.for_s > 0)
      Schedule(until, [this, &fault] {
        slow_starts_.remove_if([&](const auto& one) { return one.first.at_s == fault.at_s; });
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
      case FaultKind::kJump:
        Schedule(fault.at_s, [this, member, &fault] { Jump(member, fault.amount); });
        break;
      case FaultKind::kKill:
      case FaultKind::kLeave:
        Schedule(fault.at_s, [this, member, &fault] { End(member, fault.kind == FaultKind::kLeave); });
        if (fault.for_s > 0) Schedule(until, [this, member] { Start(member); });
        break;
      case FaultKind::kReplace:
        if (fault.at_s <= 0) {
          At(member).other = true;
        } else {
          Schedule(fault.at_s, [this, member] { Replace(member, true); });
        }
        if (fault.for_s > 0) Schedule(until, [this, member] { Replace(member, false); });
        break;
      case FaultKind::kStart:
        Schedule(fault.at_s, [this, member] { Start(member); });
        break;
      case FaultKind::kStop:
        Schedule(fault.at_s, [this, member] { Stop(member, true); });
        if (fault.for_s > 0) Schedule(until, [this, member] { Stop(member, false); });
        break;
      default:  // starve
        for (const auto& [from, to] : StopsOf(plan_, fault, random_)) {
          Schedule(from, [this, member] { Stop(member, true); });
          Schedule(to, [this, member] { Stop(member, false); });
        }
    }
  }
}

}  // namespace copperpoint::fault_testing
