// SPDX-License-Identifier: Apache-2.0
//
// The HTTP message types of the data path.
#ifndef COPPERPOINT_PROXY_HTTP_MESSAGES_H_
#define COPPERPOINT_PROXY_HTTP_MESSAGES_H_

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <string>

namespace copperpoint::proxy {

using HttpRequest = boost::beast::http::request<boost::beast::http::string_body>;
using HttpResponse = boost::beast::http::response<boost::beast::http::string_body>;

// The response that rejects a request with a 4xx, or a 503, before any attempt.
struct RequestError {
  boost::beast::http::status status = boost::beast::http::status::bad_request;
  std::string text;  // body of the response, one line
};

}  // namespace copperpoint::proxy

#endif  // COPPERPOINT_PROXY_HTTP_MESSAGES_H_
