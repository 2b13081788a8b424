// SPDX-License-Identifier: Apache-2.0
#include "proxy/handover/endpoint_list_message.h"

#include <chrono>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string_view>
#include <utility>

#include "proxy/handover/sealed_memory.h"

namespace copperpoint::proxy {
namespace {

using nlohmann::json;

constexpr const char* kEndpointList = "endpoint_list";
constexpr const char* kReceivedAtNs = "received_at_ns";  // on the steady clock

// Returns nothing if the header has no such time, or one that is still to come.
std::optional<Steady::time_point> ReceivedAt(const json& header) {
  if (!header.is_object()) return std::nullopt;
  const auto found = header.find(kReceivedAtNs);
  if (found == header.end() || !found->is_number_integer()) return std::nullopt;
  const Steady::time_point at{std::chrono::nanoseconds(found->get<std::int64_t>())};
  if (at < Steady::time_point{} || at > Steady::now()) return std::nullopt;
  return at;
}

}  // namespace

std::optional<EndpointListMessage> EncodeEndpointListMessage(const HandedOverEndpoints& endpoints) {
  const std::string list = EncodeEndpointList(endpoints.list);
  if (list.size() > kMaxEndpointListBytes) return std::nullopt;
  OwnedDescriptor contents = CreateSealedMemory(list);
  if (contents.get() == OwnedDescriptor::kNone) return std::nullopt;
  const std::chrono::nanoseconds received_at = endpoints.received_at.time_since_epoch();
  const json header{{kEndpointList, {{kReceivedAtNs, received_at.count()}}}};
  return EndpointListMessage{header.dump(), std::move(contents)};
}

bool IsEndpointListMessage(const std::string& text) {
  const json parsed = json::parse(text, nullptr, /*allow_exceptions=*/false);
  return parsed.is_object() && parsed.contains(kEndpointList);
}

std::optional<HandedOverEndpoints> DecodeEndpointListMessage(const ReceivedMessage& message,
                                                             std::string* error) {
  const json parsed = json::parse(message.text, nullptr, /*allow_exceptions=*/false);
  const auto received_at =
      parsed.is_object() ? ReceivedAt(parsed.value(kEndpointList, json())) : std::nullopt;
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
