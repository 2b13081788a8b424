// SPDX-License-Identifier: Apache-2.0
#include "proxy/http/body_stream.h"

#include <cstdio>

namespace copperpoint::proxy {

std::array<char, kBodyChunkSize>& ReadScratch() {
  thread_local std::array<char, kBodyChunkSize> scratch;
  return scratch;
}

std::string EncodeBodyChunk(std::string_view chunk, bool last, bool chunked) {
  if (!chunked) return std::string(chunk);
  std::string text;
  if (!chunk.empty()) {
    char size[24];
    std::snprintf(size, sizeof size, "%zx\r\n", chunk.size());
    text.append(size).append(chunk).append("\r\n");
  }
  if (last) text += "0\r\n\r\n";
  return text;
}

}  // namespace copperpoint::proxy
