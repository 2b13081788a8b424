// SPDX-License-Identifier: Apache-2.0
//
// How a backend is picked from the state of all backends, rule by rule, and the statistics that the pick
// uses.
#include "decision/backend_picker.h"

#include <gtest/gtest.h>

#include <set>

#include "decision/relative_latency.h"
#include "decision/traffic_rates.h"

namespace copperpoint {
namespace {

constexpr TimePoint kNow{Duration(1e6)};

class BackendPickerTest : public ::testing::Test {
 protected:
  explicit BackendPickerTest(double cross_zone_cost = 0)
      : settings_(SettingsWith(cross_zone_cost)), zone_locality_(cross_zone_cost) {
    request_.work_ms = 10;
    latencies_.OnReceived(0, 10.0, 10, Duration(100));
  }
  static Settings SettingsWith(double cross_zone_cost) {
    Settings settings;
    settings.classes.resize(1);
    settings.cross_zone_cost = cross_zone_cost;
    settings.slow_start_window = Duration(10000);
    settings.slow_start_min_capacity = 0.1;
    settings.overload_window = Duration(1000);
    return settings;
  }
  void List(BackendId backends, int zones = 1) {
    EndpointUpdate update{EndpointUpdateKind::kSnapshot, {}};
    for (BackendId id = 0; id < backends; ++id) {
      Endpoint endpoint;
      endpoint.backend = id;
      endpoint.zone = static_cast<int>(id) % zones;
      update.endpoints.push_back(endpoint);
    }
    endpoints_.Apply(update, kNow);
    subset_.Rebuild(endpoints_);
  }
  BackendPicker::Result Pick(std::optional<BackendIndex> anchor = std::nullopt) {
    return picker_.Pick(request_, anchor, kNow, random_);
  }
  BackendId Picked() { return Pick().backend->endpoint.backend; }

