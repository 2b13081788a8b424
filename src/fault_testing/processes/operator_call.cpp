// SPDX-License-Identifier: Apache-2.0
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include "fault_testing/processes/fleet.h"

namespace copperpoint::fault_testing {
namespace {

namespace beast = boost::beast;
namespace http = beast::http;

// An operator repeats a refused call at this interval and for this long.
constexpr double kOperatorRetryIntervalS = 0.1;
constexpr double kOperatorRetryS = 10;

}  // namespace

// One POST request to the admin interface of a member.
class ProcessFleet::OperatorCall : public std::enable_shared_from_this<OperatorCall> {
 public:
  OperatorCall(ProcessFleet& owner, int member, const std::string& target, const std::string& body)
      : owner_(owner), member_(member), stream_(owner.io_), request_(http::verb::post, target, 11, body) {
    request_.set(http::field::host, "rig");
    request_.prepare_payload();
  }

  // @param retry_until in seconds of the run: until then, a refused connection is tried again.
  void Start(double retry_until) {
    stream_.expires_after(kQueryTimeout);
    stream_.async_connect(owner_.At(member_).operator_address,
                          [self = shared_from_this(), retry_until](const Error& failed) {
                            if (failed == asio::error::connection_refused && self->owner_.Now() < retry_until)
                              return self->RetryLater(retry_until);
                            if (failed) return self->OnDone(failed);
                            self->Send();
                          });
  }

 private:
  void RetryLater(double retry_until) {
    stream_.close();
    owner_.Schedule(owner_.Now() + kOperatorRetryIntervalS,
                    [self = shared_from_this(), retry_until] { self->Start(retry_until); });
  }
  void Send() {
    http::async_write(stream_, request_, [self = shared_from_this()](const Error& broken, std::size_t) {
      if (broken) return self->OnDone(broken);
      http::async_read(self->stream_, self->buffer_, self->response_,
                       [self](const Error& error, std::size_t) { self->OnDone(error); });
    });
  }
  void OnDone(const Error& error) {
    if (!error && response_.result() == http::status::ok) return;
    owner_.evaluator_.AddRuleViolation(fmt::format("POST {} at {}: {} {}", std::string(request_.target()),
                                                   MemberName(member_), error.message(), response_.body()));
  }

  ProcessFleet& owner_;
  const int member_;
  beast::tcp_stream stream_;
  beast::flat_buffer buffer_;
  http::request<http::string_body> request_;
  http::response<http::string_body> response_;
};

// A connection is refused while the member's process starts, and while its successor takes over: nothing has
// been taken then, so the call is repeated. Any other failure, and a refusal that lasts, is a rule violation.
void ProcessFleet::CallOperator(int number, const std::string& target, const std::string& body) {
  std::make_shared<OperatorCall>(*this, number, target, body)->Start(Now() + kOperatorRetryS);
}

}  // namespace copperpoint::fault_testing
