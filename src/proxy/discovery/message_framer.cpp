// SPDX-License-Identifier: Apache-2.0
#include "proxy/discovery/message_framer.h"

namespace copperpoint::proxy {

MessageFramer::Result MessageFramer::Take(std::string* message) {
  for (; at_ < text_.size(); ++at_) {
    const char c = text_[at_];
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

// No JSON string contains a line end: the message was cut off.
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
  if (begun_ && depth_ == 0) return Cut(Result::kMessage, message);
  if (!begun_) return Cut(Result::kEmptyLine, message);
  // A heartbeat within a message: the rest of that message will not come.
  if (line_empty_) return Result::kMalformed;
  line_empty_ = true;
  return Result::kMore;
}

bool MessageFramer::ScanStructure(char c) {
  if (c == ' ' || c == '\t' || c == '\r') return true;
  line_empty_ = false;
  if (depth_ == 0 && (begun_ || c != '{')) return false;
  if (c == '"') in_string_ = true;
  if (c == '{' || c == '[') {
    begun_ = true;
    ++depth_;
  }
  if (c == '}' || c == ']') --depth_;
  return true;
}

bool MessageFramer::TakeLast(std::string* message) {
  if (!begun_ || depth_ > 0 || in_string_ || at_ < text_.size()) return false;
  Cut(Result::kMessage, message);
  return true;
}

MessageFramer::Result MessageFramer::Cut(Result what, std::string* message) {
  if (what == Result::kMessage) *message = text_.substr(0, at_);
  text_.erase(0, at_ + 1);
  at_ = 0;
  begun_ = false;
  line_empty_ = true;
  return what;
}

}  // namespace copperpoint::proxy
