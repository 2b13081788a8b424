// SPDX-License-Identifier: Apache-2.0
//
// The history of keys, and the backends that all proxies prefer for a key.
#include "decision/key_affinity.h"

#include <gtest/gtest.h>

namespace copperpoint {
namespace {

TimePoint At(double ms) { return TimePoint{Duration(1e6 + ms)}; }

TEST(KeyMemory, ForgetsABackendAfterFourSeconds) {
  KeyMemory memory;
  memory.OnSent(7, 1, At(0));
  EXPECT_TRUE(memory.Contains(7, 1, At(3999)));
  EXPECT_FALSE(memory.Contains(7, 1, At(4000)));
  EXPECT_FALSE(memory.Contains(7, 2, At(0)));
  EXPECT_FALSE(memory.Contains(8, 1, At(0)));
}

TEST(KeyMemory, VisitsTheLatestEightBackendsLatestFirst) {
  KeyMemory memory;
  for (BackendIndex i = 0; i < 12; ++i) memory.OnSent(7, i, At(i));
  std::vector<BackendIndex> visited;
  memory.ForLatest(7, At(12), [&](BackendIndex index) { visited.push_back(index); });
  EXPECT_EQ(visited, (std::vector<BackendIndex>{11, 10, 9, 8, 7, 6, 5, 4}));
}

TEST(PreferredBackends, MoveOnlyTheirOwnKeysWhenABackendIsRemoved) {
  int moved = 0;
  for (std::uint64_t key = 1; key <= 200; ++key) {
    PreferredBackends all, without;
    for (BackendIndex i = 0; i < 20; ++i) {
      all.Offer(key, i, i);
      if (i != 5) without.Offer(key, i, i);
    }
    int preferred = 0;
    for (BackendIndex i = 0; i < 20; ++i) {
      preferred += all.Contains(i);
      if (i != 5 && all.Contains(i)) {
        EXPECT_TRUE(without.Contains(i)) << key;
      }
    }
    EXPECT_EQ(preferred, PreferredBackends::kCount);
    moved += all.Contains(5);
  }
  EXPECT_GT(moved, 20);
  EXPECT_LT(moved, 60) << "each backend is preferred by 4 of 20 keys, so that about 40 of 200 move";
}

}  // namespace
}  // namespace copperpoint
