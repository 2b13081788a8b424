// SPDX-License-Identifier: Apache-2.0
#include "proxy/handover/handover_messages.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "proxy/discovery/endpoints.h"

namespace copperpoint::proxy {
namespace {

// A larger multiplier in a predecessor's state is taken for implausible and reduced to this one.
constexpr int kMaxEjectionMultiplier = 100;

constexpr const char* kDescriptors = "descriptors";
constexpr const char* kBackends = "learnt";
constexpr const char* kEndpointListFollows = "endpoint_list_follows";
constexpr const char* kId = "id";
constexpr const char* kEjectionMultiplier = "multiplier";
constexpr const char* kEjectionRemainingMs = "ejected_ms";
constexpr const char* kSlowStartWorkMs = "cold_work";

BackendHandoverState DecodeBackend(std::string id, const nlohmann::json& entry) {
  BackendHandoverState backend;
  backend.id = std::move(id);
  backend.ejection_multiplier =
      std::clamp(entry.at(kEjectionMultiplier).get<int>(), 0, kMaxEjectionMultiplier);
  backend.ejection_remaining = Duration(entry.at(kEjectionRemainingMs).get<double>());
  backend.slow_start_work = std::max(0.0, entry.at(kSlowStartWorkMs).get<double>());
  return backend;
}

}  // namespace

std::string EncodeListenerRequest(const boost::asio::ip::tcp::endpoint& listen) {
  return "take " + FormatHostPort(listen);
}

std::string EncodeHandoverState(const HandoverState& state) {
  nlohmann::json backends = nlohmann::json::array();
  for (const BackendHandoverState& backend : state.backends) {
    backends.push_back({{kId, backend.id},
                        {kEjectionMultiplier, backend.ejection_multiplier},
                        {kEjectionRemainingMs, backend.ejection_remaining.count()},
                        {kSlowStartWorkMs, backend.slow_start_work}});
  }
  nlohmann::json json{{kDescriptors, state.descriptors}, {kBackends, backends}};
  if (state.endpoint_list_follows) json[kEndpointListFollows] = true;
  return json.dump();
}

std::string EncodeDescriptorReport(const DescriptorReport& report) {
  return nlohmann::json{{kDescriptors, report.descriptors}}.dump();
}

DecodedHandoverState DecodeHandoverState(const std::string& text,
                                         const std::function<bool(const std::string& id)>& is_known) {
  const auto json = nlohmann::json::parse(text, nullptr, /*allow_exceptions=*/false);
  DecodedHandoverState state;
  try {
    state.descriptors = json.at(kDescriptors).get<int>();
    for (const auto& entry : json.at(kBackends)) {
      auto id = entry.at(kId).get<std::string>();
      if (is_known(id)) state.backends.push_back(DecodeBackend(std::move(id), entry));
    }
  } catch (const nlohmann::json::exception& error) {
    state.error = error.what();
  }
  return state;
}

bool EndpointListFollows(const std::string& text) {
  const auto json = nlohmann::json::parse(text, nullptr, /*allow_exceptions=*/false);
  if (!json.is_object()) return false;
  const auto found = json.find(kEndpointListFollows);
  return found != json.end() && found->is_boolean() && found->get<bool>();
}

std::optional<DescriptorReport> DecodeDescriptorReport(const std::string& text) {
  const auto json = nlohmann::json::parse(text, nullptr, /*allow_exceptions=*/false);
  if (!json.is_object()) return std::nullopt;
  const auto found = json.find(kDescriptors);
  if (found == json.end() || !found->is_number_integer()) return std::nullopt;
  return DescriptorReport{found->get<int>()};
}

}  // namespace copperpoint::proxy
