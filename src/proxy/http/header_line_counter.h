// SPDX-License-Identifier: Apache-2.0
//
// Counts the lines of a header before it is parsed, as each field of a parsed header takes much more memory
// than a short line.
#ifndef COPPERPOINT_PROXY_HTTP_HEADER_LINE_COUNTER_H_
#define COPPERPOINT_PROXY_HTTP_HEADER_LINE_COUNTER_H_

#include <cstddef>
#include <string_view>

namespace copperpoint::proxy {

class HeaderLineCounter {
 public:
  // @param received all that has been received from the beginning of the header on. Bytes of earlier calls
  // are not read again.
  // @return the number of lines so far, up to the empty line that ends the header.
  std::size_t Count(std::string_view received) {
    for (; !ended_ && counted_bytes_ < received.size(); ++counted_bytes_) Add(received[counted_bytes_]);
    return lines_;
  }

 private:
  void Add(char c) {
    if (c == '\r') return;
    if (c != '\n') {
      line_is_empty_ = false;
      return;
    }
    ended_ = line_is_empty_ && lines_ > 0;
    ++lines_;
    line_is_empty_ = true;
  }

  std::size_t counted_bytes_ = 0;
  std::size_t lines_ = 0;
  bool line_is_empty_ = true;
  bool ended_ = false;
};

}  // namespace copperpoint::proxy

#endif  // COPPERPOINT_PROXY_HTTP_HEADER_LINE_COUNTER_H_
