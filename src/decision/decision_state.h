// SPDX-License-Identifier: Apache-2.0
//
// All rules of one proxy and the event that is being handled.
#ifndef COPPERPOINT_DECISION_DECISION_STATE_H_
#define COPPERPOINT_DECISION_DECISION_STATE_H_

#include <boost/unordered/unordered_flat_map.hpp>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "copperpoint/balancer.h"
#include "decision/backend_picker.h"
#include "decision/client_retry_detector.h"
#include "decision/client_timeouts.h"
#include "decision/concurrency_limit.h"
#include "decision/endpoint_poller.h"
#include "decision/endpoint_set.h"
#include "decision/key_affinity.h"
#include "decision/latency_statistics.h"
#include "decision/load_shedder.h"
#include "decision/log_limiter.h"
#include "decision/outlier_detector.h"
#include "decision/overload_monitor.h"
#include "decision/random.h"
#include "decision/request_priority.h"
#include "decision/request_queue.h"
#include "decision/request_state.h"
#include "decision/retry_budget.h"
#include "decision/retry_policy.h"
#include "decision/service_time.h"
#include "decision/slow_start.h"
#include "decision/subset.h"
#include "decision/tenant_quotas.h"
#include "decision/traffic_rates.h"
#include "decision/zone_locality.h"
#include "decision/zone_outage_detector.h"

namespace copperpoint {

// The open requests.
using Requests = boost::unordered_flat_map<RequestId, RequestState>;

// The capacity of the backends listed as ready, in backends.
struct BackendSetCapacity {
  double ready = 0;  // all of them; a backend that is warming up counts as its capacity fraction
  // The backends that are not ejected; zone outages are not subtracted. A backend that is warming up counts
  // as the square root of its capacity fraction. The fraction itself would overstate the rate of the warm
  // backends; 1 would starve the backends while all of them are warming up.
  double in_service = 0;
  bool any_warming_up = false;
};

// The state that the steps of a decision share. Each rule owns its own state, and the steps use it through
// its public methods only. Not copyable, since the picker holds references to other members.
struct DecisionState {
  DecisionState(Settings settings_of_proxy, std::uint64_t seed)
      : settings(std::move(settings_of_proxy)), random(seed), client_timeouts(settings.classes.size()) {}
  DecisionState(const DecisionState&) = delete;
  DecisionState& operator=(const DecisionState&) = delete;

  template <typename AnyAction>
  void Emit(AnyAction action) {
    actions->emplace_back(std::move(action));
  }
  void WriteLog(std::string text) { Emit(Log{std::move(text)}); }
  bool MayLog(LogKind kind) { return log_limiter.TakePermit(kind, now); }
  const ClassSettings& ClassOf(const RequestState& request) const {
    return settings.classes[request.request_class];
  }

  const Settings settings;
  Random random;

  // The time of the event that is being handled, and the list that its actions are appended to.
  TimePoint now{};
  std::vector<Action>* actions = nullptr;

  // Backends.
  EndpointSet endpoints;
  EndpointPoller poller{settings.max_poll_interval};
  OutlierDetector outlier_detector;
  ZoneOutageDetector zone_outages;
  BackendSetCapacity capacity;
  Subset subset{settings};
  SlowStart slow_start{settings};
  ZoneLocality zone_locality{settings.cross_zone_cost};
  KeyMemory key_memory;

  // Requests.
  Requests requests;
  RequestQueue queue;
  bool recheck_queue = false;  // capacity may have come free: DispatchQueued has to try the queued requests
  TimePoint last_outcome{};    // time of the last outcome that reflects its backend's health
  RequestPriority priority{settings};
  RetryPolicy retry_policy{settings.max_attempts};
  RetryBudget retry_budget;
  ClientRetryDetector client_retries;
  std::vector<ClientTimeouts> client_timeouts;  // by class
  TenantQuotas tenant_quotas{settings};
  ConcurrencyLimit concurrency_limit;
  LoadShedder load_shedder;

  // Statistics.
  LatencyStatistics latencies{settings.classes.size()};
  ServiceTime service_time;
  TrafficRates traffic;
  OverloadMonitor overload_monitor;
  OverloadCounts overload_counts;  // counts since the last sample
  LogLimiter log_limiter;

  BackendPicker picker{{settings, endpoints, subset, key_memory, slow_start, zone_locality, latencies}};
};

}  // namespace copperpoint

#endif  // COPPERPOINT_DECISION_DECISION_STATE_H_
