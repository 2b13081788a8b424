// SPDX-License-Identifier: Apache-2.0
#include "supervisor/supervisor.h"

#include <algorithm>

namespace copperpoint::supervisor {
namespace {

constexpr int kMaxDoublings = 16;  // The backoff doubles at most this often.

}  // namespace

const char* NameOf(EventKind kind) {
  switch (kind) {
    case EventKind::kSuccessorStarted:
      return "keep_begins";
    case EventKind::kVersionServing:
      return "keep_serves";
    case EventKind::kVersionFailed:
      return "keep_took_back";
    case EventKind::kProcessExited:
      return "keep_ended";
    case EventKind::kGaveUp:
      return "keep_gave_up";
  }
  return "unknown";
}

Supervisor::Supervisor(const Limits& limits, std::string version)
    : limits_(limits), version_(std::move(version)) {}

Supervisor::Process Supervisor::Start(Time now, const std::string& version) {
  output_.starts.push_back({++last_process_, version});
  ready_deadline_ = now + limits_.ready_timeout;
  return last_process_;
}

void Supervisor::OnStart(Time now) { serving_ = Start(now, version_); }

void Supervisor::OnReady(Time now, Process process) {
  if (process == serving_) {
    ready_ = true;
    ready_since_ = now;
    ready_deadline_.reset();
    if (!contact_deadline_) StartContactTimeout(now);
  } else if (process == successor_) {
    Replace(now, process);
  }
}

// The successor has taken over the listener; its predecessor answers the requests in flight.
void Supervisor::Replace(Time now, Process process) {
  output_.stops.push_back({serving_, StopMode::kGraceful});
  predecessor_ = std::exchange(serving_, process);
  successor_ = kNoProcess;
  previous_version_ = std::exchange(version_, successor_version_);
  on_probation_ = previous_version_ != failed_version_;
  ready_ = true;
  ready_since_ = now;
  consecutive_exits_ = exits_of_version_ = 0;
  ready_deadline_.reset();
  StartContactTimeout(now);
  Emit(EventKind::kVersionServing, version_);
}

void Supervisor::StartContactTimeout(Time now) {
  if (on_probation_ && limits_.contact_timeout.count() > 0) contact_deadline_ = now + limits_.contact_timeout;
}

void Supervisor::OnMembershipContact(Process process) {
  if (process != serving_) return;
  contact_deadline_.reset();
  on_probation_ = false;
}

void Supervisor::OnVersionRequested(Time now, Process process, const std::string& version) {
  if (process != serving_ || successor_ != kNoProcess || stopping_ || !ready_ || version == version_) return;
  successor_version_ = version;
  successor_ = Start(now, version);
  Emit(EventKind::kSuccessorStarted, version);
}

void Supervisor::OnProgress(Process process, std::uint64_t progress) {
  if (process == serving_ || process == successor_) progress_ = progress;
}

void Supervisor::RecordFailure(const std::string& version, const std::string& failure) {
  failed_version_ = version;
  failure_ = failure;
  Emit(EventKind::kVersionFailed, version + ": " + failure);
}

// Lets the previous version replace the one that serves: as a successor if the serving process still runs.
void Supervisor::RollBack(Time now, const std::string& failure) {
  RecordFailure(version_, failure);
  if (serving_ != kNoProcess) {
    successor_version_ = previous_version_;
    if (successor_ == kNoProcess) successor_ = Start(now, previous_version_);
    ready_deadline_ = now + limits_.ready_timeout;
  } else {
    version_ = previous_version_;
    serving_ = Start(now, version_);
    Emit(EventKind::kVersionServing, version_);
  }
  on_probation_ = false;
  contact_deadline_.reset();
  consecutive_exits_ = exits_of_version_ = 0;
}

void Supervisor::OnExited(Time now, Process process, bool success) {
  if (process == predecessor_) {
    predecessor_ = kNoProcess;
  } else if (process == successor_) {
    OnSuccessorExited();
  } else if (process == serving_) {
    OnServingExited(now, success);
  }
  FinishIfStopped();
}

void Supervisor::OnSuccessorExited() {
  successor_ = kNoProcess;
  ready_deadline_.reset();
  if (stopping_) return;
  RecordFailure(successor_version_, "its process exited before it was ready");
  output_.failure_notices.push_back({serving_, successor_version_, failure_});
}

void Supervisor::OnServingExited(Time now, bool success) {
  serving_ = kNoProcess;
  ready_ = false;
  ready_deadline_.reset();
  if (stopping_) {
    output_.exit_status = success ? 0 : 1;
    return;
  }
  if (successor_ == kNoProcess) return RestartOrGiveUp(now);
  serving_ = std::exchange(successor_, kNoProcess);
  previous_version_ = std::exchange(version_, successor_version_);
  on_probation_ = true;
  consecutive_exits_ = exits_of_version_ = 0;
  ready_deadline_ = now + limits_.ready_timeout;
  Emit(EventKind::kVersionServing, version_);
}

void Supervisor::RestartOrGiveUp(Time now) {
  ++exits_of_version_;
  consecutive_exits_ = now - ready_since_ > limits_.stable_after ? 1 : consecutive_exits_ + 1;
  Emit(EventKind::kProcessExited, version_);
  if (on_probation_ && consecutive_exits_ >= limits_.max_exits_on_probation) {
    RollBack(now, "its process exited " + std::to_string(consecutive_exits_) +
                      " times in a row without membership contact");
  } else if (consecutive_exits_ >= limits_.max_exits) {
    Emit(EventKind::kGaveUp, version_);
    output_.exit_status = 1;
    stopping_ = true;
  } else {
    const int doublings = std::min(consecutive_exits_ - 1, kMaxDoublings);
    restart_at_ = now + std::min(limits_.max_backoff, limits_.initial_backoff * (1 << doublings));
  }
}

void Supervisor::OnTick(Time now) {
  if (restart_at_ && now >= *restart_at_ && !stopping_) {
    restart_at_.reset();
    serving_ = Start(now, version_);
  }
  if (ready_deadline_ && now >= *ready_deadline_) {
    ready_deadline_.reset();
    output_.stops.push_back({successor_ != kNoProcess ? successor_ : serving_, StopMode::kKill});
  }
  if (contact_deadline_ && now >= *contact_deadline_) {
    contact_deadline_.reset();
    if (on_probation_ && !stopping_)
      RollBack(now, "its process had no membership contact within " +
                        std::to_string(limits_.contact_timeout.count()) + " ms (heard_ms)");
  }
}

void Supervisor::OnStopRequested() {
  stopping_ = true;
  restart_at_.reset();
  contact_deadline_.reset();
  for (const Process process : {serving_, successor_})
    if (process != kNoProcess) output_.stops.push_back({process, StopMode::kGraceful});
  FinishIfStopped();
}

void Supervisor::FinishIfStopped() {
  const bool none_left = serving_ == kNoProcess && successor_ == kNoProcess && predecessor_ == kNoProcess;
  if (stopping_ && none_left) output_.finished = true;
}

std::optional<Time> Supervisor::next_tick_at() const {
  std::optional<Time> next;
  for (const auto& deadline : {ready_deadline_, restart_at_, contact_deadline_})
    if (deadline && (!next || *deadline < *next)) next = deadline;
  return next;
}

}  // namespace copperpoint::supervisor
