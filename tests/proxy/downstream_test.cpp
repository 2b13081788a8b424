// SPDX-License-Identifier: Apache-2.0
//
// Components of the downstream side that need no socket: arrival times, memory budget and session states.
#include <gtest/gtest.h>

#include <array>
#include <chrono>
#include <utility>

#include "proxy/downstream/arrival_times.h"
#include "proxy/downstream/session_state.h"
#include "proxy/memory_budget.h"

namespace copperpoint::testing {
namespace {

using proxy::ArrivalTimes;
using proxy::IsValidTransition;
using proxy::MemoryBudget;
using proxy::SessionState;
using proxy::Steady;
using std::chrono::milliseconds;

constexpr Steady::time_point At(int ms) { return Steady::time_point(milliseconds(ms)); }

TEST(ArrivalTimes, ReportsArrivalOfTheLastByteConsumed) {
  ArrivalTimes arrivals;
  arrivals.Add(10, At(1));
  arrivals.Add(10, At(2));
  EXPECT_EQ(arrivals.Consume(10, At(9)), At(1));
  EXPECT_EQ(arrivals.Consume(1, At(9)), At(2));
  EXPECT_EQ(arrivals.Consume(9, At(9)), At(2));
  EXPECT_EQ(arrivals.Consume(1, At(9)), At(9)) << "nothing is recorded";
}

TEST(ArrivalTimes, SpansRangesWhenARequestArrivedInPieces) {
  ArrivalTimes arrivals;
  arrivals.Add(3, At(1));
  arrivals.Add(3, At(2));
  arrivals.Add(3, At(3));
  EXPECT_EQ(arrivals.Consume(7, At(9)), At(3));
  EXPECT_EQ(arrivals.Consume(2, At(9)), At(3));
}

TEST(ArrivalTimes, CountsBytesBeyondTheLimitOfRangesWithTheLastRange) {
  ArrivalTimes arrivals;
  const int ranges = static_cast<int>(ArrivalTimes::kMaxRanges);
  for (int i = 0; i < ranges + 4; ++i) arrivals.Add(1, At(i));
  EXPECT_EQ(arrivals.Consume(ArrivalTimes::kMaxRanges + 4, At(99)), At(ranges - 1));
}

TEST(ArrivalTimes, ReportsNowAfterClear) {
  ArrivalTimes arrivals;
  arrivals.Add(5, At(1));
  arrivals.Clear();
  EXPECT_EQ(arrivals.Consume(5, At(9)), At(9));
}

TEST(MemoryBudget, RejectsReservationBeyondTheLimitAndReservesNothing) {
  MemoryBudget budget(100);
  EXPECT_TRUE(budget.Reserve(60));
  EXPECT_FALSE(budget.Reserve(41));
  EXPECT_EQ(budget.reserved_bytes(), 60u);
  EXPECT_TRUE(budget.Reserve(40));
  budget.Release(60);
  EXPECT_EQ(budget.reserved_bytes(), 40u);
  EXPECT_TRUE(budget.Reserve(60));
}

constexpr std::array kStates{SessionState::kIdle,
                             SessionState::kReadingRequest,
                             SessionState::kAwaitingResponse,
                             SessionState::kWritingResponse,
                             SessionState::kLingering,
                             SessionState::kClosed};

TEST(SessionState, AnyStateButClosedMayClose) {
  for (const SessionState from : kStates)
    EXPECT_EQ(IsValidTransition(from, SessionState::kClosed), from != SessionState::kClosed);
}

TEST(SessionState, ClosedAndLingeringConnectionsServeNoFurtherRequest) {
  for (const SessionState to : kStates) {
    EXPECT_FALSE(IsValidTransition(SessionState::kClosed, to));
    EXPECT_EQ(IsValidTransition(SessionState::kLingering, to), to == SessionState::kClosed);
  }
}

TEST(SessionState, AKeptAliveConnectionPassesThroughEveryStateOfARequest) {
  const std::array path{SessionState::kIdle, SessionState::kReadingRequest, SessionState::kAwaitingResponse,
                        SessionState::kWritingResponse, SessionState::kIdle};
  for (std::size_t i = 0; i + 1 < path.size(); ++i) {
    EXPECT_TRUE(IsValidTransition(path[i], path[i + 1])) << i;
    EXPECT_FALSE(IsValidTransition(path[i + 1], path[i])) << "back, " << i;
  }
}

TEST(SessionState, AResponseIsNotSkippedOnceARequestIsForwarded) {
  EXPECT_FALSE(IsValidTransition(SessionState::kAwaitingResponse, SessionState::kIdle));
  EXPECT_FALSE(IsValidTransition(SessionState::kAwaitingResponse, SessionState::kLingering));
}

}  // namespace
}  // namespace copperpoint::testing
