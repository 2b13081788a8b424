// SPDX-License-Identifier: Apache-2.0
//
// Parses discovery's JSON form of the endpoint list, and assigns the numbers by which the decision module
// identifies backends.
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
  bool complete = false;  // a snapshot of all endpoints; false: an incremental update
  std::vector<DiscoveredEndpoint> endpoints;
};

// Why an endpoint list cannot be used.
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
  std::optional<std::size_t> entry;  // index in `members`; nothing: the fault is not in a single entry
  std::string detail;

  // Returns one phrase for a log line or an error message.
  std::string Describe() const;
  // Returns the path of the invalid field as far as it is known: "members.3.phase". Empty: the list itself.
  std::string FieldPath() const;
};

// Both return nothing, with the reason in `error`, unless every entry is well formed.
std::optional<EndpointList> ParseEndpointList(const nlohmann::json& json, EndpointListError* error);
std::optional<EndpointList> ParseEndpointList(std::string_view text, EndpointListError* error);

// Returns the list in discovery's JSON form, which ParseEndpointList reads.
std::string EncodeEndpointList(const EndpointList& list);

// Parses "a.b.c.d:port" or "[v6]:port"; returns nothing if the text is not an address.
std::optional<boost::asio::ip::tcp::endpoint> ParseHostPort(std::string_view text);
// Returns the text of the address that ParseHostPort reads.
std::string FormatHostPort(const boost::asio::ip::tcp::endpoint& address);

// Returns the FNV-1a hash, which is the same in every proxy and every build; std::hash does not promise that.
std::uint64_t StableHash(std::string_view text);

// Assigns numbers to the ids of backends. A number is the hash of the id alone, so that all proxies number a
// backend alike; only the later of two ids with the same hash, in alphabetical order, gets a salted hash.
class BackendIds {
 public:
  using Hash = std::uint32_t (*)(std::string_view);
  static std::uint32_t HashOf(std::string_view id);
  explicit BackendIds(Hash hash = HashOf) : hash_(hash) {}

  // Assigns a BackendId to each id of the list that has none; IdOf looks it up.
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
