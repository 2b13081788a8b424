// SPDX-License-Identifier: Apache-2.0
#include "simulation/world/backend.h"

#include <cmath>

namespace copperpoint::simulation {
namespace {

constexpr double kMsPerSecond = 1000;
constexpr double kMinRate = 1e-9;      // lower bound of divisors
constexpr double kFixedSlack = 3;      // requests tolerated beyond the overload budget, as random variation
constexpr double kDeviationSlack = 2;  // the same, in addition to the standard deviations of the type
constexpr double kMeanProgressLeft = 0.5;  // mean share of a running job that is still to be done

std::size_t SlotsOf(const BackendType& type) {
  return static_cast<std::size_t>(std::max(1.0, std::floor(type.cores * type.slots_per_core)));
}

}  // namespace

Backend::Backend(const BackendType& type, int zone, int cell, double speed)
    : type_(&type),
      zone_(zone),
      cell_(cell),
      speed_(speed),
      key_cache_(static_cast<std::size_t>(type.max_cached_keys * type.cores),
                 FromMs(type.cached_key_s * kMsPerSecond)) {
  ResetSlots(SlotsOf(type));
}

void Backend::ResetSlots(std::size_t count) {
  slots_.assign(count, Slot());
  free_slots_.clear();
  for (std::size_t i = count; i > 0; --i) free_slots_.push_back(static_cast<std::uint32_t>(i - 1));
  busy_ = 0;
}

double Backend::CapacityFraction(Micros now) const {
  const Micros window = FromMs(type_->slow_start_window_s * kMsPerSecond);
  if (up_since_ == 0 || window <= 0 || now - up_since_ >= window) return 1;
  const double min_capacity = type_->slow_start_min_capacity;
  return min_capacity +
         (1 - min_capacity) * static_cast<double>(now - up_since_) / static_cast<double>(window);
}

double Backend::Capacity(Micros now) const {
  return type_->cores * speed_ * CapacityFraction(now) / slowdown_;
}

// The factor by which requests beyond a threshold, running or queued per slot, slow the backend down.
double Backend::CongestionFactor() const {
  if (type_->congestion_start <= 0) return 1;
  const double per_slot = static_cast<double>(requests()) / static_cast<double>(slots_.size());
  const double excess = std::max(0.0, per_slot / type_->congestion_start - 1);
  return 1 + excess * type_->congestion_slowdown / (1 - type_->congestion_slowdown);
}

// Milliseconds that a job takes from its start. Busy slots share the cores. Their number and congestion are
// those at the start of the job.
double Backend::ServiceTime(Micros now, const Job& job) const {
  const bool cached = CachesKeys() && job.key != 0 && key_cache_.Contains(now, job.key);
  const double work = job.work_ms * (cached ? 1 - type_->cached_key_gain : 1);
  const double sharing = std::max(1.0, static_cast<double>(busy_ + 1) / type_->cores);
  double rate = speed_ * CapacityFraction(now) / slowdown_ / sharing;
  rate /= CongestionFactor();
  return work / std::max(rate, kMinRate);
}

StartedJob Backend::StartJob(Micros now, const Job& job) {
  const std::uint32_t index = free_slots_.back();
  free_slots_.pop_back();
  Slot& slot = slots_[index];
  const Micros service_time = std::max<Micros>(1, FromMs(ServiceTime(now, job)));
  slot.job = job;
  slot.busy = true;
  slot.paused_before = total_paused_;
  ++busy_;
  if (CachesKeys() && job.key != 0) key_cache_.Use(now, job.key);
  return {index | slot.serial << kSerialShift, std::max(now, paused_until_) + service_time};
}

ArrivalResult Backend::Arrive(Micros now, const Job& job, StartedJob* started) {
  if (!free_slots_.empty() && queue_.empty()) {
    *started = StartJob(now, job);
    return ArrivalResult::kStarted;
  }
  if (static_cast<int>(queue_.size()) >= type_->queue) return ArrivalResult::kRejected;
  queue_.push_back(job);
  queued_ms_ += job.work_ms;
  return ArrivalResult::kQueued;
}

std::optional<Job> Backend::Finish(Micros now, std::uint32_t slot_and_serial, Micros* postponed_to) {
  const std::uint32_t index = slot_and_serial & kIndexMask;
  Slot& slot = slots_[index];
  *postponed_to = 0;
  if (!slot.busy || slot.serial != slot_and_serial >> kSerialShift) return std::nullopt;
  if (const Micros paused = total_paused_ - slot.paused_before; paused > 0) {
    slot.paused_before = total_paused_;
    *postponed_to = now + paused;
    return std::nullopt;
  }
  FreeSlot(index);
  return slot.job;
}

std::optional<StartedJob> Backend::StartNext(Micros now) {
  if (free_slots_.empty() || health_ != Health::kUp || queue_.empty()) return std::nullopt;
  const Job job = queue_.front();
  queue_.pop_front();
  queued_ms_ = queue_.empty() ? 0 : queued_ms_ - job.work_ms;
  return StartJob(now, job);
}

bool Backend::Cancel(std::uint32_t request_slot, std::uint8_t attempt) {
  if (type_->cancelled == "runs_on") return false;
  const auto matches = [&](const Job& job) {
    return job.request_slot == request_slot && job.attempt == attempt;
  };
  const auto queued = std::find_if(queue_.begin(), queue_.end(), matches);
  if (queued != queue_.end()) {
    queued_ms_ -= queued->work_ms;
    queue_.erase(queued);
    return true;
  }
  if (type_->cancelled != "stops") return false;
  for (std::uint32_t i = 0; i < slots_.size(); ++i) {
    if (!slots_[i].busy || !matches(slots_[i].job)) continue;
    FreeSlot(i);
    return true;
  }
  return false;
}

void Backend::FreeSlot(std::uint32_t index) {
  slots_[index].busy = false;
  slots_[index].serial = (slots_[index].serial + 1) & kIndexMask;
  free_slots_.push_back(index);
  --busy_;
}

// A job that started during a pause was scheduled from the pause's end at that time. If the pause is
// extended, such a job is postponed by the extension alone, like all other jobs.
void Backend::Pause(Micros now, Micros until) {
  const Micros from = std::max(now, paused_until_);
  if (until <= from) return;
  total_paused_ += until - from;
  paused_until_ = until;
}

std::vector<Job> Backend::Stop(Health to) {
  std::vector<Job> lost;
  for (const Slot& slot : slots_) {
    if (slot.busy) lost.push_back(slot.job);
  }
  lost.insert(lost.end(), queue_.begin(), queue_.end());
  queue_.clear();
  queued_ms_ = 0;
  health_ = to;
  ++incarnation_;
  ResetSlots(slots_.size());
  connections_ = 0;
  key_cache_.Clear();
  slow_start_work_.clear();
  paused_until_ = 0;
  return lost;
}

void Backend::Start(Micros now) {
  health_ = Health::kUp;
  up_since_ = std::max<Micros>(1, now);
}

double Backend::CompletionTime(Micros now, double work_ms, std::uint64_t key) const {
  Job job;
  job.work_ms = static_cast<float>(work_ms);
  job.key = key;
  const double pause = ToMs(std::max<Micros>(0, paused_until_ - now));
  const double work_ahead_ms = free_slots_.empty() ? queued_ms_ + kMeanProgressLeft * busy_ * work_ms : 0;
  return pause + work_ahead_ms / std::max(Capacity(now), kMinRate) + ServiceTime(now, job);
}

bool Backend::AcceptConnection() {
  if (type_->connections > 0 && connections_ >= type_->connections) return false;
  ++connections_;
  return true;
}

// Milliseconds of work tolerated beyond the budget, as random variation of the arrivals.
double Backend::OverloadSlack(double budget_ms, double mean_ms, double work_ms) const {
  if (type_->overload_deviations <= 0) return kFixedSlack * work_ms;
  return (type_->overload_deviations * std::sqrt(budget_ms / mean_ms) + kDeviationSlack) * mean_ms;
}

bool Backend::RecordSlowStartWork(Micros now, double work_ms, bool informed, double* informed_share) {
  if (type_->overload_factor <= 0 || CapacityFraction(now) >= 1) return false;
  const auto work = static_cast<float>(work_ms);
  slow_start_work_.push_back({now, work, informed ? work : 0});
  const Micros window = FromMs(type_->overload_window_ms);
  while (now - slow_start_work_.front().at > window) slow_start_work_.pop_front();
  double sum = 0;
  double informed_sum = 0;
  for (const SentWork& sent : slow_start_work_) {
    sum += sent.work_ms;
    informed_sum += sent.informed_ms;
  }
  const double budget = type_->overload_factor * Capacity(now) * type_->overload_window_ms;
  const double mean = std::max(sum / static_cast<double>(slow_start_work_.size()), kMinRate);
  if (sum <= budget + OverloadSlack(budget, mean, work_ms)) return false;
  *informed_share = informed_sum / sum;
  return true;
}

}  // namespace copperpoint::simulation
