// SPDX-License-Identifier: Apache-2.0
//
// Requests and their attempts: what a proxy's policy decides is carried out here as the real proxy does, over
// connections and the network, at the backends and back.
#ifndef COPPERPOINT_SIMULATION_WORLD_SERVICE_H_
#define COPPERPOINT_SIMULATION_WORLD_SERVICE_H_

#include <functional>
#include <string>
#include <vector>

#include "simulation/world/crowd.h"
#include "simulation/world/state.h"

namespace copperpoint::simulation {

class Service : public Truth {
 public:
  // `subscribe` is called where a policy asks for discovery's changes.
  Service(State& state, std::function<std::unique_ptr<Policy>(std::uint32_t proxy, std::uint64_t seed)> make,
          std::function<void(std::uint32_t)> subscribe);
  void SetCrowd(Crowd* crowd) { crowd_ = crowd; }

  // ---- proxies ----
  void StartProxy(std::uint32_t proxy, std::vector<Endpoint> known);
  // What it holds is lost, and its connections break.
  void KillProxy(std::uint32_t proxy);
  void Feed(std::uint32_t proxy, Event event);
  void OnTimer(std::uint32_t proxy, std::uint64_t token_and_life);

  // ---- requests ----
  void Take(std::uint32_t slot);
  // The try's time is over. True if the request still has no final answer.
  bool OnDue(std::uint32_t slot);
  void OnSlackOver(std::uint32_t slot);

  // ---- attempts ----
  void OnAtBackend(std::uint32_t slot, std::uint32_t attempt);
  void OnWorkDone(std::uint32_t backend, std::uint64_t slot_and_life);
  void OnAnswer(std::uint32_t slot, std::uint32_t attempt_and_outcome);
  void OnNeverUp(std::uint32_t slot, std::uint32_t attempt);
  void OnTimeout(std::uint32_t slot, std::uint32_t attempt);
  void OnGivenUp(std::uint32_t slot, std::uint32_t attempt);

  // ---- probes ----
  void Probe(std::uint32_t proxy, std::uint32_t backend);
  void OnProbe(std::uint32_t proxy, std::uint64_t backend_and_life);
  void OnProbeBack(std::uint32_t proxy, std::uint64_t index);

  // ---- backends ----
  // Its process ends: connections are reset. Or its machine goes silent: nothing is heard of it.
  void StopBackend(std::uint32_t backend, bool silent);
  void StartBackend(std::uint32_t backend);
  void SetPoisonous(bool on) { poisonous_ = on; }
  void SetLostAnswers(double share) { lost_answers_ = share; }
  void SetResets(double share) { resets_ = share; }
  // Called when a backend crashes by what it ran.
  std::function<void(std::uint32_t)> on_crash;

  double AnswerIn(std::uint32_t proxy, BackendId backend, double work, std::uint64_t key) const override;

 private:
  struct Answer {
    std::uint32_t life = 0, backend = 0;
    int in_flight = 0;
    double latency_ms = 0;
  };

  void Do(std::uint32_t proxy, const StartAttempt& action);
  void Do(std::uint32_t proxy, const RejectRequest& action);
  void Do(std::uint32_t proxy, const FailRequest& action);
  void Do(std::uint32_t proxy, const SetTimer& action);
  void Do(std::uint32_t proxy, const PollEndpoints& action);
  void Do(std::uint32_t proxy, const CloseIdleConnections& action);
  void Do(std::uint32_t proxy, const Log& action);

  Try* Held(std::uint32_t proxy, RequestId request, std::uint32_t* slot);
  Observer::Attempts Judged(const Try& t) const;
  void Send(std::uint32_t slot, std::uint32_t attempt);
  void End(std::uint32_t slot, std::uint32_t attempt, AttemptOutcome outcome);
  bool RecognitionIsMeasured() const;
  void Recognise(Try& t, const RequestReceived& submit);
  void Conclude(std::uint32_t slot, Final final, const char* why, Duration retry_after);
  void Reply(std::uint32_t slot, std::uint32_t attempt, AttemptOutcome outcome);
  void Run(std::uint32_t backend, const Backend::Started& started);
  void RunNext(std::uint32_t backend);
  void Release(std::uint32_t proxy, const Attempt& attempt, bool reusable);
  bool Knew(std::uint32_t proxy, std::uint32_t backend) const;

  State& s_;
  std::function<std::unique_ptr<Policy>(std::uint32_t, std::uint64_t)> make_;
  std::function<void(std::uint32_t)> subscribe_;
  Crowd* crowd_ = nullptr;
  std::vector<Action> actions_;
  std::vector<std::vector<std::pair<std::uint32_t, std::uint32_t>>> silent_;  // what silent machines hold
  std::vector<Answer> answers_;
  std::vector<std::uint64_t> free_answers_;
  std::vector<double> recent_ms_;  // of each backend: what its last requests took, for probes
  std::uint64_t lives_ = 0;
  bool poisonous_ = false;
  double lost_answers_ = 0, resets_ = 0;
};

}  // namespace copperpoint::simulation

#endif  // COPPERPOINT_SIMULATION_WORLD_SERVICE_H_
