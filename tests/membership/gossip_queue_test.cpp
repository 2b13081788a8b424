// SPDX-License-Identifier: Apache-2.0
//
// Tests of the order in which claims are sent, and of how often.
#include "membership/gossip_queue.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace copperpoint::testing {
namespace {

using membership::GossipQueue;
using membership::Time;
using std::chrono::milliseconds;

constexpr std::size_t kPlenty = 1000;  // in bytes; more than all claims of a test have
constexpr int kOften = 100;            // transmissions; more than a test has

wire::Claim ClaimOn(const std::string& name, std::uint64_t incarnation = 1) {
  wire::Claim claim;
  claim.mutable_record()->set_name(name);
  claim.mutable_record()->set_incarnation(incarnation);
  return claim;
}

wire::LastContact ContactWith(const std::string& name, std::uint32_t age_ms) {
  wire::LastContact contact;
  contact.set_name(name);
  contact.set_age_ms(age_ms);
  return contact;
}

class GossipQueueTest : public ::testing::Test {
 protected:
  // Fills the next message, and returns the names of the members that its claims are on.
  std::vector<std::string> Send(std::size_t max_bytes = kPlenty, int max_transmissions = kOften) {
    message_.Clear();
    bytes_ = queue_.Fill(&message_, max_bytes, max_transmissions, now_);
    std::vector<std::string> names;
    for (const wire::Claim& claim : message_.claims()) names.push_back(claim.record().name());
    return names;
  }

  Time now_ = milliseconds(1000);
  GossipQueue queue_{4, now_};
  wire::Message message_;
  std::size_t bytes_ = 0;  // the bytes of the claims in message_, as Fill returned them
};

using Names = std::vector<std::string>;

TEST_F(GossipQueueTest, SendsClaimsThatWereSentLeastOftenFirst) {
  queue_.Add(ClaimOn("b"), now_);
  EXPECT_EQ(Send(), Names({"b"}));
  queue_.Add(ClaimOn("c"), now_);
  queue_.Add(ClaimOn("a"), now_);
  EXPECT_EQ(Send(), Names({"a", "c", "b"}));
}

TEST_F(GossipQueueTest, SendsEachClaimABoundedNumberOfTimes) {
  queue_.Add(ClaimOn("a"), now_);
  EXPECT_EQ(Send(kPlenty, 2), Names({"a"}));
  EXPECT_EQ(Send(kPlenty, 2), Names({"a"}));
  EXPECT_TRUE(queue_.empty());
  EXPECT_EQ(Send(kPlenty, 2), Names());
}

TEST_F(GossipQueueTest, SendsNoMoreThanTheBytesAllowedAndTheRestNext) {
  queue_.Add(ClaimOn("a"), now_);
  queue_.Add(ClaimOn("b"), now_);
  Send();
  const std::size_t of_one = bytes_ / 2;
  EXPECT_EQ(Send(of_one), Names({"a"}));
  EXPECT_LE(bytes_, of_one);
  EXPECT_EQ(Send(of_one), Names({"b"}));
  EXPECT_EQ(Send(of_one - 1), Names());
}

TEST_F(GossipQueueTest, ANewClaimReplacesAllThatIsQueuedOnTheMember) {
  queue_.Add(ClaimOn("a"), now_);
  queue_.Add(ClaimOn("a"), now_, GossipQueue::kAccuser + 1);
  queue_.Add(ContactWith("a", 5), now_);
  queue_.Add(ClaimOn("b"), now_);
  EXPECT_EQ(queue_.size(), 4u);
  queue_.Add(ClaimOn("a", 2), now_);
  EXPECT_EQ(queue_.size(), 2u);
  EXPECT_EQ(Send(), Names({"a", "b"}));
  EXPECT_EQ(message_.claims(0).record().incarnation(), 2u);
  EXPECT_EQ(message_.last_contacts_size(), 0);
}

TEST_F(GossipQueueTest, DropsTheClaimSentMostOftenWhereItIsFull) {
  queue_.Add(ClaimOn("a"), now_);
  Send();
  for (const char* name : {"b", "c", "d", "e"}) queue_.Add(ClaimOn(name), now_);
  EXPECT_EQ(queue_.dropped(), 1u);
  EXPECT_EQ(Send(), Names({"b", "c", "d", "e"}));
}

TEST_F(GossipQueueTest, AddsTheTimeInTheQueueToTheAge) {
  queue_.Add(ContactWith("a", 30), now_);
  wire::Claim claim = ClaimOn("b");
  claim.set_age_ms(7);
  queue_.Add(std::move(claim), now_);
  now_ += milliseconds(100);
  Send();
  ASSERT_EQ(message_.last_contacts_size(), 1);
  EXPECT_EQ(message_.last_contacts(0).age_ms(), 130u);
  ASSERT_EQ(message_.claims_size(), 1);
  EXPECT_EQ(message_.claims(0).age_ms(), 107u);
}

TEST_F(GossipQueueTest, SkipsAClaimThatIsTooLargeForTheRest) {
  queue_.Add(ClaimOn("a" + std::string(300, 'x')), now_);
  queue_.Add(ClaimOn("b"), now_);
  EXPECT_EQ(Send(100), Names({"b"}));
  EXPECT_EQ(queue_.size(), 2u);
}

TEST_F(GossipQueueTest, IsEmptyAfterClear) {
  queue_.Add(ClaimOn("a"), now_);
  queue_.Clear();
  EXPECT_TRUE(queue_.empty());
  EXPECT_EQ(Send(), Names());
}

}  // namespace
}  // namespace copperpoint::testing
