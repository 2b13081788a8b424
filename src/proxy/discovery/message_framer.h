// SPDX-License-Identifier: Apache-2.0
//
// Splits the bytes of a watch into messages: one JSON object each, ended by a line end, with empty lines
// (heartbeats) between them. An object may be spread over many lines.
#ifndef COPPERPOINT_PROXY_DISCOVERY_MESSAGE_FRAMER_H_
#define COPPERPOINT_PROXY_DISCOVERY_MESSAGE_FRAMER_H_

#include <cstddef>
#include <string>
#include <string_view>

namespace copperpoint::proxy {

class MessageFramer {
 public:
  enum class Result { kMore, kEmptyLine, kMessage, kMalformed };

  void Add(std::string_view bytes) { text_ += bytes; }

  // Takes the next message or empty line; sets `message` for kMessage. kMore: more bytes have to be added.
  Result Take(std::string* message);

  // For the end of the watch: returns true, and the last message, if only its line end is missing.
  bool TakeLast(std::string* message);

  std::size_t size() const { return text_.size(); }  // bytes that have not been taken yet

 private:
  Result Consume(Result result, std::string* message);
  // Scan one character inside or outside of a JSON string. Return false if the message is malformed.
  bool ScanInString(char c);
  bool ScanStructure(char c);
  // Returns kMore if the message continues on the next line.
  Result OnLineEnd(std::string* message);

  std::string text_;
  std::size_t scan_position_ = 0;  // index in text_ of the next character to scan
  std::size_t depth_ = 0;
  bool message_begun_ = false, in_string_ = false, escaped_ = false;
  bool line_blank_ = true;  // the current line, as far as it has been scanned
};

}  // namespace copperpoint::proxy

#endif  // COPPERPOINT_PROXY_DISCOVERY_MESSAGE_FRAMER_H_
