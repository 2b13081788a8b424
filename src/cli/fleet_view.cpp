// SPDX-License-Identifier: Apache-2.0
#include "cli/fleet_view.h"

#include <stdexcept>

#include "cli/admin_client.h"

namespace copperpoint::cli {

nlohmann::json GetFleetView(const std::string& address) {
  auto view = nlohmann::json::parse(CallAdmin(address, "/fleet"), nullptr, /*allow_exceptions=*/false);
  if (!view.is_object() || !view.contains("members"))
    throw std::runtime_error(address + ": the response to GET /fleet is not a JSON object with 'members'");
  return view;
}

}  // namespace copperpoint::cli
