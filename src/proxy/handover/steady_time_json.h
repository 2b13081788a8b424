// SPDX-License-Identifier: Apache-2.0
//
// Times in the messages between two processes of one proxy. Both run on one machine and read the same steady
// clock.
#ifndef COPPERPOINT_PROXY_HANDOVER_STEADY_TIME_JSON_H_
#define COPPERPOINT_PROXY_HANDOVER_STEADY_TIME_JSON_H_

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>

#include "proxy/clock.h"

namespace copperpoint::proxy {

// Returns nanoseconds on the steady clock.
std::int64_t EncodeSteadyTime(Steady::time_point at);
// Returns nothing if `fields` is no object with such a field, or the time is still to come.
std::optional<Steady::time_point> DecodePastSteadyTime(const nlohmann::json& fields, const std::string& name);

}  // namespace copperpoint::proxy

#endif  // COPPERPOINT_PROXY_HANDOVER_STEADY_TIME_JSON_H_
