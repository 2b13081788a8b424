// SPDX-License-Identifier: Apache-2.0
//
// The frame in which a message between proxies stands, in a datagram or on a TCP connection: a header of 24
// bytes that no version of the format changes, then the message (message.proto).
//
//   offset  size
//        0     2  'C' 'P'
//        2     1  version of the writer's format
//        3     1  the least version that a reader must know
//        4     4  hash of the cluster's name, which distinguishes another cluster's frame from a forged one
//        8    16  BLAKE2b of all the rest, keyed (libsodium)
//
// No I/O.
#ifndef COPPERPOINT_PEERS_FRAME_H_
#define COPPERPOINT_PEERS_FRAME_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "message.pb.h"

namespace copperpoint::peers {

extern const std::uint8_t kFormatVersion;     // that this program writes, and the latest that it reads
extern const std::uint8_t kMinReaderVersion;  // that a reader of this program's frames must know
inline constexpr std::size_t kHeaderBytes = 24;
inline constexpr std::size_t kMaxDatagramBytes = 1200;  // with the header
inline constexpr std::size_t kMaxFrameBytes = std::size_t{8} * 1024 * 1024;

// Why a frame was rejected.
enum class FrameError {
  kNone,
  kMalformed,     // too short, without 'CP', or without a message behind a valid digest
  kOtherCluster,  // the frame of another cluster
  kForged,        // the digest was not made with this cluster's key
  kTooNew,        // a valid digest, and a format that this program cannot read
};
inline constexpr int kFrameErrors = 5;
// The name that counters in JSON use.
const char* NameOf(FrameError error);

// Encodes and decodes the frames of one cluster. Owns the cluster's key.
class FrameCodec {
 public:
  static constexpr std::size_t kMinKeyBytes = 16, kMaxKeyBytes = 64;

  // Throws std::invalid_argument unless the key is 16 to 64 bytes long.
  FrameCodec(std::string_view cluster, std::string_view key);

  std::string Encode(const wire::Message& message) const { return Encode(message.SerializeAsString()); }
  // `body` is a serialized message. The versions differ from the program's only in tests of later formats.
  std::string Encode(std::string_view body) const { return Encode(body, kFormatVersion, kMinReaderVersion); }
  std::string Encode(std::string_view body, std::uint8_t version, std::uint8_t min_reader_version) const;
  FrameError Decode(std::string_view frame, wire::Message* message) const;

 private:
  std::array<unsigned char, 16> Digest(std::string_view frame) const;

  std::string key_;
  std::uint32_t cluster_hash_ = 0;
};

}  // namespace copperpoint::peers

#endif  // COPPERPOINT_PEERS_FRAME_H_
