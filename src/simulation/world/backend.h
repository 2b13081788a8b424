// SPDX-License-Identifier: Apache-2.0
//
// A backend as a queueing model: slots in which jobs run, a queue before them, congestion, slow start and
// overload in it, a cache of keys, connections, pauses. It has no clock and schedules nothing: each call is
// given the time, and returns when the job that it started will end.
#ifndef COPPERPOINT_SIMULATION_WORLD_BACKEND_H_
#define COPPERPOINT_SIMULATION_WORLD_BACKEND_H_

#include <algorithm>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "simulation/core/event_queue.h"
#include "simulation/scenario/scenario.h"
#include "simulation/world/key_cache.h"

namespace copperpoint::simulation {

// The work of one attempt.
struct Job {
  std::uint32_t request_slot = 0;
  std::uint8_t attempt = 0;
  float work_ms = 0;  // on a core of speed 1, before what a cached key saves
  std::uint64_t key = 0;
};

// A job that started, to end then. `slot` identifies it among all jobs of the backend.
struct StartedJob {
  std::uint32_t slot = 0;
  Micros ends_at = 0;
};

enum class ArrivalResult { kStarted, kQueued, kRejected };

class Backend {
 public:
  // An unresponsive machine sends nothing and acknowledges nothing.
  enum class Health { kUp, kDown, kUnresponsive };

  Backend(const BackendType& type, int zone, int cell, double speed);

  // ---- work ----

  // A job arrives. Sets `started` if it starts at once.
  ArrivalResult Arrive(Micros now, const Job& job, StartedJob* started);
  // The end of a slot's job falls due. Returns the job if it is done. Otherwise a pause has postponed it, to
  // `*postponed_to`, or it was cancelled: `*postponed_to` is 0 then.
  std::optional<Job> Finish(Micros now, std::uint32_t slot, Micros* postponed_to);
  // Starts the next queued job, if a slot is free for it.
  std::optional<StartedJob> StartNext(Micros now);
  // A proxy no longer waits for the attempt. True if it will not run, or not to its end; a slot may be free
  // then.
  bool Cancel(std::uint32_t request_slot, std::uint8_t attempt);

  // ---- faults ----

  // Running jobs are postponed by the pause; those that start meanwhile start at its end. Overlapping pauses
  // are one.
  void Pause(Micros now, Micros until);
  // The process or machine fails: returns the jobs that are lost. A new incarnation begins with Start.
  std::vector<Job> Stop(Health to);
  void Start(Micros now);
  void SetSlowdown(double factor) { slowdown_ = factor; }
  void SetFastErrorShare(double share) { fast_error_share_ = share; }

  // ---- state ----

  Health health() const { return health_; }
  bool IsPaused(Micros now) const { return now < paused_until_; }
  // When what it sends at `now` leaves it: a paused process sends nothing.
  Micros SendsAt(Micros now) const { return std::max(now, paused_until_); }
  std::uint32_t incarnation() const { return incarnation_; }
  Micros up_since() const { return up_since_; }  // 0: from before the run
  int zone() const { return zone_; }
  int cell() const { return cell_; }
  int requests() const { return busy_ + static_cast<int>(queue_.size()); }  // running or queued
  double fast_error_share() const { return fast_error_share_; }
  const BackendType& type() const { return *type_; }
  double speed() const { return speed_; }
  // Share of its speed that it has: below 1 in slow start.
  double CapacityFraction(Micros now) const;
  // Milliseconds of work that it does in a millisecond, when not congested.
  double Capacity(Micros now) const;
  // Milliseconds until a job that arrives now would be done.
  double CompletionTime(Micros now, double work_ms, std::uint64_t key) const;
  const Job& job(std::uint32_t slot) const { return slots_[slot & kIndexMask].job; }

  // ---- connections ----

  bool AcceptConnection();  // false: it has as many as it accepts
  void CloseConnections(int count = 1) { connections_ -= count; }
  int connections() const { return connections_; }

  // ---- overload in slow start ----

  // Records work sent to it; `informed`: by a proxy that knew of its start. True if this overloads it, with
  // the share of the work that informed proxies sent in `*informed_share`.
  bool RecordSlowStartWork(Micros now, double work_ms, bool informed, double* informed_share);

 private:
  static constexpr std::uint32_t kIndexMask = 0xffff;
  static constexpr int kSerialShift = 16;

  struct Slot {
    Job job;
    bool busy = false;
    std::uint32_t serial = 0;  // of the job, to tell it from earlier ones in the slot
    Micros paused_before = 0;  // total_paused_ when the job started
  };
  struct SentWork {
    Micros at;
    float work_ms;
    float informed_ms;
  };

  void ResetSlots(std::size_t count);
  bool CachesKeys() const { return type_->cached_key_gain > 0; }
  double ServiceTime(Micros now, const Job& job) const;
  double CongestionFactor() const;
  StartedJob StartJob(Micros now, const Job& job);
  void FreeSlot(std::uint32_t index);
  double OverloadSlack(double budget_ms, double mean_ms, double work_ms) const;

  const BackendType* type_;
  int zone_;
  int cell_;
  double speed_;
  double slowdown_ = 1;
  double fast_error_share_ = 0;
  Health health_ = Health::kUp;
  std::uint32_t incarnation_ = 1;
  Micros up_since_ = 0;
  Micros paused_until_ = 0;
  Micros total_paused_ = 0;
  std::vector<Slot> slots_;
  std::vector<std::uint32_t> free_slots_;
  int busy_ = 0;
  int connections_ = 0;
  std::deque<Job> queue_;
  double queued_ms_ = 0;
  KeyCache key_cache_;
  std::deque<SentWork> slow_start_work_;  // of the last overload window
};

}  // namespace copperpoint::simulation

#endif  // COPPERPOINT_SIMULATION_WORLD_BACKEND_H_
