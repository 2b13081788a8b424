// SPDX-License-Identifier: Apache-2.0
//
// Error codes for the end of a call to discovery, in addition to those of the operating system.
#ifndef COPPERPOINT_PROXY_DISCOVERY_STREAM_ERROR_H_
#define COPPERPOINT_PROXY_DISCOVERY_STREAM_ERROR_H_

#include <boost/system/error_code.hpp>
#include <string>
#include <type_traits>

namespace copperpoint::proxy {

enum class StreamError {
  kEndOfStream = 1,    // discovery finished its response
  kHttpStatus,         // the response's status is not 200
  kMalformedMessage,   // a message of the watch cannot be used
  kMessageTooLong,     // a message of the watch exceeds the size limit
  kMalformedSnapshot,  // the snapshot cannot be used
  kSnapshotTooLong,    // the snapshot exceeds the size limit
};

const boost::system::error_category& StreamErrorCategory();
boost::system::error_code make_error_code(StreamError error);  // NOLINT: found by Boost under this name

// Why a call to discovery ended.
struct StreamFailure {
  boost::system::error_code code;
  unsigned http_status = 0;  // for StreamError::kHttpStatus

  // Returns one phrase for a log line.
  std::string Describe() const;
};

}  // namespace copperpoint::proxy

template <>
struct boost::system::is_error_code_enum<copperpoint::proxy::StreamError> : std::true_type {};

#endif  // COPPERPOINT_PROXY_DISCOVERY_STREAM_ERROR_H_
