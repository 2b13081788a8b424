// SPDX-License-Identifier: Apache-2.0
//
// Ids of backends, which all proxies derive alike from the names.
#include <gtest/gtest.h>

#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "support/loopback.h"

namespace copperpoint::testing {
namespace {

TEST(BackendIds, DependOnNamesOnlyAlsoInCollisions) {
  const auto list = [](std::vector<std::string> ids) {
    std::vector<proxy::DiscoveredEndpoint> members;
    for (const auto& id : ids) members.emplace_back().id = id;
    return members;
  };
  proxy::BackendIds here, there;
  here.Assign(list({"s-1", "s-2", "s-3"}));
  there.Assign(list({"s-3"}));
  there.Assign(list({"s-2", "s-1"}));
  for (const char* id : {"s-1", "s-2", "s-3"}) EXPECT_EQ(here.IdOf(id), there.IdOf(id));

  const auto same = [](std::string_view) -> std::uint32_t { return 5; };
  proxy::BackendIds a(same), b(same);
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
