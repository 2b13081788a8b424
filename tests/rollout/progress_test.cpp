// SPDX-License-Identifier: Apache-2.0
//
// Pins the order of encoded progress, and its bits, which members send each other and supervisors store.
#include "rollout/progress.h"

#include <gtest/gtest.h>

namespace copperpoint::rollout {
namespace {

TEST(Progress, AnEndTakesPrecedenceOverProgressAndALaterRolloutOverAnEarlierOne) {
  const std::uint64_t id = RolloutIdOf(DocumentVersion(7, 0xabcdef01));
  const Progress far{id, RolloutStatus::kInProgress, 0, 32000},
      rolled_back{id, RolloutStatus::kRolledBack, 0, 3}, aborted{id, RolloutStatus::kAborted, 0, 1},
      paused{id, RolloutStatus::kInProgress, 1, 5}, completed{id, RolloutStatus::kCompleted, 0, 300};
  EXPECT_GT(rolled_back.Encode(), far.Encode());
  EXPECT_GT(rolled_back.Encode(), completed.Encode());
  EXPECT_GT(aborted.Encode(), rolled_back.Encode());
  EXPECT_GT(paused.Encode(), far.Encode());
  EXPECT_GT((Progress{RolloutIdOf(DocumentVersion(8, 0)), RolloutStatus::kInProgress, 0, 0}).Encode(),
            aborted.Encode());
  const Progress decoded = Progress::Decode(paused.Encode());
  EXPECT_EQ(decoded.rollout_id, id);
  EXPECT_EQ(decoded.admitted_members, 5u);
  EXPECT_TRUE(decoded.paused());
}

TEST(Progress, EncodesToItsFixedBits) {
  EXPECT_EQ(DocumentVersion(7, 0xabcdef01), 0x7abcdef01u);
  EXPECT_EQ(RolloutIdOf(0x7abcdef01), 0x7abcu);
  EXPECT_EQ(EpochOf(0x7abcdef01), 7u);
  EXPECT_EQ(EpochOfRollout(0x7abc), 7u);
  EXPECT_EQ((Progress{0x7abc, RolloutStatus::kRolledBack, 5, 300}).Encode(), 0x7abc602812cu);
  EXPECT_EQ((Progress{0x7abc, RolloutStatus::kInProgress, 0, 0}).Encode(), 0x7abc0000000u);
  EXPECT_EQ((Progress{0x7abc, RolloutStatus::kAborted, 1023, 32767}).Encode(), 0x7abc9ffffffu);
}

TEST(Progress, DecodesEveryBitThatItEncodes) {
  for (const std::uint64_t encoded : {0x0ull, 0x7abc602812cull, 0xffffff7abc602812ull, 0x8000000000000001ull})
    EXPECT_EQ(Progress::Decode(encoded).Encode(), encoded);
}

TEST(Progress, StatusNamesAreThoseOfLogAndStatus) {
  EXPECT_STREQ(NameOf(RolloutStatus::kInProgress), "going");
  EXPECT_STREQ(NameOf(RolloutStatus::kCompleted), "done");
  EXPECT_STREQ(NameOf(RolloutStatus::kStopped), "stopped");
  EXPECT_STREQ(NameOf(RolloutStatus::kRolledBack), "taken back");
  EXPECT_STREQ(NameOf(RolloutStatus::kAborted), "aborted");
}

}  // namespace
}  // namespace copperpoint::rollout
