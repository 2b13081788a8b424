// SPDX-License-Identifier: Apache-2.0
#include "proxy/discovery/endpoints.h"

#include <algorithm>
#include <boost/system/error_code.hpp>
#include <charconv>
#include <cmath>
#include <nlohmann/json.hpp>
#include <sstream>
#include <utility>

namespace copperpoint::proxy {
namespace {

using nlohmann::json;
using ErrorKind = EndpointListError::Kind;
using Tcp = boost::asio::ip::tcp;

// Returns nothing if discovery has no such phase.
std::optional<EndpointState> StateOf(std::string_view phase) {
  if (phase == "in_service") return EndpointState::kReady;
  if (phase == "terminating") return EndpointState::kDraining;
  if (phase == "terminated") return EndpointState::kRemoved;
  return std::nullopt;
}

const char* PhaseName(EndpointState state) {
  switch (state) {
    case EndpointState::kReady:
      return "in_service";
    case EndpointState::kDraining:
      return "terminating";
    case EndpointState::kRemoved:
      break;
  }
  return "terminated";
}

// Sets `fault` to the last fault of the entry. Throws json::exception if a required field is absent or a
// field is of another type.
DiscoveredEndpoint ReadEndpoint(const json& entry, std::optional<ErrorKind>* fault) {
  DiscoveredEndpoint endpoint;
  endpoint.id = entry.at("id").get<std::string>();
  if (endpoint.id.empty()) *fault = ErrorKind::kEmptyId;
  const auto state = StateOf(entry.at("phase").get<std::string>());
  if (!state) *fault = ErrorKind::kUnknownPhase;
  endpoint.state = state.value_or(EndpointState::kRemoved);
  const auto address = ParseHostPort(entry.value("host_port", ""));
  // A removed backend needs no address.
  if (!address && endpoint.state != EndpointState::kRemoved) *fault = ErrorKind::kInvalidAddress;
  endpoint.address = address.value_or(Tcp::endpoint());
  endpoint.zone = entry.value("locality", "");
  endpoint.kind = entry.value("flavor", "");
  endpoint.cell = entry.value("cell", 0);
  endpoint.weight = entry.value("size", 1.0);
  endpoint.up_since_unix_ms = entry.value("up_since_ms", 0.0);
  if (!std::isfinite(endpoint.up_since_unix_ms)) *fault = ErrorKind::kInvalidUpSince;
  return endpoint;
}

// Returns the field of an entry that a fault concerns, after a dot; empty if the kind names no field.
const char* FieldName(ErrorKind kind) {
  switch (kind) {
    case ErrorKind::kEmptyId:
      return ".id";
    case ErrorKind::kUnknownPhase:
      return ".phase";
    case ErrorKind::kInvalidAddress:
      return ".host_port";
    case ErrorKind::kInvalidUpSince:
      return ".up_since_ms";
    case ErrorKind::kNotJson:
    case ErrorKind::kMalformedField:
      break;
  }
  return "";
}

}  // namespace

std::string EndpointListError::Describe() const {
  switch (kind) {
    case Kind::kNotJson:
      return "not JSON";
    case Kind::kMalformedField:
      return detail;
    case Kind::kEmptyId:
      return "an entry has an empty id";
    case Kind::kUnknownPhase:
      return "an entry has an unknown phase";
    case Kind::kInvalidAddress:
      return "an entry has no usable host_port";
    case Kind::kInvalidUpSince:
      return "an entry has no usable up_since_ms";
  }
  return "unknown";
}

std::string EndpointListError::FieldPath() const {
  if (!entry) return "";
  return "members." + std::to_string(*entry) + FieldName(kind);
}

std::optional<EndpointList> ParseEndpointList(const json& json, EndpointListError* error) {
  EndpointList list;
  std::optional<std::size_t> entry_index;  // of the entry that is being read
  try {
    list.revision = json.at("revision").get<std::uint64_t>();
    list.complete = json.value("complete", false);
    for (const auto& entry : json.at("members")) {
      entry_index = list.endpoints.size();
      std::optional<ErrorKind> fault;
      list.endpoints.push_back(ReadEndpoint(entry, &fault));
      if (!fault) continue;
      *error = {*fault, entry_index, ""};
      return std::nullopt;
    }
  } catch (const json::exception& malformed) {
    *error = {ErrorKind::kMalformedField, entry_index, malformed.what()};
    return std::nullopt;
  }
  return list;
}

std::optional<EndpointList> ParseEndpointList(std::string_view text, EndpointListError* error) {
  const json parsed = json::parse(text, nullptr, /*allow_exceptions=*/false);
  if (parsed.is_discarded()) {
    *error = {ErrorKind::kNotJson, std::nullopt, ""};
    return std::nullopt;
  }
  return ParseEndpointList(parsed, error);
}

std::string EncodeEndpointList(const EndpointList& list) {
  json members = json::array();
  for (const DiscoveredEndpoint& endpoint : list.endpoints) {
    members.push_back({{"id", endpoint.id},
                       {"host_port", FormatHostPort(endpoint.address)},
                       {"locality", endpoint.zone},
                       {"flavor", endpoint.kind},
                       {"cell", endpoint.cell},
                       {"phase", PhaseName(endpoint.state)},
                       {"size", endpoint.weight},
                       {"up_since_ms", endpoint.up_since_unix_ms}});
  }
  return json{{"revision", list.revision}, {"complete", list.complete}, {"members", std::move(members)}}
      .dump();
}

std::string FormatHostPort(const Tcp::endpoint& address) {
  std::ostringstream text;
  text << address;
  return text.str();
}

std::optional<Tcp::endpoint> ParseHostPort(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos || colon == 0) return std::nullopt;
  std::string_view host = text.substr(0, colon), port = text.substr(colon + 1);
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') host = host.substr(1, host.size() - 2);
  std::uint16_t number = 0;
  const auto [end, error] = std::from_chars(port.data(), port.data() + port.size(), number);
  if (error != std::errc() || end != port.data() + port.size()) return std::nullopt;
  boost::system::error_code parse_error;
  const auto address = boost::asio::ip::make_address(std::string(host), parse_error);
  if (parse_error) return std::nullopt;
  return Tcp::endpoint(address, number);
}

