// SPDX-License-Identifier: Apache-2.0
//
// Clients and the front that spreads them over the proxies: first tries, what becomes of them, repeats.
#ifndef COPPERPOINT_SIMULATION_WORLD_CROWD_H_
#define COPPERPOINT_SIMULATION_WORLD_CROWD_H_

#include <functional>
#include <optional>

#include "simulation/world/state.h"

namespace copperpoint::simulation {

enum class Final { kServed, kRefused, kFailed, kLost };

class Crowd {
 public:
  // `take` hands a try to its proxy, which is alive.
  Crowd(State& state, std::uint64_t seed, std::function<void(std::uint32_t)> take);

  void Begin();  // the first wish falls due
  void OnWish();
  void OnRetry(std::uint32_t slot);
  // The client gives a try up, if it has not heard by now.
  void OnTryOver(std::uint32_t slot);
  // The proxy's final answer, or its death.
  void OnFinal(std::uint32_t slot, Final final, Duration retry_after);
  // From now on this share of the clients gives each try up after `patience`.
  void SetImpatient(double share, Micros patience) { impatient_ = share, patience_ = patience; }
  void OnFrontNotices(std::uint32_t proxy, bool there);

 private:
  void Schedule();
  double WorthOf(const Wish& wish) const;
  void SetDue(Try& t, Micros sent) const;
  void Reach(std::uint32_t slot);
  std::optional<std::uint32_t> Choose(int zone);
  void Comeback(std::uint32_t slot, Final final, Micros heard, Duration retry_after);
  Micros Backoff(int repeats, Duration retry_after, bool honours);

  State& s_;
  Arrivals arrivals_;
  Random random_;
  std::function<void(std::uint32_t)> take_;
  std::optional<Wish> next_;
  double impatient_ = 0;
  Micros patience_ = 0;
  std::vector<std::vector<std::uint32_t>> listed_;  // by zone: the proxies that the front believes in
};

}  // namespace copperpoint::simulation

#endif  // COPPERPOINT_SIMULATION_WORLD_CROWD_H_
