// SPDX-License-Identifier: Apache-2.0
//
// Checks that all HTTP implementations take the same bytes as the body of a message (protection against
// request smuggling).
#ifndef COPPERPOINT_PROXY_HTTP_FRAMING_H_
#define COPPERPOINT_PROXY_HTTP_FRAMING_H_

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <optional>

#include "proxy/http/messages.h"

namespace copperpoint::proxy {

// @return true if the fields contain no framing, one numeric Content-Length, or one Transfer-Encoding that is
// `chunked`, but not both. @param version as in Beast: 11 is HTTP/1.1. This check is needed because Beast's
// parser accepts unknown codings together with a length.
bool IsFramingUnambiguous(const boost::beast::http::fields& fields, unsigned version);

// Validates a request's header before its body is read. @return the error; nullopt if the body may be read.
std::optional<RequestError> ValidateRequestHeader(const boost::beast::http::request_header<>& header);

}  // namespace copperpoint::proxy

#endif  // COPPERPOINT_PROXY_HTTP_FRAMING_H_