std::uint64_t StableHash(std::string_view text) {
  std::uint64_t hash = 0xcbf29ce484222325u;
  for (const unsigned char c : text) hash = (hash ^ c) * 0x100000001b3u;
  return hash;
}

std::uint32_t BackendIds::HashOf(std::string_view id) {
  const std::uint64_t hash = StableHash(id);
  return static_cast<std::uint32_t>(hash ^ (hash >> 32));
}

void BackendIds::Assign(const std::vector<DiscoveredEndpoint>& endpoints) {
  std::vector<std::string> new_ids;
  for (const DiscoveredEndpoint& endpoint : endpoints) {
    if (!numbers_by_id_.contains(endpoint.id)) new_ids.push_back(endpoint.id);
  }
  // Sorted, so that proxies that receive a list in different orders number colliding ids alike.
  std::sort(new_ids.begin(), new_ids.end());
  for (const std::string& id : new_ids) {
    if (numbers_by_id_.contains(id)) continue;
    BackendId number = hash_(id);
    for (int salt = 1; ids_by_number_.contains(number); ++salt) {
      std::string salted(id);
      number = HashOf(salted.append(1, '#').append(std::to_string(salt)));
    }
    ids_by_number_.emplace(number, id);
    numbers_by_id_.emplace(id, number);
  }
}

void BackendIds::Release(const std::string& id) {
  const auto found = numbers_by_id_.find(id);
  if (found == numbers_by_id_.end()) return;
  ids_by_number_.erase(found->second);
  numbers_by_id_.erase(found);
}

}  // namespace copperpoint::proxy
