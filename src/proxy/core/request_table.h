// SPDX-License-Identifier: Apache-2.0
//
// The requests that are open: from their arrival until they have their final answer and no attempt is in
// flight.
#ifndef COPPERPOINT_PROXY_CORE_REQUEST_TABLE_H_
#define COPPERPOINT_PROXY_CORE_REQUEST_TABLE_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>

#include "copperpoint/balancer.h"
#include "proxy/clock.h"
#include "proxy/downstream/request_handler.h"
#include "proxy/membership/request_counts.h"
#include "proxy/upstream/backend_pool.h"

namespace copperpoint::proxy {

struct OpenRequest {
  std::shared_ptr<const HttpRequest> message;
  std::shared_ptr<RequestBodyStream> upload;  // the rest of a large body; null if `message` is complete
  Steady::time_point received_at{};
  Steady::time_point deadline{};
  int request_class = -1;
  int tenant = -1;
  double estimated_work_ms = 0;          // 0: the client gave no estimate
  std::shared_ptr<Responder> responder;  // null once the request has its final answer
  int attempts = 0;                      // started so far
  bool attempt_in_flight = false;
  BackendPool::AttemptHandle attempt;  // the one in flight

  bool answered() const { return !responder; }
};

// A request that has its final answer.
struct CompletedRequest {
  int request_class = -1;
  int tenant = -1;
  RequestOutcome outcome = RequestOutcome::kFailed;
  bool before_deadline = false;
  int attempts = 0;
  Duration elapsed{0};
};

class RequestObserver {
 public:
  virtual ~RequestObserver() = default;
  virtual void OnRequestCompleted(const CompletedRequest& request) = 0;
};

// Owns the open requests and sees to it that each gets one final answer: the first call that completes a
// request takes its responder, and later ones find it answered.
class RequestTable {
 public:
  using Respond = std::function<void(Responder&)>;

  explicit RequestTable(RequestObserver& observer) : observer_(observer) {}

  RequestId Add(ClientRequest request, std::shared_ptr<Responder> responder);
  // Null if the request is not open. Valid until it is removed.
  OpenRequest* Find(RequestId id);
  // Whether a request with this Req-Id is open.
  bool IsOpen(std::string_view req_id) const { return open_req_ids_.contains(std::string(req_id)); }
  std::size_t size() const { return requests_.size(); }

  // Gives the request its final answer by `respond`, unless it has one. Throws nothing.
  void Complete(RequestId id, RequestOutcome outcome, RejectReason reason, const Respond& respond);
  // The client has disconnected: the request is completed without an answer. False if it already was.
  bool Abandon(RequestId id);
  // Removes the request if it is answered and has no attempt in flight.
  void RemoveIfDone(RequestId id);

 private:
  std::shared_ptr<Responder> TakeResponder(RequestId id, RequestOutcome outcome, RejectReason reason);

  RequestObserver& observer_;
  std::unordered_map<RequestId, OpenRequest> requests_;
  std::unordered_set<std::string> open_req_ids_;
  RequestId last_id_ = 0;
};

}  // namespace copperpoint::proxy

#endif  // COPPERPOINT_PROXY_CORE_REQUEST_TABLE_H_
