// SPDX-License-Identifier: Apache-2.0
#include "supervisor/keeper.h"

#include <algorithm>

namespace copperpoint::supervisor {

Keeper::Keeper(const Limits& limits, std::string version) : limits_(limits), version_(std::move(version)) {}

Keeper::Process Keeper::Begin(const std::string& version) {
  output_.begin.push_back({++last_, version});
  return last_;
}

void Keeper::OnStart(Time now) {
  serving_ = Begin(version_);
  next_due_ = now + limits_.ready;
}

void Keeper::OnReady(Time now, Process process) {
  if (process == serving_) {
    serves_ = true;
    served_since_ = now;
    next_due_.reset();
    if (trial_ && !heard_due_ && limits_.heard.count() > 0) heard_due_ = now + limits_.heard;
    return;
  }
  if (process != next_) return;
  // It has the listener; the one before finishes what it has.
  output_.end.emplace_back(serving_, true);
  leaving_ = serving_;
  serving_ = std::exchange(next_, 0);
  before_ = std::exchange(version_, next_version_);
  serves_ = true;
  // What is gone back to is on no trial: there is nothing else to go back to.
  trial_ = before_ != failed_version_;
  served_since_ = now;
  ends_ = ends_of_version_ = 0;
  next_due_.reset();
  if (trial_ && limits_.heard.count() > 0) heard_due_ = now + limits_.heard;
  output_.events.emplace_back("keep_serves", version_);
}

void Keeper::OnHeard(Time, Process process) {
  if (process != serving_) return;
  heard_due_.reset();
  trial_ = false;
}

void Keeper::OnWish(Time now, Process process, const std::string& version) {
  if (process != serving_ || next_ != 0 || stopping_ || !serves_ || version == version_) return;
  next_version_ = version;
  next_ = Begin(version);
  next_due_ = now + limits_.ready;
  output_.events.emplace_back("keep_begins", version);
}

void Keeper::Fail(const std::string& version, const std::string& why) {
  failed_version_ = version;
  failure_ = why;
  output_.events.emplace_back("keep_took_back", version + ": " + why);
}

// The version that serves is given up for the one before it.
void Keeper::TakeBack(Time now, const std::string& why) {
  Fail(version_, why);
  if (serving_ != 0) {
    // Brought up beside it, as any other.
    next_version_ = before_;
    if (next_ == 0) next_ = Begin(before_);
    next_due_ = now + limits_.ready;
  } else {
    version_ = before_;
    serving_ = Begin(version_);
    next_due_ = now + limits_.ready;
    output_.events.emplace_back("keep_serves", version_);
  }
  trial_ = false;
  heard_due_.reset();
  ends_ = ends_of_version_ = 0;
}

void Keeper::OnEnded(Time now, Process process, bool in_order) {
  if (process == leaving_) {
    leaving_ = 0;
  } else if (process == next_) {
    next_ = 0;
    next_due_.reset();
    if (!stopping_) {
      Fail(next_version_, "it ended before it served");
      output_.tell.emplace_back(serving_, "failed " + next_version_ + " it ended before it served");
    }
  } else if (process == serving_) {
    serving_ = 0;
    serves_ = false;
    next_due_.reset();
    if (stopping_) {
      output_.status = in_order ? 0 : 1;
    } else if (next_ != 0) {
      // The next one is on its way and takes its place when it serves.
      serving_ = std::exchange(next_, 0);
      before_ = std::exchange(version_, next_version_);
      trial_ = true;
      ends_ = ends_of_version_ = 0;
      next_due_ = now + limits_.ready;
      output_.events.emplace_back("keep_serves", version_);
    } else {
      ++ends_of_version_;
      ends_ = now - served_since_ > limits_.steady ? 1 : ends_ + 1;
      output_.events.emplace_back("keep_ended", version_);
      if (trial_ && ends_ >= limits_.most_ends_of_new) {
        TakeBack(now, "it ended " + std::to_string(ends_) + " times before it was heard");
      } else if (ends_ >= limits_.most_ends) {
        output_.events.emplace_back("keep_gave_up", version_);
        output_.status = 1;
        stopping_ = true;
      } else {
        again_at_ = now + std::min(limits_.longest_wait, limits_.first_wait * (1 << std::min(ends_ - 1, 16)));
      }
    }
  }
  if (stopping_ && serving_ == 0 && next_ == 0 && leaving_ == 0) output_.over = true;
}

void Keeper::OnTick(Time now) {
  if (again_at_ && now >= *again_at_ && !stopping_) {
    again_at_.reset();
    serving_ = Begin(version_);
    next_due_ = now + limits_.ready;
  }
  if (next_due_ && now >= *next_due_) {
    next_due_.reset();
    output_.end.emplace_back(next_ != 0 ? next_ : serving_, false);  // OnEnded says the rest
  }
  if (heard_due_ && now >= *heard_due_) {
    heard_due_.reset();
    if (trial_ && !stopping_) TakeBack(now, "it did not hear its fleet");
  }
}

void Keeper::OnStop(Time) {
  stopping_ = true;
  again_at_.reset();
  heard_due_.reset();
  for (const Process process : {serving_, next_})
    if (process != 0) output_.end.emplace_back(process, true);
  if (serving_ == 0 && next_ == 0 && leaving_ == 0) output_.over = true;
}

std::optional<Time> Keeper::next() const {
  std::optional<Time> due;
  for (const auto& one : {next_due_, again_at_, heard_due_})
    if (one && (!due || *one < *due)) due = one;
  return due;
}

}  // namespace copperpoint::supervisor
