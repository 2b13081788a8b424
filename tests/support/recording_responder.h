// SPDX-License-Identifier: Apache-2.0
//
// A responder and an observer of requests that record their calls, and a request to use them with.
#ifndef COPPERPOINT_TESTS_SUPPORT_RECORDING_RESPONDER_H_
#define COPPERPOINT_TESTS_SUPPORT_RECORDING_RESPONDER_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include "proxy/core/request_table.h"
#include "proxy/downstream/request_handler.h"

namespace copperpoint::testing {

class RecordingResponder : public proxy::Responder {
 public:
  void SendResponse(proxy::HttpResponse response, std::shared_ptr<proxy::BodySource>,
                    std::optional<std::uint64_t>) override {
    Record("response " + response.body());
  }
  void SendUnavailable(Duration retry_after) override {
    Record("unavailable " + std::to_string(static_cast<int>(retry_after.count())));
  }
  void SendBadGateway() override { Record("bad gateway"); }
  void SendClientError(boost::beast::http::status status) override {
    Record("client error " + std::to_string(static_cast<int>(status)));
  }

  bool throws = false;             // throw from every call, after recording it
  std::vector<std::string> calls;  // in the order in which they were made

 private:
  void Record(std::string call) {
    calls.push_back(std::move(call));
    if (throws) throw std::runtime_error("response could not be sent");
  }
};

class RecordingObserver : public proxy::RequestObserver {
 public:
  void OnRequestCompleted(const proxy::CompletedRequest& request) override { completed.push_back(request); }
  std::vector<proxy::CompletedRequest> completed;
};

// A parsed request of class 1 and tenant 2, whose deadline is `time_left` from now.
inline proxy::ClientRequest ParsedLookRequest(const std::string& req_id,
                                              std::chrono::milliseconds time_left) {
  proxy::ClientRequest request;
  request.message.method(boost::beast::http::verb::get);
  request.message.target("/look");
  request.message.version(11);
  request.message.set("Req-Id", req_id);
  request.deadline = proxy::Steady::now() + time_left;
  request.request_class = 1;
  request.tenant = 2;
  return request;
}

}  // namespace copperpoint::testing

#endif  // COPPERPOINT_TESTS_SUPPORT_RECORDING_RESPONDER_H_
