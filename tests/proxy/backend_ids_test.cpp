// SPDX-License-Identifier: Apache-2.0
//
// Backend ids, which all proxies must derive identically from the endpoint names.
#include <gtest/gtest.h>

#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "support/loopback.h"

namespace copperpoint::testing {
namespace {

// Ids must not depend on the order in which names appear, not even if hashes collide.
TEST(BackendIds, DependOnNamesOnlyAlsoInCollisions) {
  const auto list = [](std::vector<std::string> ids) {
    std::vector<proxy::DiscoveredEndpoint> members;
    for (const auto& id : ids) members.emplace_back().id = id;
    return members;
  };
  proxy::BackendIds first_proxy, second_proxy;
  first_proxy.Assign(list({"s-1", "s-2", "s-3"}));
  second_proxy.Assign(list({"s-3"}));
  second_proxy.Assign(list({"s-2", "s-1"}));
  for (const char* id : {"s-1", "s-2", "s-3"}) EXPECT_EQ(first_proxy.IdOf(id), second_proxy.IdOf(id));

  const auto constant_hash = [](std::string_view) -> std::uint32_t { return 5; };
  proxy::BackendIds a(constant_hash), b(constant_hash);
  a.Assign(list({"x", "y", "z"}));
  b.Assign(list({"z", "y", "x"}));
  std::set<BackendId> distinct;
  for (const char* id : {"x", "y", "z"}) {
    EXPECT_EQ(a.IdOf(id), b.IdOf(id));
    distinct.insert(a.IdOf(id));
  }
  EXPECT_EQ(distinct.size(), 3u);
}

}  // namespace
}  // namespace copperpoint::testing
