// SPDX-License-Identifier: Apache-2.0
//
// Which of two endpoint lists wins when a process of the proxy is replaced: an older list never replaces a
// newer one, and a newer one is not kept out. The clock is stepped by hand.
#include "proxy/handover/endpoint_list_origin.h"

#include <gtest/gtest.h>

#include <chrono>

namespace copperpoint::testing {
namespace {

using proxy::EndpointListOrigin;
using proxy::HandoverPeer;
using std::chrono::milliseconds;

constexpr HandoverPeer kPredecessor = HandoverPeer::kPredecessor, kSuccessor = HandoverPeer::kSuccessor;

proxy::Steady::time_point At(int ms) {
  return proxy::Steady::time_point{} + std::chrono::hours(1) + milliseconds(ms);
}

TEST(EndpointListOrigin, ListOfTheConfigurationGivesWayAndIsNotHandedOver) {
  const EndpointListOrigin origin;
  EXPECT_FALSE(origin.received_at().has_value());
  for (const HandoverPeer peer : {kPredecessor, kSuccessor}) {
    EXPECT_TRUE(origin.IsSupersededBy(43, At(0), peer));
    EXPECT_TRUE(origin.IsSupersededBy(1, At(0), peer)) << "discovery may have counted anew";
  }
}

// A list of the predecessor that arrives behind a newer one of this process's own watch or answer.
TEST(EndpointListOrigin, OlderListDoesNotReplaceDiscoverysAnswer) {
  EndpointListOrigin origin;
  origin.OnDiscoveryList(43, At(1000));
  for (const int received_at : {0, 999, 1001, 20000}) {
    EXPECT_FALSE(origin.IsSupersededBy(42, At(received_at), kPredecessor)) << received_at;
    EXPECT_FALSE(origin.IsSupersededBy(43, At(received_at), kPredecessor)) << received_at;
    EXPECT_FALSE(origin.IsSupersededBy(42, At(received_at), kSuccessor)) << received_at;
  }
  EXPECT_EQ(origin.received_at(), At(1000));
}

// Discovery's answer to this process was late: the other process has been told of a later change.
TEST(EndpointListOrigin, NewerListReplacesAnAnswerThatIsOutOfDate) {
  EndpointListOrigin origin;
  origin.OnDiscoveryList(43, At(10000));
  EXPECT_TRUE(origin.IsSupersededBy(44, At(10001), kPredecessor));
  EXPECT_TRUE(origin.IsSupersededBy(44, At(10001), kSuccessor));
  EXPECT_TRUE(origin.IsSupersededBy(44, At(4001), kPredecessor));
}

// Discovery counts anew, and this process has its new list: the higher revision is of the earlier count.
TEST(EndpointListOrigin, HigherRevisionOfAnEarlierCountDoesNotReplaceDiscoverysAnswer) {
  EndpointListOrigin origin;
  origin.OnDiscoveryList(5, At(10000));
  EXPECT_FALSE(origin.IsSupersededBy(900, At(4000), kPredecessor));
  EXPECT_FALSE(origin.IsSupersededBy(900, At(4000), kSuccessor));
}

// This process has the predecessor's list only: the predecessor goes on deciding which list is the present
// one.
TEST(EndpointListOrigin, LaterListOfThePredecessorReplacesItsEarlierOneWhateverTheRevision) {
  EndpointListOrigin origin;
  origin.OnHandedOverList(900, At(0), kPredecessor);
  EXPECT_EQ(origin.received_at(), At(0));
  EXPECT_TRUE(origin.IsSupersededBy(901, At(1), kPredecessor));
  EXPECT_TRUE(origin.IsSupersededBy(5, At(1), kPredecessor)) << "discovery counts anew";
  EXPECT_FALSE(origin.IsSupersededBy(900, At(0), kPredecessor)) << "it is the same list";
  EXPECT_FALSE(origin.IsSupersededBy(901, At(-1), kPredecessor));
}

// Two successors in a row: the list of the next process replaces the predecessor's by its revision alone.
TEST(EndpointListOrigin, ListOfTheSuccessorNeedsAHigherRevision) {
  EndpointListOrigin origin;
  origin.OnHandedOverList(900, At(0), kPredecessor);
  EXPECT_FALSE(origin.IsSupersededBy(900, At(1), kSuccessor));
  EXPECT_TRUE(origin.IsSupersededBy(901, At(1), kSuccessor));
  origin.OnHandedOverList(901, At(1), kSuccessor);
  EXPECT_EQ(origin.received_at(), At(1));
}

TEST(EndpointListOrigin, DiscoverysAnswerTakesTheDecisionBackFromThePredecessor) {
  EndpointListOrigin origin;
  origin.OnHandedOverList(900, At(0), kPredecessor);
  origin.OnDiscoveryList(901, At(2000));
  EXPECT_FALSE(origin.IsSupersededBy(5, At(3000), kPredecessor));
  EXPECT_TRUE(origin.IsSupersededBy(902, At(3000), kPredecessor));
}

}  // namespace
}  // namespace copperpoint::testing
