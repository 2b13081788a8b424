// SPDX-License-Identifier: Apache-2.0
#include "proxy/admin/result_response.h"

namespace copperpoint::proxy {

namespace http = boost::beast::http;

AdminResponse ResponseTo(AdminHandler::AdminResult result, const std::string& done) {
  switch (result) {
    case AdminHandler::AdminResult::kDone:
      return {http::status::ok, done};
    case AdminHandler::AdminResult::kUnknownBackend:
      return {http::status::not_found, "no backend of this id is listed"};
    case AdminHandler::AdminResult::kNotStored:
      return {http::status::service_unavailable,
              "the change could not be stored in $TMPDIR; nothing changed"};
    case AdminHandler::AdminResult::kStopping:
      return {http::status::conflict, "this process is stopping"};
  }
  return {http::status::internal_server_error, "unknown result"};
}

}  // namespace copperpoint::proxy
