// SPDX-License-Identifier: Apache-2.0
//
// Checks that every reader of a message takes the same bytes for its body (protection from request
// smuggling).
#ifndef COPPERPOINT_PROXY_HTTP_FRAMING_H_
#define COPPERPOINT_PROXY_HTTP_FRAMING_H_

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <optional>

#include "proxy/http/messages.h"

namespace copperpoint::proxy {

// True for at most one Content-Length, which is a number, or one Transfer-Encoding, which is `chunked`, but
// never both. `version` as Beast has it: 11 is HTTP/1.1. The parser itself accepts unknown codings beside a
// length.
bool IsFramingUnambiguous(const boost::beast::http::fields& fields, unsigned version);

// The error in the header of a request whose body is still to be read; nothing if it may be read.
std::optional<RequestError> ValidateRequestHeader(const boost::beast::http::request_header<>& header);

}  // namespace copperpoint::proxy

#endif  // COPPERPOINT_PROXY_HTTP_FRAMING_H_
