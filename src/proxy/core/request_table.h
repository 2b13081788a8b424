// SPDX-License-Identifier: Apache-2.0
//
// The open requests. A request is open from its arrival until it has its final response and no attempt is in
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
  Steady::time_point deadline{};  // when the client gives up or, if earlier, this process must have answered
  int request_class = -1;
  int tenant = -1;
  double estimated_work_ms = 0;          // 0: the client gave no estimate
  std::shared_ptr<Responder> responder;  // null once the final response is sent
  int attempts = 0;                      // started so far
  bool attempt_in_flight = false;
  BackendPool::AttemptHandle attempt;  // valid while attempt_in_flight

  bool answered() const { return !responder; }
};

// A request that has its final response, or whose client has disconnected.
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

// Owns the open requests and ensures that each gets one final response: the first call that completes a
// request takes its responder, and later calls have no effect.
class RequestTable {
 public:
  using Respond = std::function<void(Responder&)>;

  explicit RequestTable(RequestObserver& observer) : observer_(observer) {}

  RequestId Add(ClientRequest request, std::shared_ptr<Responder> responder);
  // @return null if the request is not open. The pointer is valid until the request is removed.
  OpenRequest* Find(RequestId id);
  // @return whether a request with this Req-Id is open.
  bool IsOpen(std::string_view req_id) const { return open_req_ids_.contains(std::string(req_id)); }
  std::size_t size() const { return requests_.size(); }

  // Sends the final response by calling `respond`, unless the request already has one. Throws nothing.
  void Complete(RequestId id, RequestOutcome outcome, RejectReason reason, const Respond& respond);
  // Completes the request of a disconnected client without a response. @return false if it was complete.
  bool Abandon(RequestId id);
  // Removes the request if it is complete and has no attempt in flight.
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
