// SPDX-License-Identifier: Apache-2.0
#include "proxy/discovery/message_framer.h"

namespace copperpoint::proxy {

MessageFramer::Result MessageFramer::Take(std::string* message) {
  for (; scan_position_ < text_.size(); ++scan_position_) {
    const char c = text_[scan_position_];
    if (in_string_) {
      if (!ScanInString(c)) return Result::kMalformed;
    } else if (c == '\n') {
      const Result result = OnLineEnd(message);
      if (result != Result::kMore) return result;
    } else if (!ScanStructure(c)) {
      return Result::kMalformed;
    }
  }
  return Result::kMore;
}

// A line end within a JSON string, which cannot contain one, means that the message was cut off.
bool MessageFramer::ScanInString(char c) {
  if (c == '\n') return false;
  if (escaped_) {
    escaped_ = false;
  } else if (c == '\\') {
    escaped_ = true;
  } else if (c == '"') {
    in_string_ = false;
  }
  return true;
}

MessageFramer::Result MessageFramer::OnLineEnd(std::string* message) {
  if (message_begun_ && depth_ == 0) return Consume(Result::kMessage, message);
  if (!message_begun_) return Consume(Result::kEmptyLine, message);
  // An empty line within a message is a heartbeat: the rest of the message will not come.
  if (line_blank_) return Result::kMalformed;
  line_blank_ = true;
  return Result::kMore;
}

bool MessageFramer::ScanStructure(char c) {
  if (c == ' ' || c == '\t' || c == '\r') return true;
  line_blank_ = false;
  if (depth_ == 0 && (message_begun_ || c != '{')) return false;
  if (c == '"') in_string_ = true;
  if (c == '{' || c == '[') {
    message_begun_ = true;
    ++depth_;
  }
  if (c == '}' || c == ']') --depth_;
  return true;
}

bool MessageFramer::TakeLast(std::string* message) {
  if (!message_begun_ || depth_ > 0 || in_string_ || scan_position_ < text_.size()) return false;
  Consume(Result::kMessage, message);
  return true;
}

MessageFramer::Result MessageFramer::Consume(Result result, std::string* message) {
  if (result == Result::kMessage) *message = text_.substr(0, scan_position_);
  text_.erase(0, scan_position_ + 1);
  scan_position_ = 0;
  message_begun_ = false;
  line_blank_ = true;
  return result;
}

}  // namespace copperpoint::proxy
