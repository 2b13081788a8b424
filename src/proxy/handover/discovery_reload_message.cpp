// SPDX-License-Identifier: Apache-2.0
#include "proxy/handover/discovery_reload_message.h"

#include <nlohmann/json.hpp>

#include "proxy/discovery/endpoints.h"
#include "proxy/handover/steady_time_json.h"

namespace copperpoint::proxy {
namespace {

using nlohmann::json;

constexpr const char* kDiscoveryReload = "discovery_reload";
constexpr const char* kAddress = "address";
constexpr const char* kReloadedAtNs = "reloaded_at_ns";  // on the steady clock

}  // namespace

std::string EncodeDiscoveryReload(const DiscoveryReload& reload) {
  const json fields{{kAddress, FormatHostPort(reload.address)},
                    {kReloadedAtNs, EncodeSteadyTime(reload.reloaded_at)}};
  return json{{kDiscoveryReload, fields}}.dump();
}

std::optional<DiscoveryReload> DecodeDiscoveryReload(const std::string& text) {
  const json parsed = json::parse(text, nullptr, /*allow_exceptions=*/false);
  if (!parsed.is_object()) return std::nullopt;
  const json fields = parsed.value(kDiscoveryReload, json::object());
  const auto reloaded_at = DecodePastSteadyTime(fields, kReloadedAtNs);
  if (!reloaded_at || !fields.contains(kAddress) || !fields[kAddress].is_string()) return std::nullopt;
  const auto address = ParseHostPort(fields[kAddress].get<std::string>());
  if (!address) return std::nullopt;
  return DiscoveryReload{*address, *reloaded_at};
}

}  // namespace copperpoint::proxy
