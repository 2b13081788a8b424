// SPDX-License-Identifier: Apache-2.0
#include "proxy/handover/endpoint_list_message.h"

#include <nlohmann/json.hpp>
#include <string_view>
#include <utility>

#include "proxy/handover/sealed_memory.h"
#include "proxy/handover/steady_time_json.h"

namespace copperpoint::proxy {
namespace {

using nlohmann::json;

constexpr const char* kEndpointList = "endpoint_list";
constexpr const char* kReceivedAtNs = "received_at_ns";  // on the steady clock

}  // namespace

std::optional<EndpointListMessage> EncodeEndpointListMessage(const HandedOverEndpoints& endpoints) {
  const std::string list = EncodeEndpointList(endpoints.list);
  if (list.size() > kMaxEndpointListBytes) return std::nullopt;
  OwnedDescriptor contents = CreateSealedMemory(list);
  if (contents.get() == OwnedDescriptor::kNone) return std::nullopt;
  const json header{{kEndpointList, {{kReceivedAtNs, EncodeSteadyTime(endpoints.received_at)}}}};
  return EndpointListMessage{header.dump(), std::move(contents)};
}

bool IsEndpointListMessage(const std::string& text) {
  const json parsed = json::parse(text, nullptr, /*allow_exceptions=*/false);
  return parsed.is_object() && parsed.contains(kEndpointList);
}

std::optional<HandedOverEndpoints> DecodeEndpointListMessage(const ReceivedMessage& message,
                                                             std::string* error) {
  const json parsed = json::parse(message.text, nullptr, /*allow_exceptions=*/false);
  const json header = parsed.is_object() ? parsed.value(kEndpointList, json()) : json();
  const auto received_at = DecodePastSteadyTime(header, kReceivedAtNs);
  if (!received_at) {
    *error = "endpoint list: received_at_ns must be a past time of the steady clock in nanoseconds";
    return std::nullopt;
  }
  const auto text = ReadSealedMemory(message.descriptor.get(), kMaxEndpointListBytes);
  if (!text) {
    *error = "endpoint list: its contents must be a sealed memory file of at most " +
             std::to_string(kMaxEndpointListBytes) + " bytes";
    return std::nullopt;
  }
  EndpointListError list_error;
  auto list = ParseEndpointList(std::string_view(*text), &list_error);
  if (!list || !list->complete) {
    *error = "endpoint list: " + (list ? std::string("must be complete") : list_error.Describe());
    return std::nullopt;
  }
  return HandedOverEndpoints{std::move(*list), *received_at};
}

}  // namespace copperpoint::proxy
