// SPDX-License-Identifier: Apache-2.0
//
// Helper functions for the text of header fields.
#ifndef COPPERPOINT_PROXY_HTTP_TEXT_H_
#define COPPERPOINT_PROXY_HTTP_TEXT_H_

#include <boost/beast/core/string_type.hpp>
#include <string_view>

namespace copperpoint::proxy {

inline std::string_view ToView(boost::beast::string_view text) { return {text.data(), text.size()}; }

// @return whether the text consists of decimal digits only: no sign, fraction or exponent.
inline bool IsDigits(std::string_view text) {
  return !text.empty() && text.find_first_not_of("0123456789") == std::string_view::npos;
}

}  // namespace copperpoint::proxy

#endif  // COPPERPOINT_PROXY_HTTP_TEXT_H_
