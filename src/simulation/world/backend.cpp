// SPDX-License-Identifier: Apache-2.0
#include "simulation/world/backend.h"

#include <algorithm>
#include <cmath>

namespace copperpoint::simulation {
namespace {

constexpr double kPressSlack = 3;  // mean-sized requests that chance may add to the cold budget
constexpr double kRootSlack = 2;   // the same beside roots of it

}  // namespace

Backend::Backend(const Machine& machine, int zone, int cell, double speed)
    : machine_(&machine), zone_(zone), cell_(cell), speed_(speed) {
  const auto slots =
      static_cast<std::size_t>(std::max(1.0, std::floor(machine.cores * machine.slots_per_core)));
  slots_.resize(slots);
  for (std::size_t i = slots; i > 0; --i) free_.push_back(static_cast<std::uint32_t>(i - 1));
}

double Backend::Warmth(Micros now) const {
  const Micros slow_start_window = FromMs(machine_->warm_up_s * 1000);
  if (up_since_ == 0 || slow_start_window <= 0 || now - up_since_ >= slow_start_window) return 1;
  return machine_->slow_start_min_capacity + (1 - machine_->slow_start_min_capacity) *
                                                 static_cast<double>(now - up_since_) /
                                                 static_cast<double>(slow_start_window);
}

double Backend::Capacity(Micros now) const { return machine_->cores * speed_ * Warmth(now) / grey_; }

bool Backend::Knows(Micros now, std::uint64_t key) const {
  if (key == 0 || machine_->warm_key_gain <= 0) return false;
  const auto found = met_.find(key);
  return found != met_.end() && now - found->second < FromMs(machine_->warm_key_s * 1000);
}

void Backend::Meet(Micros now, std::uint64_t key) {
  if (key == 0 || machine_->warm_key_gain <= 0) return;
  met_[key] = now;
  met_order_.emplace_back(now, key);
  const auto most = static_cast<std::size_t>(machine_->key_affinity * machine_->cores);
  while (!met_order_.empty() &&
         (met_.size() > most || now - met_order_.front().first >= FromMs(machine_->warm_key_s * 1000))) {
    const auto [at, old] = met_order_.front();
    met_order_.pop_front();
    const auto found = met_.find(old);
    if (found != met_.end() && found->second == at) met_.erase(found);
  }
}

// Time that a job takes from its start on, in ms. Slots share the cores; what crowds it counts at the start.
double Backend::Needed(Micros now, const Job& job) const {
  const double work = job.work_ms * (Knows(now, job.key) ? 1 - machine_->warm_key_gain : 1);
  const double shared = std::max(1.0, static_cast<double>(busy_ + 1) / machine_->cores);
  double rate = speed_ * Warmth(now) / grey_ / shared;
  if (machine_->crowd_at > 0) {
    const double per_slot = static_cast<double>(held()) / static_cast<double>(slots_.size());
    const double over = std::max(0.0, per_slot / machine_->crowd_at - 1);
    rate /= 1 + over * machine_->crowding / (1 - machine_->crowding);
  }
  return work / std::max(rate, 1e-9);
}

Backend::Started Backend::Begin(Micros now, const Job& job) {
  const std::uint32_t index = free_.back();
  free_.pop_back();
  Slot& slot = slots_[index];
  const double needed = Needed(now, job);
  slot.job = job;
  slot.busy = true;
  slot.frozen_before = frozen_sum_;
  ++busy_;
  Meet(now, job.key);
  return {index | slot.serial << 16, std::max(now, frozen_until_) + std::max<Micros>(1, FromMs(needed))};
}

Backend::Verdict Backend::Arrive(Micros now, const Job& job, Started* started) {
  if (!free_.empty() && waiting_.empty()) {
    *started = Begin(now, job);
    return Verdict::kStarted;
  }
  if (static_cast<int>(waiting_.size()) >= machine_->queue) return Verdict::kFull;
  waiting_.push_back(job);
  waiting_ms_ += job.work_ms;
  return Verdict::kWaits;
}

std::optional<Job> Backend::End(Micros now, std::uint32_t index_and_serial, Micros* again) {
  const std::uint32_t index = index_and_serial & 0xffff;
  Slot& slot = slots_[index];
  *again = 0;
  if (!slot.busy || slot.serial != index_and_serial >> 16) return std::nullopt;
  if (const Micros frozen = frozen_sum_ - slot.frozen_before; frozen > 0) {
    slot.frozen_before = frozen_sum_;
    *again = now + frozen;
    return std::nullopt;
  }
  Free(index);
  return slot.job;
}

std::optional<Backend::Started> Backend::StartNext(Micros now) {
  if (free_.empty() || health_ != Health::kUp) return std::nullopt;
  while (!waiting_.empty()) {
    const Job job = waiting_.front();
    waiting_.pop_front();
    waiting_ms_ = waiting_.empty() ? 0 : waiting_ms_ - job.work_ms;
    return Begin(now, job);
  }
  return std::nullopt;
}

bool Backend::Cancel(std::uint32_t try_slot, std::uint8_t attempt) {
  if (machine_->cancelled == "runs_on") return false;
  const auto same = [&](const Job& j) { return j.try_slot == try_slot && j.attempt == attempt; };
  const auto found = std::find_if(waiting_.begin(), waiting_.end(), same);
  if (found != waiting_.end()) {
    waiting_ms_ -= found->work_ms;
    waiting_.erase(found);
    return true;
  }
  if (machine_->cancelled != "stops") return false;
  for (std::uint32_t i = 0; i < slots_.size(); ++i) {
    if (!slots_[i].busy || !same(slots_[i].job)) continue;
    Free(i);
    return true;
  }
  return false;
}

void Backend::Free(std::uint32_t index) {
  slots_[index].busy = false;
  slots_[index].serial = (slots_[index].serial + 1) & 0xffff;
  free_.push_back(index);
  --busy_;
}

// What is in work is put off by as long, and what begins meanwhile begins at the end: see Begin and End.
// Freezes that overlap are one.
void Backend::Freeze(Micros now, Micros until) {
  const Micros from = std::max(now, frozen_until_);
  if (until <= from) return;
  frozen_sum_ += until - from;
  frozen_until_ = until;
  // Jobs that began within a freeze count from its end, which has just moved: they are put off by the rest
  // only, as all others.
}

std::vector<Job> Backend::Die(Health to) {
  std::vector<Job> held;
  for (std::uint32_t i = 0; i < slots_.size(); ++i) {
    if (slots_[i].busy) held.push_back(slots_[i].job);
  }
  held.insert(held.end(), waiting_.begin(), waiting_.end());
  waiting_.clear();
  waiting_ms_ = 0;
  health_ = to;
  busy_ = 0;
  ++life_;
  const std::size_t slots = slots_.size();
  slots_.assign(slots, Slot());
  free_.clear();
  for (std::size_t i = slots; i > 0; --i) free_.push_back(static_cast<std::uint32_t>(i - 1));
  connections_ = 0;
  met_.clear();
  met_order_.clear();
  pressed_.clear();
  frozen_until_ = 0;
  return held;
}

void Backend::Start(Micros now) {
  health_ = Health::kUp;
  up_since_ = std::max<Micros>(1, now);
}

double Backend::DoneIn(Micros now, double work_ms, std::uint64_t key) const {
  Job job;
  job.work_ms = static_cast<float>(work_ms);
  job.key = key;
  const double frozen = ToMs(std::max<Micros>(0, frozen_until_ - now));
  const double ahead = free_.empty() ? waiting_ms_ + 0.5 * busy_ * work_ms : 0;
  return frozen + ahead / std::max(Capacity(now), 1e-9) + Needed(now, job);
}

bool Backend::Accept() {
  if (machine_->connections > 0 && connections_ >= machine_->connections) return false;
  ++connections_;
  return true;
}

bool Backend::Press(Micros now, double work_ms, bool told, double* told_share) {
  if (machine_->overload_factor <= 0 || Warmth(now) >= 1) return false;
  pressed_.push_back({now, static_cast<float>(work_ms), told ? static_cast<float>(work_ms) : 0});
  const Micros window = FromMs(machine_->fall_ms);
  while (now - pressed_.front().at > window) pressed_.pop_front();
  double sum = 0, known = 0;
  for (const Pressed& p : pressed_) sum += p.work, known += p.told;
  const double budget = machine_->overload_factor * Capacity(now) * machine_->fall_ms;
  const double mean = std::max(sum / static_cast<double>(pressed_.size()), 1e-9);
  const double slack = machine_->fall_roots > 0
                           ? (machine_->fall_roots * std::sqrt(budget / mean) + kRootSlack) * mean
                           : kPressSlack * work_ms;
  if (sum <= budget + slack) return false;
  *told_share = known / sum;
  return true;
}

}  // namespace copperpoint::simulation
