// SPDX-License-Identifier: Apache-2.0
//
// Cuts what comes on a watch into messages: one JSON object each, ended by a line end, and empty lines
// between them. An object may be spread over many lines.
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

  // What comes next; `message` is set for kMessage. kMore: nothing until more is added.
  Result Take(std::string* message);

  // At the end of the watch: true, and the last message, if only its line end is missing.
  bool TakeLast(std::string* message);

  std::size_t size() const { return text_.size(); }  // of what is not taken yet

 private:
  Result Consume(Result result, std::string* message);
  // One character inside or outside of a JSON string. False if the message is malformed.
  bool ScanInString(char c);
  bool ScanStructure(char c);
  // kMore if the message continues on the next line.
  Result OnLineEnd(std::string* message);

  std::string text_;
  std::size_t scan_position_ = 0;  // looked at as far as here
  std::size_t depth_ = 0;
  bool message_begun_ = false, in_string_ = false, escaped_ = false;
  bool line_blank_ = true;  // so far
};

}  // namespace copperpoint::proxy

#endif  // COPPERPOINT_PROXY_DISCOVERY_MESSAGE_FRAMER_H_
