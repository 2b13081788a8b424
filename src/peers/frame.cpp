// SPDX-License-Identifier: Apache-2.0
#include "peers/frame.h"

#include <google/protobuf/stubs/logging.h>
#include <sodium.h>
#include <xxhash.h>

#include <cstring>
#include <stdexcept>

namespace copperpoint::peers {

// A test builds a program that writes the version to come, with a field that this one does not know, and
// starts both side by side.
#ifdef COPPERPOINT_NEXT_FORMAT
extern const std::uint8_t kFormatVersion = 2, kMinReaderVersion = 1;
constexpr char kUnknownField[] = "\xa2\x06\x04next";  // field 100, four bytes
#else
extern const std::uint8_t kFormatVersion = 1, kMinReaderVersion = 1;
constexpr char kUnknownField[] = "";
#endif

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
    : key_(key), cluster_(static_cast<std::uint32_t>(XXH64(cluster.data(), cluster.size(), 0))) {
  if (key.size() < kMinKeyBytes || key.size() > kMaxKeyBytes)
    throw std::invalid_argument("a key of " + std::to_string(key.size()) + " bytes; 16 to 64 are wanted");
  google::protobuf::SetLogHandler(nullptr);  // what cannot be parsed is counted, not told to standard error
}

// Of the four bytes after the magic, which the digest does not stand in, and of the message.
std::array<unsigned char, 16> FrameCodec::Digest(std::string_view bytes) const {
  std::array<unsigned char, 16> digest;
  crypto_generichash_state state;
  const auto* at = reinterpret_cast<const unsigned char*>(bytes.data());
  crypto_generichash_init(&state, reinterpret_cast<const unsigned char*>(key_.data()), key_.size(),
                          digest.size());
  crypto_generichash_update(&state, at, 8);
  crypto_generichash_update(&state, at + kHeaderBytes, bytes.size() - kHeaderBytes);
  crypto_generichash_final(&state, digest.data(), digest.size());
  return digest;
}

std::string FrameCodec::Encode(std::string_view body, std::uint8_t version, std::uint8_t least) const {
  std::string bytes(kHeaderBytes, '\0');
  bytes[0] = 'C';
  bytes[1] = 'P';
  bytes[2] = static_cast<char>(version);
  bytes[3] = static_cast<char>(least);
  std::memcpy(bytes.data() + 4, &cluster_, 4);
  bytes += body;
  bytes += kUnknownField;
  const auto digest = Digest(bytes);
  std::memcpy(bytes.data() + 8, digest.data(), digest.size());
  return bytes;
}

FrameError FrameCodec::Decode(std::string_view bytes, wire::Message* message) const {
  if (bytes.size() < kHeaderBytes || bytes.size() > kMaxFrameBytes || bytes[0] != 'C' || bytes[1] != 'P')
    return FrameError::kMalformed;
  if (std::memcmp(bytes.data() + 4, &cluster_, 4) != 0) return FrameError::kOtherCluster;
  const auto digest = Digest(bytes);
  if (sodium_memcmp(bytes.data() + 8, digest.data(), digest.size()) != 0) return FrameError::kForged;
  if (static_cast<std::uint8_t>(bytes[3]) > kFormatVersion) return FrameError::kTooNew;
  if (!message->ParseFromArray(bytes.data() + kHeaderBytes, static_cast<int>(bytes.size() - kHeaderBytes)))
    return FrameError::kMalformed;
  return FrameError::kNone;
}

}  // namespace copperpoint::peers
