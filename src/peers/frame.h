// SPDX-License-Identifier: Apache-2.0
//
// The frame of a message between proxies, in a datagram or on a TCP connection: a header of 24 bytes, which
// no version of the format changes, and the message (message.proto).
//
//   offset  size
//        0     2  'C' 'P'
//        2     1  version of the writer's format
//        3     1  the lowest format version that a reader must know
//        4     4  hash of the cluster's name, which distinguishes another cluster's frame from a forged one
//        8    16  keyed BLAKE2b digest (libsodium) of bytes 0 to 7 and of the message
//
// The codec performs no I/O.
#ifndef COPPERPOINT_PEERS_FRAME_H_
#define COPPERPOINT_PEERS_FRAME_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "message.pb.h"

namespace copperpoint::peers {

extern const std::uint8_t kFormatVersion;     // the version that this program writes, and the latest it reads
extern const std::uint8_t kMinReaderVersion;  // the version that a reader of this program's frames must know
inline constexpr std::size_t kHeaderBytes = 24;
inline constexpr std::size_t kMaxDatagramBytes = 1200;  // including the header
inline constexpr std::size_t kMaxFrameBytes = std::size_t{8} * 1024 * 1024;

// Why a frame was rejected.
enum class FrameError {
  kNone,
  kMalformed,     // the frame has a wrong length, no 'CP', or a valid digest but no readable message
  kOtherCluster,  // the frame belongs to another cluster
  kForged,        // the digest was not made with this cluster's key
  kTooNew,        // the digest is valid, but this program cannot read the format
};
inline constexpr int kFrameErrors = 5;
// Returns the name that counters in JSON use.
const char* NameOf(FrameError error);

// Encodes and decodes the frames of one cluster. Owns the cluster's key.
class FrameCodec {
 public:
  static constexpr std::size_t kMinKeyBytes = 16, kMaxKeyBytes = 64;

  // Throws std::invalid_argument unless the key has kMinKeyBytes to kMaxKeyBytes.
  FrameCodec(std::string_view cluster, std::string_view key);

  std::string Encode(const wire::Message& message) const { return Encode(message.SerializeAsString()); }
  // `body` is a serialized message. Only tests of later formats pass versions other than this program's.
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
