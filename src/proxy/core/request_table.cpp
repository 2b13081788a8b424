// SPDX-License-Identifier: Apache-2.0
#include "proxy/core/request_table.h"

#include <algorithm>
#include <exception>
#include <utility>

#include "decision/log_names.h"
#include "log/event_names.h"
#include "log/log.h"

namespace copperpoint::proxy {
namespace {

constexpr const char* kReqId = "Req-Id";

// An exception affects this response only: the caller must still report the request to the Balancer.
void RespondSafely(Responder& responder, const RequestTable::Respond& respond) {
  try {
    respond(responder);
  } catch (const std::exception& error) {
    log::Global().Error(log::events::kResponseFailed, {{"error", error.what()}});
    try {
      responder.SendBadGateway();      // has no effect if the response has begun
    } catch (const std::exception&) {  // NOLINT(bugprone-empty-catch): no other response is left
    }
  }
}

}  // namespace

RequestId RequestTable::Add(ClientRequest request, std::shared_ptr<Responder> responder) {
  const RequestId id = ++last_id_;
  OpenRequest& open = requests_[id];
  open.received_at = Steady::now();
  open.deadline = std::min(request.deadline, request.answer_by);
  open.request_class = request.request_class;
  open.tenant = request.tenant;
  open.estimated_work_ms = request.estimated_work_ms;
  open_req_ids_.emplace(request.message[kReqId]);
  open.message = std::make_shared<const HttpRequest>(std::move(request.message));
  if (request.body_stream)
    open.upload = std::make_shared<RequestBodyStream>(RequestBodyStream{std::move(request.body_stream)});
  open.responder = std::move(responder);
  return id;
}

OpenRequest* RequestTable::Find(RequestId id) {
  const auto found = requests_.find(id);
  return found == requests_.end() ? nullptr : &found->second;
}

void RequestTable::Complete(RequestId id, RequestOutcome outcome, RejectReason reason,
                            const Respond& respond) {
  if (const auto responder = TakeResponder(id, outcome, reason)) RespondSafely(*responder, respond);
}

bool RequestTable::Abandon(RequestId id) {
  return TakeResponder(id, RequestOutcome::kClientDisconnected, RejectReason::kNone) != nullptr;
}

// @return null if the request is not open or already complete.
std::shared_ptr<Responder> RequestTable::TakeResponder(RequestId id, RequestOutcome outcome,
                                                       RejectReason reason) {
  OpenRequest* request = Find(id);
  if (!request || request->answered()) return nullptr;
  const auto now = Steady::now();
  const Duration elapsed = now - request->received_at;
  log::Global().Debug(
      log::events::kRequestCompleted,
      {{log::fields::kRequest, id},
       {"class", request->request_class},
       {log::fields::kResult, NameOf(outcome)},
       {log::fields::kReason, LogName(reason)},
       {"attempts", request->attempts},
       {log::fields::kDurationMs, elapsed.count()},
       {log::fields::kDeadlineMs, Duration(request->deadline - request->received_at).count()}});
  observer_.OnRequestCompleted({request->request_class, request->tenant, outcome, now <= request->deadline,
                                request->attempts, elapsed});
  request->upload.reset();
  return std::exchange(request->responder, nullptr);
}

void RequestTable::RemoveIfDone(RequestId id) {
  const auto found = requests_.find(id);
  if (found == requests_.end() || !found->second.answered() || found->second.attempt_in_flight) return;
  open_req_ids_.erase(std::string((*found->second.message)[kReqId]));
  requests_.erase(found);
}

}  // namespace copperpoint::proxy
