// SPDX-License-Identifier: Apache-2.0
//
// Distinguishes what a client has sent from what has become of its connection.
#ifndef COPPERPOINT_PROXY_DOWNSTREAM_READ_ERROR_H_
#define COPPERPOINT_PROXY_DOWNSTREAM_READ_ERROR_H_

#include <boost/beast/http/error.hpp>
#include <boost/system/error_code.hpp>

namespace copperpoint::proxy {

// @return true if the client sent invalid data, false if the connection failed or ended.
inline bool IsParseError(const boost::system::error_code& error) {
  namespace http = boost::beast::http;
  return error.category() == http::make_error_code(http::error::bad_version).category() &&
         error != http::error::end_of_stream && error != http::error::partial_message;
}

}  // namespace copperpoint::proxy

#endif  // COPPERPOINT_PROXY_DOWNSTREAM_READ_ERROR_H_
