// SPDX-License-Identifier: Apache-2.0
//
// How much of a body to read at once.
#ifndef COPPERPOINT_PROXY_HTTP_READ_SIZE_H_
#define COPPERPOINT_PROXY_HTTP_READ_SIZE_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>

namespace copperpoint::proxy {

// @return how much of the body that `parser` parses is still to come, of which `received` bytes have been
// parsed; 0 if its length is not known.
template <typename Parser>
std::uint64_t RemainingBodyBytes(const Parser& parser, std::uint64_t received) {
  if (parser.chunked()) return 0;
  const std::uint64_t length = parser.content_length().value_or(0);
  return length - std::min(length, received);
}

// @return the size in bytes of the next read of the body, at most `max_bytes`: bytes behind a body of known
// length stay unread.
template <typename Parser>
std::size_t BodyReadSize(const Parser& parser, std::uint64_t received, std::size_t max_bytes) {
  const std::uint64_t remaining = RemainingBodyBytes(parser, received);
  return remaining > 0 ? static_cast<std::size_t>(std::min<std::uint64_t>(remaining, max_bytes)) : max_bytes;
}

}  // namespace copperpoint::proxy

#endif  // COPPERPOINT_PROXY_HTTP_READ_SIZE_H_
