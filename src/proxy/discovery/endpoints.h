// SPDX-License-Identifier: Apache-2.0
//
// The endpoint list in discovery's JSON form, and the numbers by which the decision module knows the
// backends.
#ifndef COPPERPOINT_PROXY_DISCOVERY_ENDPOINTS_H_
#define COPPERPOINT_PROXY_DISCOVERY_ENDPOINTS_H_

#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "copperpoint/balancer.h"

namespace copperpoint::proxy {

struct DiscoveredEndpoint {
  std::string id;
  boost::asio::ip::tcp::endpoint address;
  std::string zone, kind;
  int cell = 0;
  EndpointState state = EndpointState::kReady;
  double weight = 1;
  double up_since_unix_ms = 0;  // 0: long ago
};

struct EndpointList {
  std::uint64_t revision = 0;
  bool complete = false;
  std::vector<DiscoveredEndpoint> endpoints;
};

// Why a list cannot be used.
struct EndpointListError {
  enum class Kind {
    kNotJson,
    kMalformedField,  // a field is absent or of another type; `detail` names it
    kEmptyId,
    kUnknownPhase,
    kInvalidAddress,
    kInvalidUpSince,
  };
  Kind kind = Kind::kNotJson;
  std::optional<std::size_t> entry;  // its index in `members`; nothing: the fault is in no one entry
  std::string detail;

  // One phrase for the log.
  std::string Describe() const;
  // The field at fault, as far as it is known: "members.3.phase". Empty: the list itself.
  std::string FieldPath() const;
};

// Nothing, and the reason in `error`, unless every entry is well formed.
std::optional<EndpointList> ParseEndpointList(const nlohmann::json& json, EndpointListError* error);
std::optional<EndpointList> ParseEndpointList(std::string_view text, EndpointListError* error);

// "a.b.c.d:port", or "[v6]:port".
std::optional<boost::asio::ip::tcp::endpoint> ParseHostPort(std::string_view text);

// FNV-1a: the same at every proxy and in every build, which std::hash does not promise.
std::uint64_t StableHash(std::string_view text);

// Numbers for the ids of backends. They come from the id alone, so that all proxies number a backend alike;
// only the later of two ids with the same hash, in the order of their names, gets a salted one.
class BackendIds {
 public:
  using Hash = std::uint32_t (*)(std::string_view);
  static std::uint32_t HashOf(std::string_view id);
  explicit BackendIds(Hash hash = HashOf) : hash_(hash) {}

  // Assigns a BackendId to each id of the list; IdOf looks it up.
  void Assign(const std::vector<DiscoveredEndpoint>& endpoints);
  BackendId IdOf(const std::string& id) const { return numbers_by_id_.at(id); }
  void Release(const std::string& id);
  const std::unordered_map<std::string, BackendId>& all() const { return numbers_by_id_; }

 private:
  Hash hash_;
  std::unordered_map<std::string, BackendId> numbers_by_id_;
  std::unordered_map<BackendId, std::string> ids_by_number_;
};

}  // namespace copperpoint::proxy

#endif  // COPPERPOINT_PROXY_DISCOVERY_ENDPOINTS_H_
