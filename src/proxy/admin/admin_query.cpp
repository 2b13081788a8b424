// SPDX-License-Identifier: Apache-2.0
#include "proxy/admin/admin_query.h"

#include <algorithm>
#include <cstddef>
#include <optional>

namespace copperpoint::proxy {
namespace {

constexpr int kNoHexDigit = -1;

int HexDigit(char c) {
  if (c >= '0' && c <= '9') return c - '0';
  if (c >= 'a' && c <= 'f') return c - 'a' + 10;
  if (c >= 'A' && c <= 'F') return c - 'A' + 10;
  return kNoHexDigit;
}

// Returns nothing if the text is malformed.
std::optional<std::string> DecodePercent(std::string_view text) {
  std::string decoded;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] != '%') {
      decoded += text[i];
      continue;
    }
    const int high = i + 2 < text.size() ? HexDigit(text[i + 1]) : kNoHexDigit;
    const int low = high != kNoHexDigit ? HexDigit(text[i + 2]) : kNoHexDigit;
    if (low == kNoHexDigit) return std::nullopt;
    decoded += static_cast<char>(high * 16 + low);
    i += 2;
  }
  return decoded;
}

}  // namespace

std::variant<std::string, QueryError> QueryParameter(std::string_view query, std::string_view name) {
  std::optional<std::string> value;
  while (!query.empty()) {
    const std::size_t end = std::min(query.find('&'), query.size());
    const std::string_view pair = query.substr(0, end);
    query.remove_prefix(std::min(end + 1, query.size()));
    const std::size_t equals = pair.find('=');
    if (pair.substr(0, equals) != name) continue;
    if (value) return QueryError::kDuplicate;
    value = equals == std::string_view::npos ? std::string() : DecodePercent(pair.substr(equals + 1));
    if (!value) return QueryError::kMalformed;
  }
  if (!value || value->empty()) return QueryError::kMissing;
  return *value;
}

}  // namespace copperpoint::proxy
