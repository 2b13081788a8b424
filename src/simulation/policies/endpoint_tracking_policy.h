// SPDX-License-Identifier: Apache-2.0
//
// Base class of the oracle and the reference policies: keeps the endpoint list and the open requests, and
// runs the attempts of each request one after the other.
#ifndef COPPERPOINT_SIMULATION_POLICIES_ENDPOINT_TRACKING_POLICY_H_
#define COPPERPOINT_SIMULATION_POLICIES_ENDPOINT_TRACKING_POLICY_H_

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

#include "simulation/policies/pickers.h"
#include "simulation/policies/policy.h"

namespace copperpoint::simulation {

class EndpointTrackingPolicy : public Policy {
 public:
  explicit EndpointTrackingPolicy(PolicyContext context);
  void Handle(TimePoint now, const Event& event, std::vector<Action>* actions) final;

 protected:
  struct OpenRequest {
    RequestReceived received;
    std::vector<int> tried;     // indices of backends, in the order of the attempts
    bool may_have_run = false;  // whether a backend may have executed an attempt
  };

  // Returns the index of the backend for the next attempt, or a negative number if there is none.
  virtual int Pick(const OpenRequest& request) = 0;
  virtual bool MayRetry() = 0;
  virtual bool Admits(const RequestReceived& /*request*/) { return true; }
  // Called when a response is received or an attempt times out, `duration_ms` after the start of the attempt.
  virtual void OnResponseOrTimeout(const OpenRequest& /*request*/, double /*duration_ms*/) {}
  virtual void OnAdmitted() {}
  virtual void OnBackendCount(std::size_t /*count*/) {}
  virtual void OnSent(int /*index*/) {}
  virtual void OnAttemptCompleted(int /*index*/, bool /*success*/, double /*duration_ms*/) {}

  const PolicyContext& context() const { return context_; }
  TimePoint now() const { return now_; }
  int attempts_in_flight() const { return attempts_in_flight_; }
  const std::vector<Candidate>& backends() const { return backends_; }
  const std::vector<int>& ready() const { return ready_; }  // indices of backends
  // Returns the index of a backend, or a negative number if it was never listed.
  int IndexOf(BackendId backend) const;

 private:
  void On(const EndpointUpdate& event);
  void On(const RequestReceived& event);
  void On(const AttemptCompleted& event);
  void On(const ClientDisconnected& event);
  void On(const TimerFired& event);
  void On(const ResponseStarted&) {}
  void On(const StateRestored&) {}
  void On(const SubsetPosition&) {}

  void SchedulePoll(EndpointUpdateKind kind);
  void Reject(const RequestReceived& event);
  void RecordAttempt(const AttemptCompleted& event);
  bool IsIdempotent(const OpenRequest& request) const;
  bool MayRetry(const OpenRequest& request);
  void Send(OpenRequest* request);
  void End(const OpenRequest& request);

  PolicyContext context_;
  TimePoint now_{};
  std::vector<Action>* actions_ = nullptr;  // receives the actions; set while an event is handled
  int attempts_in_flight_ = 0;
  std::vector<Candidate> backends_;  // all backends that were ever listed
  std::vector<int> ready_;
  std::unordered_map<BackendId, int> index_;
  std::unordered_map<RequestId, OpenRequest> open_;
};

}  // namespace copperpoint::simulation

#endif  // COPPERPOINT_SIMULATION_POLICIES_ENDPOINT_TRACKING_POLICY_H_
