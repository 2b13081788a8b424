// SPDX-License-Identifier: Apache-2.0
//
// A backend as a queueing model: slots in which jobs run, a queue, congestion, slow start and overload during
// slow start, a cache of keys, connections and pauses. It has no clock and schedules no events: each call
// gets the time, and returns when the job that it started will end.
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

// A job that has started, and when it will end. `slot` identifies it among all jobs of the backend: the index
// of its slot in the lower 16 bits, the serial number of the job in that slot above.
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

  // Accepts a job or rejects it. Sets `*started` if the job starts at once.
  ArrivalResult Arrive(Micros now, const Job& job, StartedJob* started);
  // Called when the job in a slot is due to end. Returns the job if it is done, and frees the slot. Otherwise
  // the job was postponed by a pause to `*postponed_to`, or cancelled, in which case `*postponed_to` is 0.
  std::optional<Job> Finish(Micros now, std::uint32_t slot, Micros* postponed_to);
  // Starts the next queued job, if a slot is free for it.
  std::optional<StartedJob> StartNext(Micros now);
  // Called when a proxy no longer waits for the attempt. Returns true if the job was dropped from the queue
  // or stopped; a slot may be free then.
  bool Cancel(std::uint32_t request_slot, std::uint8_t attempt);

  // ---- faults ----

  // Postpones running jobs by the pause, and jobs that start during it to its end. Overlapping pauses count
  // as one.
  void Pause(Micros now, Micros until);
  // Stops the process, or makes the machine unresponsive; returns the jobs that are lost. Start follows, with
  // the next incarnation.
  std::vector<Job> Stop(Health to);
  void Start(Micros now);
  void SetSlowdown(double factor) { slowdown_ = factor; }
  void SetFastErrorShare(double share) { fast_error_share_ = share; }

  // ---- state ----

  Health health() const { return health_; }
  bool IsPaused(Micros now) const { return now < paused_until_; }
  // When a message sent at `now` leaves the backend: at the end of the pause, if it is paused.
  Micros SendsAt(Micros now) const { return std::max(now, paused_until_); }
  std::uint32_t incarnation() const { return incarnation_; }
  Micros up_since() const { return up_since_; }  // 0: since before the run
  int zone() const { return zone_; }
  int cell() const { return cell_; }
  int requests() const { return busy_ + static_cast<int>(queue_.size()); }  // running or queued
  double fast_error_share() const { return fast_error_share_; }
  const BackendType& type() const { return *type_; }
  double speed() const { return speed_; }
  // The current share of its full speed: below 1 in slow start.
  double CapacityFraction(Micros now) const;
  // Milliseconds of work that it does per millisecond when not congested.
  double Capacity(Micros now) const;
  // Estimated milliseconds until a job that arrives now would be done.
  double CompletionTime(Micros now, double work_ms, std::uint64_t key) const;
  const Job& job(std::uint32_t slot) const { return slots_[slot & kIndexMask].job; }

  // ---- connections ----

  // Returns false if the backend has its maximum number of connections.
  bool AcceptConnection();
  void CloseConnections(int count = 1) { connections_ -= count; }
  int connections() const { return connections_; }

  // ---- overload in slow start ----

  // Records work sent to the backend in slow start; `informed`: by a proxy that knew of its start. Returns
  // true if this overloads the backend, and sets `*informed_share` to the share of the work from informed
  // proxies.
  bool RecordSlowStartWork(Micros now, double work_ms, bool informed, double* informed_share);

 private:
  static constexpr std::uint32_t kIndexMask = 0xffff;
  static constexpr int kSerialShift = 16;

  struct Slot {
    Job job;
    bool busy = false;
    std::uint32_t serial = 0;  // counts the jobs of this slot, to tell them apart
    Micros paused_before = 0;  // total_paused_ when the job started
  };
  // Work of one attempt sent to the backend in slow start.
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
  double queued_ms_ = 0;  // work of the queued jobs
  KeyCache key_cache_;
  std::deque<SentWork> slow_start_work_;  // of the last overload window
};

}  // namespace copperpoint::simulation

#endif  // COPPERPOINT_SIMULATION_WORLD_BACKEND_H_
