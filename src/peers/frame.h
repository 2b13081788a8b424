// SPDX-License-Identifier: Apache-2.0
//
// How a message between proxies stands in a datagram or a TCP frame: 24 bytes that no version of the format
// changes, then the message (message.proto).
//
//   0  2  'C' 'P'
//   2  1  version of the writer's format
//   3  1  the least version that a reader has to know
//   4  4  which cluster: a hash of its name, so that another cluster's is told from a forgery
//   8 16  BLAKE2b of all the rest, keyed (libsodium)
//
// Nothing here does I/O.
#ifndef COPPERPOINT_PEERS_FRAME_H_
#define COPPERPOINT_PEERS_FRAME_H_

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

#include "message.pb.h"

namespace copperpoint::peers {

extern const std::uint8_t kFormatVersion;     // that this program writes, and the newest that it reads
extern const std::uint8_t kMinReaderVersion;  // that a reader of our messages has to know
inline constexpr std::size_t kHeaderBytes = 24;
inline constexpr std::size_t kMaxDatagramBytes = 1200;  // bytes, header and all
inline constexpr std::size_t kMaxFrameBytes = std::size_t{8} * 1024 * 1024;

// Why a message was not taken.
enum class FrameError {
  kNone,
  kMalformed,  // too short, no magic, or no message behind a good digest
  kOtherCluster,
  kForged,  // the digest is not ours
  kTooNew,  // a good digest, and a format that we cannot read
};
inline constexpr int kFrameErrors = 5;
const char* NameOf(FrameError error);

// The secret that makes a message one of this fleet's.
class FrameCodec {
 public:
  static constexpr std::size_t kMinKeyBytes = 16, kMaxKeyBytes = 64;  // bytes

  // Throws std::invalid_argument unless `key` is 16 to 64 bytes long.
  FrameCodec(std::string_view cluster, std::string_view key);

  std::string Encode(const wire::Message& message) const { return Encode(message.SerializeAsString()); }
  // `body` is a serialized message; the versions are for tests of what is to come.
  std::string Encode(std::string_view body) const { return Encode(body, kFormatVersion, kMinReaderVersion); }
  std::string Encode(std::string_view body, std::uint8_t version, std::uint8_t least) const;
  FrameError Decode(std::string_view bytes, wire::Message* message) const;

 private:
  std::array<unsigned char, 16> Digest(std::string_view bytes) const;

  std::string key_;
  std::uint32_t cluster_ = 0;
};

}  // namespace copperpoint::peers

#endif  // COPPERPOINT_PEERS_FRAME_H_
