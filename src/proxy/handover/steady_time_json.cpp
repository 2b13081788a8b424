// SPDX-License-Identifier: Apache-2.0
#include "proxy/handover/steady_time_json.h"

#include <chrono>
#include <nlohmann/json.hpp>

namespace copperpoint::proxy {

std::int64_t EncodeSteadyTime(Steady::time_point at) {
  const std::chrono::nanoseconds since_origin = at.time_since_epoch();
  return since_origin.count();
}

std::optional<Steady::time_point> DecodePastSteadyTime(const nlohmann::json& fields,
                                                       const std::string& name) {
  if (!fields.is_object()) return std::nullopt;
  const auto found = fields.find(name);
  if (found == fields.end() || !found->is_number_integer()) return std::nullopt;
  const Steady::time_point at{std::chrono::nanoseconds(found->get<std::int64_t>())};
  if (at < Steady::time_point{} || at > Steady::now()) return std::nullopt;
  return at;
}

}  // namespace copperpoint::proxy
