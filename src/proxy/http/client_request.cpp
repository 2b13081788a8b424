// SPDX-License-Identifier: Apache-2.0
#include "proxy/http/client_request.h"

#include <algorithm>
#include <boost/beast/http/rfc7230.hpp>
#include <charconv>
#include <chrono>
#include <cmath>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "proxy/http/text.h"

namespace copperpoint::proxy {
namespace {

namespace http = boost::beast::http;

using ParseResult = std::optional<RequestError>;

constexpr double kMaxDeadlineMs = 3600 * 1000;
constexpr double kMaxWorkUs = 1e12;
constexpr double kUsPerMs = 1000;
constexpr std::size_t kMaxRequestIdBytes = 256;

RequestError BadRequest(const char* text) { return {http::status::bad_request, text}; }

std::optional<double> ParseNumber(std::string_view text) {
  double value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size() || !std::isfinite(value)) return std::nullopt;
  return value;
}

int IndexOf(const std::vector<std::string>& names, std::string_view name) {
  const auto found = std::find(names.begin(), names.end(), name);
  return found == names.end() ? -1 : static_cast<int>(found - names.begin());
}

// @return a hash of the value of the cookie `obj`; 0 if there is none.
std::uint64_t AffinityKeyOf(boost::beast::string_view cookie) {
  std::string list("; ");
  list.append(cookie.data(), cookie.size());
  for (const auto& [name, value] : http::param_list(list)) {
    if (name == "obj") return value.empty() ? 0 : std::max<std::uint64_t>(1, StableHash(ToView(value)));
  }
  return 0;
}

std::string_view FirstPathSegment(std::string_view target) {
  if (!target.empty() && target.front() == '/') target.remove_prefix(1);
  return target.substr(0, target.find_first_of("/?"));
}

// Removes hop-by-hop fields, which concern one connection and must not be forwarded.
void EraseHopByHopFields(HttpRequest& message) {
  std::vector<std::string> named;
  for (const auto& token : http::token_list(message[http::field::connection])) named.emplace_back(token);
  for (const std::string& name : named) message.erase(name);
  for (const http::field field :
       {http::field::connection, http::field::keep_alive, http::field::proxy_connection, http::field::te,
        http::field::trailer, http::field::transfer_encoding, http::field::upgrade, http::field::expect})
    message.erase(field);
}

ParseResult CheckRepeatedFields(const HttpRequest& message) {
  for (const char* field : {"Req-Id", "Idempotency-Key", "Req-Kind", "Req-Deadline-Ms"}) {
    if (message.count(field) > 1) return BadRequest("a header is repeated");
  }
  return std::nullopt;
}

ParseResult ParseRequestClass(const HttpRequest& message, const Config& config, ClientRequest* request) {
  const std::string_view class_name = FirstPathSegment(ToView(message.target()));
  request->request_class = IndexOf(config.classes, class_name);
  if (request->request_class < 0) return RequestError{http::status::not_found, "unknown class"};
  const auto kind = message.find("Req-Kind");
  if (kind != message.end() && ToView(kind->value()) != class_name)
    return BadRequest("Req-Kind is not the path's");
  return std::nullopt;
}

ParseResult CheckMethodAndIds(const HttpRequest& message, Idempotency idempotency) {
  const http::verb method = idempotency == Idempotency::kIdempotent ? http::verb::get : http::verb::post;
  if (message.method() != method) return RequestError{http::status::method_not_allowed, "wrong method"};
  const auto id = message["Req-Id"];
  if (id.empty() || id.size() > kMaxRequestIdBytes) return BadRequest("Req-Id is missing or too long");
  if (idempotency == Idempotency::kIdempotencyKey && message["Idempotency-Key"].empty())
    return BadRequest("Idempotency-Key is missing");
  if (idempotency == Idempotency::kNonIdempotent && message.count("Idempotency-Key") > 0)
    return BadRequest("Idempotency-Key on a class without");
  return std::nullopt;
}

ParseResult ParseDeadline(const HttpRequest& message, Duration class_deadline, Steady::time_point read_at,
                          ClientRequest* request) {
  double deadline_ms = class_deadline.count();
  if (const auto field = message.find("Req-Deadline-Ms"); field != message.end()) {
    const std::string_view text = ToView(field->value());
    const auto value = IsDigits(text) ? ParseNumber(text) : std::nullopt;
    if (!value) return BadRequest("Req-Deadline-Ms is no whole number");
    deadline_ms = std::min(*value, kMaxDeadlineMs);
  }
  request->deadline = read_at + std::chrono::duration_cast<Steady::duration>(Duration(deadline_ms));
  return std::nullopt;
}

ParseResult ParseWorkEstimate(const HttpRequest& message, ClientRequest* request) {
  const auto field = message.find("Req-Cost");  // in microseconds
  if (field == message.end()) return std::nullopt;
  const auto value = ParseNumber(ToView(field->value()));
  if (!value || *value < 0) return BadRequest("Req-Cost is no number");
  request->has_work_estimate = true;
  request->estimated_work_ms = std::min(*value, kMaxWorkUs) / kUsPerMs;
  return std::nullopt;
}

ParseResult ParseTenant(const HttpRequest& message, const Config& config, ClientRequest* request) {
  if (config.tenants.empty()) return std::nullopt;
  request->tenant = IndexOf(config.tenants, ToView(message["Req-Owner"]));
  if (request->tenant < 0) return BadRequest("unknown Req-Owner");
  return std::nullopt;
}

}  // namespace

std::optional<RequestError> ParseClientRequest(HttpRequest message, Steady::time_point read_at,
                                               const Config& config, ClientRequest* request) {
  EraseHopByHopFields(message);  // first: fields that Connection names must not be parsed
  if (auto error = CheckRepeatedFields(message)) return error;
  if (auto error = ParseRequestClass(message, config, request)) return error;
  const ClassSettings& settings = config.settings.classes[request->request_class];
  if (auto error = CheckMethodAndIds(message, settings.idempotency)) return error;
  if (auto error = ParseDeadline(message, settings.deadline, read_at, request)) return error;
  if (auto error = ParseWorkEstimate(message, request)) return error;
  if (auto error = ParseTenant(message, config, request)) return error;
  request->client_retry = message["Req-Retry"] == "1";
  request->affinity_key = AffinityKeyOf(message[http::field::cookie]);

  message.version(11);
  message.prepare_payload();
  request->message = std::move(message);
  return std::nullopt;
}

}  // namespace copperpoint::proxy
