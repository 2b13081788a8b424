// SPDX-License-Identifier: Apache-2.0
#include "proxy/core/request_receiver.h"

#include <string>
#include <utility>

#include "decision/client_retry_detector.h"
#include "log/event_names.h"
#include "log/log.h"

namespace copperpoint::proxy {
namespace {

void LogReceived(const RequestReceived& event, const OpenRequest& request) {
  if (!log::Global().Enabled(log::Level::kDebug)) return;
  log::Global().Debug(log::events::kRequestReceived,
                      {{log::fields::kRequest, event.request},
                       {log::fields::kId, std::string((*request.message)["Req-Id"])},
                       {log::fields::kFingerprint, log::Hex(FingerprintOf(event))},
                       {"class", event.request_class},
                       {log::fields::kWorkMs, event.estimated_work_ms}});
}

}  // namespace

RequestReceiver::RequestReceiver(const BalancerClock& clock, RequestTable& requests, BackendPool& backends,
                                 EventSink& events)
    : clock_(clock), requests_(requests), backends_(backends), events_(events) {}

RequestId RequestReceiver::OnRequest(ClientRequest request, std::shared_ptr<Responder> responder) {
  RequestReceived event;
  event.deadline = clock_.At(request.deadline);
  event.answer_by = clock_.At(request.answer_by);
  event.request_class = request.request_class;
  event.tenant = request.tenant;
  event.key = request.affinity_key;
  event.has_work_estimate = request.has_work_estimate;
  event.client_retry = request.client_retry;
  event.estimated_work_ms = request.estimated_work_ms;
  event.request = requests_.Add(std::move(request), std::move(responder));
  LogReceived(event, *requests_.Find(event.request));
  events_.Dispatch(event);
  return event.request;
}

void RequestReceiver::OnClientDisconnected(RequestId request) {
  if (!requests_.Abandon(request)) return;
  const OpenRequest* open = requests_.Find(request);
  if (open->attempt_in_flight) backends_.CancelUnsent(open->attempt);
  requests_.RemoveIfDone(request);
  events_.Dispatch(ClientDisconnected{request});
}

}  // namespace copperpoint::proxy
