// SPDX-License-Identifier: Apache-2.0
//
// The list of backends in discovery's JSON form, and the numbers that the decision module knows them by.
#ifndef COPPERPOINT_PROXY_DISCOVERY_ENDPOINTS_H_
#define COPPERPOINT_PROXY_DISCOVERY_ENDPOINTS_H_

#include <boost/asio/ip/tcp.hpp>
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

// Nothing, and the reason in `why`, unless every entry is well formed.
std::optional<EndpointList> ParseEndpointList(const nlohmann::json& json, std::string* why);
std::optional<EndpointList> ParseEndpointList(std::string_view text, std::string* why);

// "a.b.c.d:port", or "[v6]:port".
std::optional<boost::asio::ip::tcp::endpoint> ParseHostPort(std::string_view text);

// FNV-1a: the same at every proxy and in every build, which std::hash does not promise.
std::uint64_t StableHash(std::string_view text);

// Numbers for server ids. The module hashes them over all proxies, so they come from the id alone; only the
// later of two ids with the same hash, in the order of their names, moves on to a salted one.
class BackendIds {
 public:
  using Hash = std::uint32_t (*)(std::string_view);
  static std::uint32_t HashOf(std::string_view id);
  explicit BackendIds(Hash hash = HashOf) : hash_(hash) {}

  // Assigns a BackendId to each id of the list; IdOf looks it up.
  void Assign(const std::vector<DiscoveredEndpoint>& endpoints);
  BackendId IdOf(const std::string& id) const { return numbers_.at(id); }
  void Release(const std::string& id);
  const std::unordered_map<std::string, BackendId>& all() const { return numbers_; }

 private:
  Hash hash_;
  std::unordered_map<std::string, BackendId> numbers_;
  std::unordered_map<BackendId, std::string> taken_;
};

}  // namespace copperpoint::proxy

#endif  // COPPERPOINT_PROXY_DISCOVERY_ENDPOINTS_H_
