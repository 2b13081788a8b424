// SPDX-License-Identifier: Apache-2.0
//
// A zone whose backends do not respond. Guards against requests that are sent there again and again, and
// against a zone that is avoided without need.
#include <gtest/gtest.h>

#include <algorithm>
#include <utility>
#include <vector>

#include "support/balancer_fixture.h"

namespace copperpoint::testing {
namespace {

// Three zones of six backends each. The ids of the backends of zone N are 100 * N to 100 * N + 5.
class ThreeZones {
 public:
  explicit ThreeZones(Settings settings = DefaultSettings()) : harness(std::move(settings)) {
    std::vector<Endpoint> list;
    for (int zone = 1; zone <= 3; ++zone) {
      for (int i = 0; i < 6; ++i) list.push_back(MakeEndpoint(static_cast<BackendId>(100 * zone + i), zone));
    }
    harness.UpdateEndpoints(list);
  }
  static int ZoneOf(BackendId backend) { return static_cast<int>(backend / 100); }
  RequestId NextRequest() { return ++request_; }

  // Submits a request that succeeds at once, unless it goes to an unreachable zone: then its connection fails
  // and it is retried. Returns the zones that it was sent to.
  std::vector<int> RunRequest(const std::vector<int>& unreachable) {
    std::vector<int> zones;
    const RequestId id = NextRequest();
    auto backend = harness.SubmitRequest(id, 0, 10, 3000);
    for (int attempt = 0; backend; ++attempt) {
      zones.push_back(ZoneOf(*backend));
      const bool lost = std::count(unreachable.begin(), unreachable.end(), zones.back()) > 0;
      if (lost) harness.now += 20;
      const BackendId to = *backend;
      harness.CompleteAttempt(id, attempt, to,
                              lost ? AttemptOutcome::kConnectFailure : AttemptOutcome::kSuccess);
      backend = harness.AttemptBackend(id);
    }
    harness.AdvanceTime(10);
    return zones;
  }
  int CountAttempts(int n, const std::vector<int>& unreachable, int zone) {
    int to = 0;
    for (int i = 0; i < n; ++i) {
      const auto zones = RunRequest(unreachable);
      to += static_cast<int>(std::count(zones.begin(), zones.end(), zone));
    }
    return to;
  }

  BalancerHarness harness;

 private:
  RequestId request_ = 0;
};

TEST(ZoneOutage, SilentZoneIsAvoidedAfterThreeFailuresInARow) {
  ThreeZones fleet;
  EXPECT_GT(fleet.CountAttempts(60, {}, 3), 5);
  const int lost = fleet.CountAttempts(60, {3}, 3);
  EXPECT_GE(lost, 3);
  EXPECT_LE(lost, 7) << "detection per backend would cost at least two attempts at each of six backends";
}

TEST(ZoneOutage, FirstResponseAfterBackoffRestoresZone) {
  ThreeZones fleet;
  fleet.CountAttempts(60, {}, 3);
  EXPECT_GE(fleet.CountAttempts(60, {3}, 3), 3);
  fleet.harness.AdvanceTime(2500);
  EXPECT_GT(fleet.CountAttempts(60, {}, 3), 5);
  fleet.harness.AdvanceTime(1);
  fleet.CountAttempts(60, {3}, 3);
  fleet.harness.AdvanceTime(2500);
  EXPECT_LE(fleet.CountAttempts(60, {3}, 3), 4) << "a zone that is still silent is avoided again";
}

TEST(ZoneOutage, NoZoneIsAvoidedWhenNoneResponds) {
  ThreeZones fleet;
  fleet.CountAttempts(30, {}, 3);
  int logged = 0;
  for (int i = 0; i < 10; ++i) {
    fleet.harness.AdvanceTime(1100);  // so that no log line is suppressed
    const RequestId id = fleet.NextRequest();
    auto backend = fleet.harness.SubmitRequest(id, 0, 10, 3000);
    for (int attempt = 0; backend; ++attempt) {
      const BackendId to = *backend;
      fleet.harness.CompleteAttempt(id, attempt, to, AttemptOutcome::kConnectFailure);
      for (const Action& action : fleet.harness.actions) {
        const auto* log = std::get_if<Log>(&action);
        logged += log && log->text.find("zone") != std::string::npos;
      }
      backend = fleet.harness.AttemptBackend(id);
    }
  }
  EXPECT_EQ(logged, 0) << "if no zone responds, the cause is likely the proxy's own connection";
  for (int i = 0; i < 10; ++i) EXPECT_FALSE(fleet.RunRequest({}).empty());
}

TEST(ZoneOutage, TwoSilentZonesLeaveTheThirdInUse) {
  ThreeZones fleet;
  fleet.CountAttempts(60, {}, 3);
  fleet.CountAttempts(30, {2, 3}, 2);
  int to_silent_zones = 0;
  for (int i = 0; i < 40; ++i) {
    for (const int zone : fleet.RunRequest({2, 3})) to_silent_zones += zone != 1;
  }
  EXPECT_LE(to_silent_zones, 2);
}

TEST(ZoneOutage, OneSilentBackendDoesNotExcludeItsZone) {
  ThreeZones fleet;
  std::vector<Endpoint> list{MakeEndpoint(100, 1), MakeEndpoint(101, 1), MakeEndpoint(300, 3)};
  fleet.harness.UpdateEndpoints(list);
  fleet.CountAttempts(20, {3}, 3);
  fleet.harness.UpdateEndpoints({MakeEndpoint(301, 3)}, EndpointUpdateKind::kIncremental);
  EXPECT_GT(fleet.CountAttempts(20, {}, 3), 0) << "the new backend of the zone is used";
}

// Timeouts of an unreachable zone say nothing about the load of the other zones, and must not lead to
// rejections.
TEST(ZoneOutage, TimeoutsOfSilentZoneAreNoOverload) {
  Settings settings = DefaultSettings();
  settings.proxy_count = 100;
  ThreeZones fleet(settings);
  fleet.CountAttempts(100, {}, 3);
  for (int i = 0; i < 12; ++i) {  // clients give up at five times the objective
    const RequestId id = fleet.NextRequest();
    const auto backend = fleet.harness.SubmitRequest(id, 2, 10, 1000);
    if (!backend) continue;
    const bool silent = ThreeZones::ZoneOf(*backend) != 1;
    fleet.harness.AdvanceTime(silent ? 1000 : 10);
    fleet.harness.CompleteAttempt(
        id, 0, *backend, silent ? AttemptOutcome::kTimeout : AttemptOutcome::kSuccess, silent ? 1000 : 10);
  }
  int served = 0;
  for (int i = 0; i < 50; ++i) {
    const auto zones = fleet.RunRequest({});
    served += !zones.empty();
  }
  EXPECT_EQ(served, 50);
}

}  // namespace
}  // namespace copperpoint::testing
