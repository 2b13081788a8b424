// SPDX-License-Identifier: Apache-2.0
//
// The response to one admin call, before it is written.
#ifndef COPPERPOINT_PROXY_ADMIN_ADMIN_RESPONSE_H_
#define COPPERPOINT_PROXY_ADMIN_ADMIN_RESPONSE_H_

#include <boost/beast/http/status.hpp>
#include <ostream>  // for status.hpp, which only declares it
#include <string>

namespace copperpoint::proxy {

struct AdminResponse {
  boost::beast::http::status status = boost::beast::http::status::ok;
  std::string text;  // the body, without its line end
};

}  // namespace copperpoint::proxy

#endif  // COPPERPOINT_PROXY_ADMIN_ADMIN_RESPONSE_H_
