// SPDX-License-Identifier: Apache-2.0
#include "proxy/discovery/stream_error.h"

namespace copperpoint::proxy {
namespace {

class Category : public boost::system::error_category {
 public:
  const char* name() const noexcept override { return "discovery"; }

  std::string message(int value) const override {
    switch (static_cast<StreamError>(value)) {
      case StreamError::kEndOfStream:
        return "the watch ended";
      case StreamError::kHttpStatus:
        return "answer";
      case StreamError::kMalformedMessage:
        return "a garbled message";
      case StreamError::kMessageTooLong:
        return "a message without end";
      case StreamError::kMalformedSnapshot:
        return "a garbled list";
      case StreamError::kSnapshotTooLong:
        return "a list without end";
    }
    return "unknown";
  }
};

}  // namespace

const boost::system::error_category& StreamErrorCategory() {
  static const Category kCategory;
  return kCategory;
}

boost::system::error_code make_error_code(StreamError error) {
  return {static_cast<int>(error), StreamErrorCategory()};
}

std::string StreamFailure::Describe() const {
  if (code == StreamError::kHttpStatus) return code.message() + ' ' + std::to_string(http_status);
  return code.message();
}

}  // namespace copperpoint::proxy
