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
extern const std::uint8_t kVersion = 2, kLeastVersion = 1;
constexpr char kUnknownField[] = "\xa2\x06\x04next";  // field 100, four bytes
#else
extern const std::uint8_t kVersion = 1, kLeastVersion = 1;
constexpr char kUnknownField[] = "";
#endif

const char* NameOf(Refusal refusal) {
  switch (refusal) {
    case Refusal::kNone:
      return "none";
    case Refusal::kMalformed:
      return "malformed";
    case Refusal::kOtherCluster:
      return "other_cluster";
    case Refusal::kForged:
      return "forged";
    case Refusal::kTooNew:
      return "too_new";
  }
  return "unknown";
}

Seal::Seal(std::string_view cluster, std::string_view key)
    : key_(key), cluster_(static_cast<std::uint32_t>(XXH64(cluster.data(), cluster.size(), 0))) {
  if (key.size() < kLeastKey || key.size() > kMostKey)
    throw std::invalid_argument("a key of " + std::to_string(key.size()) + " bytes; 16 to 64 are wanted");
  google::protobuf::SetLogHandler(nullptr);  // what cannot be parsed is counted, not told to standard error
}

// Of the four bytes after the magic, which the digest does not stand in, and of the message.
std::array<unsigned char, 16> Seal::Digest(std::string_view bytes) const {
  std::array<unsigned char, 16> digest;
  crypto_generichash_state state;
  const auto* at = reinterpret_cast<const unsigned char*>(bytes.data());
  crypto_generichash_init(&state, reinterpret_cast<const unsigned char*>(key_.data()), key_.size(),
                          digest.size());
  crypto_generichash_update(&state, at, 8);
  crypto_generichash_update(&state, at + kHeader, bytes.size() - kHeader);
  crypto_generichash_final(&state, digest.data(), digest.size());
  return digest;
}

std::string Seal::Close(std::string_view body, std::uint8_t version, std::uint8_t least) const {
  std::string bytes(kHeader, '\0');
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

Refusal Seal::Open(std::string_view bytes, wire::Message* message) const {
  if (bytes.size() < kHeader || bytes.size() > kMostFrame || bytes[0] != 'C' || bytes[1] != 'P')
    return Refusal::kMalformed;
  if (std::memcmp(bytes.data() + 4, &cluster_, 4) != 0) return Refusal::kOtherCluster;
  const auto digest = Digest(bytes);
  if (sodium_memcmp(bytes.data() + 8, digest.data(), digest.size()) != 0) return Refusal::kForged;
  if (static_cast<std::uint8_t>(bytes[3]) > kVersion) return Refusal::kTooNew;
  if (!message->ParseFromArray(bytes.data() + kHeader, static_cast<int>(bytes.size() - kHeader)))
    return Refusal::kMalformed;
  return Refusal::kNone;
}

}  // namespace copperpoint::peers
