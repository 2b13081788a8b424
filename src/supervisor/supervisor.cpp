// SPDX-License-Identifier: Apache-2.0
#include "supervisor/supervisor.h"

#include <algorithm>

namespace copperpoint::supervisor {

Supervisor::Supervisor(const Limits& limits, std::string version)
    : limits_(limits), version_(std::move(version)) {}

Supervisor::Process Supervisor::Start(const std::string& version) {
  output_.start.push_back({++last_process_, version});
  return last_process_;
}

void Supervisor::OnStart(Time now) {
  serving_ = Start(version_);
  ready_deadline_ = now + limits_.ready_timeout;
}

void Supervisor::OnReady(Time now, Process process) {
  if (process == serving_) {
    ready_ = true;
    ready_since_ = now;
    ready_deadline_.reset();
    if (on_probation_ && !contact_deadline_ && limits_.contact_timeout.count() > 0)
      contact_deadline_ = now + limits_.contact_timeout;
    return;
  }
  if (process != successor_) return;
  // It has the listener; the one before finishes what it has.
  output_.stop.emplace_back(serving_, true);
  predecessor_ = serving_;
  serving_ = std::exchange(successor_, 0);
  previous_version_ = std::exchange(version_, successor_version_);
  ready_ = true;
  // What is gone back to is on no trial: there is nothing else to go back to.
  on_probation_ = previous_version_ != failed_version_;
  ready_since_ = now;
  exits_in_a_row_ = exits_of_version_ = 0;
  ready_deadline_.reset();
  if (on_probation_ && limits_.contact_timeout.count() > 0) contact_deadline_ = now + limits_.contact_timeout;
  output_.events.emplace_back("keep_serves", version_);
}

void Supervisor::OnMembershipContact(Time, Process process) {
  if (process != serving_) return;
  contact_deadline_.reset();
  on_probation_ = false;
}

void Supervisor::OnVersionRequested(Time now, Process process, const std::string& version) {
  if (process != serving_ || successor_ != 0 || stopping_ || !ready_ || version == version_) return;
  successor_version_ = version;
  successor_ = Start(version);
  ready_deadline_ = now + limits_.ready_timeout;
  output_.events.emplace_back("keep_begins", version);
}

void Supervisor::RecordFailure(const std::string& version, const std::string& why) {
  failed_version_ = version;
  failure_ = why;
  output_.events.emplace_back("keep_took_back", version + ": " + why);
}

// The version that serves is given up for the one before it.
void Supervisor::RollBack(Time now, const std::string& why) {
  RecordFailure(version_, why);
  if (serving_ != 0) {
    // Brought up beside it, as any other.
    successor_version_ = previous_version_;
    if (successor_ == 0) successor_ = Start(previous_version_);
    ready_deadline_ = now + limits_.ready_timeout;
  } else {
    version_ = previous_version_;
    serving_ = Start(version_);
    ready_deadline_ = now + limits_.ready_timeout;
    output_.events.emplace_back("keep_serves", version_);
  }
  on_probation_ = false;
  contact_deadline_.reset();
  exits_in_a_row_ = exits_of_version_ = 0;
}

void Supervisor::OnExited(Time now, Process process, bool in_order) {
  if (process == predecessor_) {
    predecessor_ = 0;
  } else if (process == successor_) {
    successor_ = 0;
    ready_deadline_.reset();
    if (!stopping_) {
      RecordFailure(successor_version_, "it ended before it served");
      output_.lines.emplace_back(serving_, "failed " + successor_version_ + " it ended before it served");
    }
  } else if (process == serving_) {
    serving_ = 0;
    ready_ = false;
    ready_deadline_.reset();
    if (stopping_) {
      output_.exit_status = in_order ? 0 : 1;
    } else if (successor_ != 0) {
      // The next one is on its way and takes its place when it serves.
      serving_ = std::exchange(successor_, 0);
      previous_version_ = std::exchange(version_, successor_version_);
      on_probation_ = true;
      exits_in_a_row_ = exits_of_version_ = 0;
      ready_deadline_ = now + limits_.ready_timeout;
      output_.events.emplace_back("keep_serves", version_);
    } else {
      ++exits_of_version_;
      exits_in_a_row_ = now - ready_since_ > limits_.stable_after ? 1 : exits_in_a_row_ + 1;
      output_.events.emplace_back("keep_ended", version_);
      if (on_probation_ && exits_in_a_row_ >= limits_.max_exits_on_probation) {
        RollBack(now, "it ended " + std::to_string(exits_in_a_row_) + " times before it was heard");
      } else if (exits_in_a_row_ >= limits_.max_exits) {
        output_.events.emplace_back("keep_gave_up", version_);
        output_.exit_status = 1;
        stopping_ = true;
      } else {
        restart_at_ = now + std::min(limits_.max_backoff,
                                     limits_.initial_backoff * (1 << std::min(exits_in_a_row_ - 1, 16)));
      }
    }
  }
  if (stopping_ && serving_ == 0 && successor_ == 0 && predecessor_ == 0) output_.finished = true;
}

void Supervisor::OnTick(Time now) {
  if (restart_at_ && now >= *restart_at_ && !stopping_) {
    restart_at_.reset();
    serving_ = Start(version_);
    ready_deadline_ = now + limits_.ready_timeout;
  }
  if (ready_deadline_ && now >= *ready_deadline_) {
    ready_deadline_.reset();
    output_.stop.emplace_back(successor_ != 0 ? successor_ : serving_, false);  // OnEnded says the rest
  }
  if (contact_deadline_ && now >= *contact_deadline_) {
    contact_deadline_.reset();
    if (on_probation_ && !stopping_) RollBack(now, "it did not hear its fleet");
  }
}

void Supervisor::OnStopRequested(Time) {
  stopping_ = true;
  restart_at_.reset();
  contact_deadline_.reset();
  for (const Process process : {serving_, successor_})
    if (process != 0) output_.stop.emplace_back(process, true);
  if (serving_ == 0 && successor_ == 0 && predecessor_ == 0) output_.finished = true;
}

std::optional<Time> Supervisor::next_tick_at() const {
  std::optional<Time> due;
  for (const auto& one : {ready_deadline_, restart_at_, contact_deadline_})
    if (one && (!due || *one < *due)) due = one;
  return due;
}

}  // namespace copperpoint::supervisor
