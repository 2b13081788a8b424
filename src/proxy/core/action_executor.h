// SPDX-License-Identifier: Apache-2.0
//
// Carries out the Balancer's actions: attempts, final answers, polls and connections to be closed.
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

// Decides only what the Balancer can't know: the final answer where this process's own limits or a consumed
// request body rule out another attempt. Owns no state: requests are the RequestTable's, connections those of
// BackendPool. Sees to it that each StartAttempt is followed by one AttemptCompleted.
class ActionExecutor : public ActionHandler {
 public:
  struct Options {
    int max_attempts = 1;                   // of one request, the first included
    Duration process_limit_retry_after{0};  // advice to a client that this process's own limits reject
  };

  ActionExecutor(Options options, RequestTable& requests, BackendPool& backends, DiscoveryClient& discovery,
                 EventSink& events);

  void Execute(const Action& action) override;
  void OnExecuteFailed(const Action& action) override;

 private:
  // An attempt in flight, for its result.
  struct AttemptRecord {
    RequestId request = 0;
    int number = 0;  // counted from 0 over the request's attempts
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
  RequestTable& requests_;
  BackendPool& backends_;
  DiscoveryClient& discovery_;
  EventSink& events_;
};

}  // namespace copperpoint::proxy

#endif  // COPPERPOINT_PROXY_CORE_ACTION_EXECUTOR_H_
