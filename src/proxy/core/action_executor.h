// SPDX-License-Identifier: Apache-2.0
//
// Executes the Balancer's actions: starts attempts, sends final responses, polls discovery, closes
// connections.
#ifndef COPPERPOINT_PROXY_CORE_ACTION_EXECUTOR_H_
#define COPPERPOINT_PROXY_CORE_ACTION_EXECUTOR_H_

#include "copperpoint/balancer.h"
#include "proxy/clock.h"
#include "proxy/core/event_dispatcher.h"
#include "proxy/core/event_sink.h"
#include "proxy/core/request_table.h"
#include "proxy/discovery/discovery_client.h"
#include "proxy/upstream/backend_pool.h"

namespace copperpoint::proxy {

// Decides only what the Balancer cannot know: the final response where this process's own limits or a
// consumed request body rule out another attempt. Owns no state: RequestTable owns the requests and
// BackendPool the connections. Every StartAttempt is followed by exactly one AttemptCompleted.
class ActionExecutor : public ActionHandler {
 public:
  struct Options {
    int max_attempts = 1;                   // per request, including the first
    Duration process_limit_retry_after{0};  // Retry-After where this process's own limits reject a request
  };

  ActionExecutor(Options options, const BalancerClock& clock, RequestTable& requests, BackendPool& backends,
                 DiscoveryClient& discovery, EventSink& events);

  void Execute(const Action& action) override;
  void OnExecuteFailed(const Action& action) override;

 private:
  // Identifies an attempt in flight when its result arrives.
  struct AttemptRecord {
    RequestId request = 0;
    int number = 0;  // among the request's attempts, from 0
    BackendId backend = 0;
    Steady::time_point started_at{};
  };

  void Run(const StartAttempt& action);
  void Run(const RejectRequest& action);
  void Run(const FailRequest& action);
  void Run(const SetTimer& action);
  void Run(const PollEndpoints& action);
  void Run(const CloseIdleConnections& action);
  void Run(const Log& action);

  bool MayStart(const OpenRequest* request, Steady::time_point now) const;
  void Start(const StartAttempt& action, OpenRequest& request, int number, Steady::time_point now);
  void ReportNotSent(const StartAttempt& action, int number);
  void OnAttemptCompleted(const AttemptRecord& attempt, AttemptResult result);
  void CompleteRequest(const AttemptRecord& attempt, AttemptResult result);

  Options options_;
  const BalancerClock& clock_;
  RequestTable& requests_;
  BackendPool& backends_;
  DiscoveryClient& discovery_;
  EventSink& events_;
};

}  // namespace copperpoint::proxy

#endif  // COPPERPOINT_PROXY_CORE_ACTION_EXECUTOR_H_
