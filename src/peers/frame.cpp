// SPDX-License-Identifier: Apache-2.0
#include "peers/frame.h"

#include <google/protobuf/stubs/logging.h>
#include <sodium.h>
#include <xxhash.h>

#include <cstring>
#include <stdexcept>

namespace copperpoint::peers {

// COPPERPOINT_NEXT_FORMAT builds the program that a test runs together with this one. It writes the next
// version of the format, with a field that this version does not know.
#ifdef COPPERPOINT_NEXT_FORMAT
extern const std::uint8_t kFormatVersion = 2, kMinReaderVersion = 1;
constexpr char kUnknownField[] = "\xa2\x06\x04next";  // field 100, four bytes
#else
extern const std::uint8_t kFormatVersion = 1, kMinReaderVersion = 1;
constexpr char kUnknownField[] = "";
#endif

namespace {

// Offsets in the header, in bytes.
constexpr std::size_t kVersionOffset = 2, kMinReaderOffset = 3, kClusterOffset = 4, kDigestOffset = 8;

}  // namespace

const char* NameOf(FrameError error) {
  switch (error) {
    case FrameError::kNone:
      return "none";
    case FrameError::kMalformed:
      return "malformed";
    case FrameError::kOtherCluster:
      return "other_cluster";
    case FrameError::kForged:
      return "forged";
    case FrameError::kTooNew:
      return "too_new";
  }
  return "unknown";
}

FrameCodec::FrameCodec(std::string_view cluster, std::string_view key)
    : key_(key), cluster_hash_(static_cast<std::uint32_t>(XXH64(cluster.data(), cluster.size(), 0))) {
  if (key.size() < kMinKeyBytes || key.size() > kMaxKeyBytes)
    throw std::invalid_argument("the key has " + std::to_string(key.size()) +
                                " bytes; 16 to 64 are expected");
  // Prevents protobuf from writing to standard error when a message cannot be parsed; such messages are
  // counted.
  google::protobuf::SetLogHandler(nullptr);
}

// Returns the digest of the first eight bytes, which stand before the digest, and of the message.
std::array<unsigned char, 16> FrameCodec::Digest(std::string_view frame) const {
  std::array<unsigned char, 16> digest;
  crypto_generichash_state state;
  const auto* bytes = reinterpret_cast<const unsigned char*>(frame.data());
  crypto_generichash_init(&state, reinterpret_cast<const unsigned char*>(key_.data()), key_.size(),
                          digest.size());
  crypto_generichash_update(&state, bytes, kDigestOffset);
  crypto_generichash_update(&state, bytes + kHeaderBytes, frame.size() - kHeaderBytes);
  crypto_generichash_final(&state, digest.data(), digest.size());
  return digest;
}

std::string FrameCodec::Encode(std::string_view body, std::uint8_t version,
                               std::uint8_t min_reader_version) const {
  std::string frame(kHeaderBytes, '\0');
  frame[0] = 'C';
  frame[1] = 'P';
  frame[kVersionOffset] = static_cast<char>(version);
  frame[kMinReaderOffset] = static_cast<char>(min_reader_version);
  std::memcpy(frame.data() + kClusterOffset, &cluster_hash_, sizeof cluster_hash_);
  frame += body;
  frame += kUnknownField;
  const auto digest = Digest(frame);
  std::memcpy(frame.data() + kDigestOffset, digest.data(), digest.size());
  return frame;
}

FrameError FrameCodec::Decode(std::string_view frame, wire::Message* message) const {
  if (frame.size() < kHeaderBytes || frame.size() > kMaxFrameBytes || frame[0] != 'C' || frame[1] != 'P')
    return FrameError::kMalformed;
  if (std::memcmp(frame.data() + kClusterOffset, &cluster_hash_, sizeof cluster_hash_) != 0)
    return FrameError::kOtherCluster;
  const auto digest = Digest(frame);
  if (sodium_memcmp(frame.data() + kDigestOffset, digest.data(), digest.size()) != 0)
    return FrameError::kForged;
  if (static_cast<std::uint8_t>(frame[kMinReaderOffset]) > kFormatVersion) return FrameError::kTooNew;
  if (!message->ParseFromArray(frame.data() + kHeaderBytes, static_cast<int>(frame.size() - kHeaderBytes)))
    return FrameError::kMalformed;
  return FrameError::kNone;
}

}  // namespace copperpoint::peers
