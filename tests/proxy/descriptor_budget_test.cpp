// SPDX-License-Identifier: Apache-2.0
//
// DescriptorBudget: the limits that it derives from the process's descriptors.
#include "proxy/core/descriptor_budget.h"

#include <gtest/gtest.h>

namespace copperpoint::testing {
namespace {

using proxy::DescriptorBudget;

constexpr int kMaxDescriptors = 124, kReserved = 24;
constexpr double kClientFraction = 0.75;

TEST(DescriptorBudget, DividesWhatIsNotReservedWhenTheProcessIsAlone) {
  const auto limits = DescriptorBudget(kMaxDescriptors, kReserved, kClientFraction).ForSingleProcess();
  EXPECT_EQ(limits.clients, 75u);
  EXPECT_EQ(limits.backends, 25u);
}

TEST(DescriptorBudget, LeavesOutWhatAnotherProcessHolds) {
  const auto limits = DescriptorBudget(kMaxDescriptors, kReserved, kClientFraction).BesideProcess(60);
  EXPECT_EQ(limits.clients, 30u);
  EXPECT_EQ(limits.backends, 10u);
}

TEST(DescriptorBudget, LeavesAMinimumHoweverManyAnotherProcessHolds) {
  const auto limits = DescriptorBudget(kMaxDescriptors, kReserved, kClientFraction).BesideProcess(1000);
  EXPECT_EQ(limits.clients, 24u);
  EXPECT_EQ(limits.backends, 8u);
}

TEST(DescriptorBudget, TakesANegativeCountOfAnotherProcessForNone) {
  const DescriptorBudget budget(kMaxDescriptors, kReserved, kClientFraction);
  EXPECT_EQ(budget.BesideProcess(-5).clients, budget.ForSingleProcess().clients);
}

TEST(DescriptorBudget, CountsTheReservedDescriptorsAsInUse) {
  EXPECT_EQ(DescriptorBudget(kMaxDescriptors, kReserved, kClientFraction).InUse(3, 4), 31);
}

}  // namespace
}  // namespace copperpoint::testing
