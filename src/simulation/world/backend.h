// SPDX-License-Identifier: Apache-2.0
//
// A backend as a queue: slots, a waiting room, crowding, cold start and fall-over, keys that are warm,
// connections, freezes. It has no clock and schedules nothing: each call says what time it is, and returns
// when the work that began will end.
#ifndef COPPERPOINT_SIMULATION_WORLD_BACKEND_H_
#define COPPERPOINT_SIMULATION_WORLD_BACKEND_H_

#include <algorithm>
#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

#include "simulation/core/queue.h"
#include "simulation/scenario/scenario.h"

namespace copperpoint::simulation {

struct Job {
  std::uint32_t try_slot = 0;
  std::uint8_t attempt = 0;
  float work_ms = 0;  // on a core of speed 1, before what a warm key saves
  std::uint64_t key = 0;
};

class Backend {
 public:
  enum class Health { kUp, kDown, kSilent };

  // A slot began a job, to end then. `slot` tells this job from others in the same slot.
  struct Started {
    std::uint32_t slot = 0;
    Micros ends = 0;
  };
  enum class Verdict { kStarted, kWaits, kFull };

  Backend(const Machine& machine, int zone, int cell, double speed);

  // ---- work ----
  Verdict Arrive(Micros now, const Job& job, Started* started);
  // The end of a slot's job fell due. Nothing if a freeze has put it off, to `*again`, or if it was
  // cancelled:
  // `*again` is 0 then.
  std::optional<Job> End(Micros now, std::uint32_t slot, Micros* again);
  // The next job that waits, if a slot is free for it.
  std::optional<Started> StartNext(Micros now);
  // A proxy no longer waits for it. True if it will not run, or not to its end; a slot may be free then.
  bool Cancel(std::uint32_t try_slot, std::uint8_t attempt);

  // ---- what befalls it ----
  void Freeze(Micros now, Micros until);
  std::vector<Job> Die(Health to);  // all that it held; a new life begins with Start
  void Start(Micros now);
  void Slow(double times) { grey_ = times; }
  void FailFast(double share) { fail_fast_ = share; }

  // ---- what is seen ----
  Health health() const { return health_; }
  bool frozen(Micros now) const { return now < frozen_until_; }
  // When what it says at `now` leaves it: a frozen process says nothing.
  Micros SaysAt(Micros now) const { return std::max(now, frozen_until_); }
  std::uint32_t life() const { return life_; }
  Micros up_since() const { return up_since_; }  // 0: long ago
  int zone() const { return zone_; }
  int cell() const { return cell_; }
  int held() const { return busy_ + static_cast<int>(waiting_.size()); }
  double fail_fast() const { return fail_fast_; }
  const Machine& machine() const { return *machine_; }
  double speed() const { return speed_; }
  double Warmth(Micros now) const;    // share of its speed that it has
  double Capacity(Micros now) const;  // ms of work that it does in a ms, when uncrowded
  // Until a job of `work_ms` that arrives now would be done, in ms.
  double DoneIn(Micros now, double work_ms, std::uint64_t key) const;
  const Job& job(std::uint32_t slot) const { return slots_[slot & 0xffff].job; }

  // ---- connections ----
  bool Accept();  // false: its table is full
  void Disconnect(int n = 1) { connections_ -= n; }
  int connections() const { return connections_; }

  // Work sent to a cold one, by proxies that knew and others. True if it falls over by this.
  bool Press(Micros now, double work_ms, bool told, double* told_share);

 private:
  struct Slot {
    Job job;
    bool busy = false;
    std::uint32_t serial = 0;
    Micros frozen_before = 0;  // of frozen_sum_ when the job began
  };

  double Needed(Micros now, const Job& job) const;
  Started Begin(Micros now, const Job& job);
  void Free(std::uint32_t index);
  bool Knows(Micros now, std::uint64_t key) const;
  void Meet(Micros now, std::uint64_t key);

  const Machine* machine_;
  int zone_, cell_;
  double speed_, grey_ = 1, fail_fast_ = 0;
  Health health_ = Health::kUp;
  std::uint32_t life_ = 1;
  Micros up_since_ = 0, frozen_until_ = 0, frozen_sum_ = 0;
  std::vector<Slot> slots_;
  std::vector<std::uint32_t> free_;
  int busy_ = 0, connections_ = 0;
  std::deque<Job> waiting_;
  double waiting_ms_ = 0;
  std::unordered_map<std::uint64_t, Micros> met_;
  std::deque<std::pair<Micros, std::uint64_t>> met_order_;
  struct Pressed {
    Micros at;
    float work, told;
  };
  std::deque<Pressed> pressed_;
};

}  // namespace copperpoint::simulation

#endif  // COPPERPOINT_SIMULATION_WORLD_BACKEND_H_