  Settings settings_;
  EndpointSet endpoints_;
  Subset subset_{settings_};
  KeyMemory key_memory_;
  SlowStart slow_start_{settings_};
  ZoneLocality zone_locality_;
  LatencyStatistics latencies_{1};
  Random random_{1};
  RequestState request_;
  BackendPicker picker_{
      {settings_, endpoints_, subset_, key_memory_, slow_start_, zone_locality_, latencies_}};
};

TEST_F(BackendPickerTest, PicksNoneWhileNoBackendIsListed) { EXPECT_EQ(Pick().backend, nullptr); }

TEST_F(BackendPickerTest, PicksTheLeastOutstandingWork) {
  List(4);
  for (BackendState& backend : endpoints_.backends()) backend.outstanding_work_ms = 20;
  endpoints_.Find(2)->outstanding_work_ms = 10;
  for (int i = 0; i < 20; ++i) EXPECT_EQ(Picked(), 2u);
}

TEST_F(BackendPickerTest, BreaksTiesAtRandom) {
  List(4);
  std::set<BackendId> picked;
  for (int i = 0; i < 100; ++i) picked.insert(Picked());
  EXPECT_EQ(picked.size(), 4u);
}

TEST_F(BackendPickerTest, CountsTheTimeLostAtASlowBackend) {
  List(2);
  endpoints_.Find(0)->latency = {3, kNow};
  endpoints_.Find(1)->outstanding_work_ms = 15;
  EXPECT_EQ(Picked(), 1u) << "20 ms are lost at backend 0";
  endpoints_.Find(1)->outstanding_work_ms = 25;
  EXPECT_EQ(Picked(), 0u);
}

TEST_F(BackendPickerTest, PrefersABackendThatServedTheKeyLately) {
  List(2);
  request_.key = 5;
  key_memory_.OnSent(5, endpoints_.IndexOf(*endpoints_.Find(1)), kNow);
  endpoints_.Find(1)->outstanding_work_ms = 19;
  EXPECT_EQ(Picked(), 1u);
  endpoints_.Find(1)->outstanding_work_ms = 21;
  EXPECT_EQ(Picked(), 0u);
}

TEST_F(BackendPickerTest, PicksAnAttemptedBackendLast) {
  List(2);
  AttemptState attempt;
  attempt.backend = endpoints_.IndexOf(*endpoints_.Find(0));
  request_.attempts.push_back(attempt);
  endpoints_.Find(1)->outstanding_work_ms = 1000;
  EXPECT_EQ(Picked(), 1u);
}

TEST_F(BackendPickerTest, PicksAnEjectedBackendOnlyWhereNoneIsInService) {
  List(2);
  endpoints_.Find(0)->health.ejected = true;
  endpoints_.Find(1)->outstanding_work_ms = 1000;
  EXPECT_EQ(Picked(), 1u);
  endpoints_.Find(1)->in_zone_outage = true;
  EXPECT_EQ(Picked(), 0u);
}

TEST_F(BackendPickerTest, PicksOnlyBackendsThatRecogniseTheDuplicate) {
  List(6, 3);
  settings_.classes[0].deduplication_scope = DeduplicationScope::kZone;
  const BackendIndex anchor = endpoints_.IndexOf(*endpoints_.Find(1));
  for (int i = 0; i < 20; ++i) EXPECT_EQ(Pick(anchor).backend->endpoint.zone, 1);
}

TEST_F(BackendPickerTest, PassesOverABackendWithoutSlowStartBudgetAndReportsIt) {
  List(2);
  BackendState* starting = endpoints_.Find(0);
  starting->endpoint.up_since = kNow - Duration(100);
  starting->slow_start.last_sent = kNow;
  endpoints_.Find(1)->outstanding_work_ms = 1000;
  const BackendPicker::Result result = Pick();
  EXPECT_EQ(result.backend, endpoints_.Find(1));
  EXPECT_EQ(result.over_budget, starting);
}

TEST_F(BackendPickerTest, FindsAnIdleBackendOfManyByItsSample) {
  List(500);
  subset_.SetEvaluableBackends(500);
  subset_.Rebuild(endpoints_);
  for (BackendState& backend : endpoints_.backends())
    backend.outstanding_work_ms = backend.endpoint.backend % 2 == 0 ? 50 : 0;
  int idle = 0;
  for (int i = 0; i < 100; ++i) idle += Pick().backend->outstanding_work_ms == 0;
  EXPECT_GE(idle, 99);
}

TEST_F(BackendPickerTest, RanksAllOfManyWhereTheSampleIsOutOfService) {
  List(500);
  for (BackendState& backend : endpoints_.backends()) backend.health.ejected = backend.endpoint.backend != 77;
  subset_.SetEvaluableBackends(500);
  subset_.Rebuild(endpoints_);
  EXPECT_EQ(Picked(), 77u);
}

class CostlyCrossing : public BackendPickerTest {
 protected:
  CostlyCrossing() : BackendPickerTest(0.1) {}
};

TEST_F(CostlyCrossing, CountsTheCrossingAsWorkWhileTheOwnZoneServesWell) {
  List(2, 2);
  for (int i = 0; i < 20; ++i) zone_locality_.OnOutcome(/*own_zone=*/true, 0);
  endpoints_.Find(0)->outstanding_work_ms = 9;
  EXPECT_EQ(Picked(), 0u) << "the crossing counts as a tenth of 10 requests of 10 ms, which is 10 ms";
  endpoints_.Find(0)->outstanding_work_ms = 11;
  EXPECT_EQ(Picked(), 1u);
}

TEST(RelativeLatency, ReturnsToOneWithoutFurtherAnswers) {
  LatencyState state;
  for (int i = 0; i < 100; ++i) RelativeLatency::Update(state, 30, 10, kNow);
  EXPECT_NEAR(RelativeLatency::Of(state, kNow), 3, 0.01);
  EXPECT_NEAR(RelativeLatency::Of(state, kNow + Duration(4000)), 1 + 2 * std::exp(-1), 0.01);
}

TEST(LatencyStatistics, ScalesByWorkInFullAboveTheMeanAndByHalfBelow) {
  LatencyStatistics latencies(1);
  for (int i = 0; i < 3; ++i) latencies.OnReceived(0, 10.0, 10, Duration(100));
  EXPECT_DOUBLE_EQ(latencies.WorkScale(0, 30), 3);
  EXPECT_DOUBLE_EQ(latencies.WorkScale(0, 5), 0.75);
  EXPECT_DOUBLE_EQ(latencies.WorkOf(std::nullopt), 10);
  for (int i = 0; i < 500; ++i) latencies.OnLatency(0, 10, 20);
  EXPECT_TRUE(latencies.HasSamples(0));
  EXPECT_NEAR(latencies.UnlikelyLatency(0, 30).count(), 60, 0.1);
}

TEST(TrafficRates, AveragesTheFirstSamplesEvenly) {
  TrafficRates rates;
  rates.OnReceived(300);
  rates.OnSuccess(100);
  rates.Sample(100, 4);
  EXPECT_DOUBLE_EQ(rates.received_work_rate(), 3);
  EXPECT_DOUBLE_EQ(rates.served_work_rate(), 1);
  EXPECT_DOUBLE_EQ(rates.answers_per_ms(), 0.01);
  EXPECT_DOUBLE_EQ(rates.mean_in_service(), 4);
  rates.Sample(100, 2);
  EXPECT_DOUBLE_EQ(rates.received_work_rate(), 1.5);
  EXPECT_DOUBLE_EQ(rates.mean_in_service(), 3);
}

}  // namespace
}  // namespace copperpoint
