// SPDX-License-Identifier: Apache-2.0
//
// The frames of the simulator's binary protocol, whose fields are little-endian and packed: reads batches of
// events and writes replies with actions.
#ifndef COPPERPOINT_ADAPTER_CODEC_H_
#define COPPERPOINT_ADAPTER_CODEC_H_

#include <cstdint>
#include <iosfwd>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "copperpoint/balancer.h"

namespace copperpoint::adapter {

// Thrown if a frame, a record or a field is malformed. what() is one line.
class MalformedInput : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Creates an instance; replaces the one with the same number, if there is one.
struct CreateInstance {
  std::uint64_t seed = 0;
  std::string config;
};
// Destroys an instance, as if its process had crashed.
struct CrashInstance {};
// An event that the adapter doesn't use, or whose code it doesn't know.
struct IgnoredEvent {
  std::uint8_t code = 0;
  bool known_code = false;
};
using Message = std::variant<CreateInstance, CrashInstance, IgnoredEvent, Event>;

// One message for one instance.
struct Record {
  std::uint32_t instance = 0;
  Message message;
};

// The records of one frame, which all happen at the time `now`.
struct Batch {
  TimePoint now{};
  std::vector<Record> records;
};

// Reads one frame. Returns nullopt if the input ends before the frame; throws MalformedInput if it ends
// inside.
std::optional<Batch> ReadBatch(std::istream& in);

// Decodes the body of a frame. Throws MalformedInput unless `body` is exactly `count` records.
Batch DecodeBatch(TimePoint now, std::uint32_t count, std::string_view body);

// Collects the actions of a batch and writes them as one frame.
class ReplyWriter {
 public:
  void Add(std::uint32_t instance, const Action& action);
  void AddInternalError(std::uint32_t instance, std::string_view text);
  // Returns the complete frame and clears the writer.
  std::string Take();

 private:
  std::string body_;
};

}  // namespace copperpoint::adapter

#endif  // COPPERPOINT_ADAPTER_CODEC_H_
