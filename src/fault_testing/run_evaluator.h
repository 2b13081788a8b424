// SPDX-License-Identifier: Apache-2.0
//
// Evaluates the properties of a run from the faults injected and the behaviour observed. Independent of the
// membership protocol; used for runs with processes and in virtual time.
#ifndef COPPERPOINT_FAULT_TESTING_RUN_EVALUATOR_H_
#define COPPERPOINT_FAULT_TESTING_RUN_EVALUATOR_H_

#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "fault_testing/plan.h"

namespace copperpoint::fault_testing {

// All times are in seconds since the start of the run.
class RunEvaluator {
 public:
  RunEvaluator(const Plan& plan, std::uint64_t seed, double contact_timeout_s);

  // ---- injected faults ----
  void OnStarted(double at, int member);
  void OnEnded(double at, int member, bool graceful);
  void OnPaused(double at, int member);
  void OnResumed(double at, int member);
  // A fault whose condition occurred starts at `at`.
  void OnFaultTriggered(double at, const Fault& fault);
  // The condition `when` of a fault never occurred. The run fails, since it did not test that fault.
  void OnFaultNotTriggered(const std::string& when) { untriggered_.push_back(when); }

  // ---- observations ----
  void OnDeclaredDead(double at, int observer, int subject);
  // `agreed`: all running members know the true membership. Needs to be called only when this changes.
  void OnAgreement(double at, bool agreed);
  // Adds the datagram bytes per second that one member sent and received since `after_s` of the
  // property. The maximum over all members is evaluated.
  void AddByteRates(double per_s_out, double per_s_in);
  void AddRejectedDatagrams(std::uint64_t datagrams) { rejected_datagrams_ += datagrams; }
  void AddRequests(std::uint64_t served, std::uint64_t requests);
  // Executions during the time of the traffic_share property.
  void SetExecutions(std::vector<std::uint64_t> by_backend) { executions_ = std::move(by_backend); }
  // The version of each member at the end, empty if it is down, and all versions that each has started.
  void SetVersions(std::vector<std::string> at_end, std::vector<std::set<std::string>> versions_run) {
    final_versions_ = std::move(at_end);
    versions_run_ = std::move(versions_run);
  }
  void SetConnectedProxies(std::vector<int> by_backend) { connected_proxies_ = std::move(by_backend); }
  // A violated service rule, or an unexpected result of a process; either fails the run.
  void AddRuleViolation(const std::string& rule) { rule_violations_.push_back(rule); }

  // Returns how long after the first crash each observer detected it, in seconds, in ascending order.
  std::vector<double> DetectionDelays() const;

  struct Evaluation {
    bool holds = true;
    nlohmann::ordered_json json;
    std::vector<std::string> failures;  // one line for each detail of what did not hold
  };
  // `with_process_properties`: whether to evaluate properties that need real processes.
  Evaluation Evaluate(double at, bool with_process_properties);

 private:
  struct Period {
    double from = 0, to = -1;  // negative `to`: has not ended
    bool graceful = false;
  };
  struct FalseRemoval {
    double at = 0;
    int observer = 0, subject = 0;
  };
  struct Crash {
    double at = 0;
    int subject = 0;
    std::map<int, double> detected_at;  // by observer
  };
  bool RanThroughout(int member, double from, double to) const;
  bool WasPartitioned(int a, int b, double at) const;
  nlohmann::ordered_json EvaluateDetection(double end, double* worst,
                                           std::vector<std::string>* failures) const;

  void AddPartition(const Fault& fault, double from);

  const Plan& plan_;
  const std::uint64_t seed_;
  const double contact_timeout_s_;
  std::vector<std::vector<Period>> run_periods_;
  std::vector<std::vector<Period>> pause_periods_;
  std::vector<FalseRemoval> false_removals_;  // of running and reachable members
  std::vector<Crash> crashes_;
  std::vector<std::pair<double, bool>> agreement_;
  double bytes_out_ = 0, bytes_in_ = 0;
  std::uint64_t served_requests_ = 0, requests_ = 0, rejected_datagrams_ = 0;
  std::vector<int> connected_proxies_;     // number of proxies, by backend
  std::vector<std::uint64_t> executions_;  // during the time of traffic_share, by backend
  double last_fault_end_s_;
  std::vector<std::string> final_versions_;
  std::vector<std::set<std::string>> versions_run_;
  std::vector<std::string> rule_violations_, untriggered_;
  struct Partition {
    double from = 0, to = 0;
    std::vector<bool> senders, receivers;
  };
  std::vector<Partition> partitions_;
};

}  // namespace copperpoint::fault_testing

#endif  // COPPERPOINT_FAULT_TESTING_RUN_EVALUATOR_H_
