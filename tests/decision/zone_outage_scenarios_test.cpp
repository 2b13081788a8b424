// SPDX-License-Identifier: Apache-2.0
//
// A zone from which nothing answers any more.
#include <gtest/gtest.h>

#include <algorithm>
#include <utility>
#include <vector>

#include "support/balancer_fixture.h"

namespace copperpoint::testing {
namespace {

// Three zones of six servers each; an id says its zone: 100 and on, 200 and on, 300 and on.
class Zoned {
 public:
  explicit Zoned(Settings settings = Usual()) : rig(std::move(settings)) {
    std::vector<Endpoint> list;
    for (int zone = 1; zone <= 3; ++zone) {
      for (int i = 0; i < 6; ++i) list.push_back(Entry(static_cast<BackendId>(100 * zone + i), zone));
    }
    rig.List(list);
  }
  static int ZoneOf(BackendId server) { return static_cast<int>(server / 100); }
  RequestId Next() { return ++request_; }

  // One request that is answered at once, unless it goes to a zone that is cut off: then no connection comes
  // up there, and it goes on. The zones that it was sent to.
  std::vector<int> One(const std::vector<int>& cut) {
    std::vector<int> zones;
    const RequestId id = Next();
    auto server = rig.Ask(id, 0, 10, 3000);
    for (int attempt = 0; server; ++attempt) {
      zones.push_back(ZoneOf(*server));
      const bool lost = std::count(cut.begin(), cut.end(), zones.back()) > 0;
      if (lost) rig.now += 20;
      const BackendId to = *server;
      rig.End(id, attempt, to, lost ? AttemptOutcome::kConnectFailure : AttemptOutcome::kSuccess);
      server = rig.SentTo(id);
    }
    rig.Tick(10);
    return zones;
  }
  int Attempts(int n, const std::vector<int>& cut, int zone) {
    int to = 0;
    for (int i = 0; i < n; ++i) {
      const auto zones = One(cut);
      to += static_cast<int>(std::count(zones.begin(), zones.end(), zone));
    }
    return to;
  }

  Rig rig;

 private:
  RequestId request_ = 0;
};

TEST(Zones, ASilentOneGoesOutWholeAfterThreeAttemptsInARow) {
  Zoned fleet;
  EXPECT_GT(fleet.Attempts(60, {}, 3), 5);
  const int lost = fleet.Attempts(60, {3}, 3);
  EXPECT_GE(lost, 3);
  EXPECT_LE(lost, 7) << "server by server it would be six times two or more";
}

TEST(Zones, ItIsTriedAgainAndItsFirstAnswerBringsItBack) {
  Zoned fleet;
  fleet.Attempts(60, {}, 3);
  EXPECT_GE(fleet.Attempts(60, {3}, 3), 3);
  fleet.rig.Tick(2500);
  EXPECT_GT(fleet.Attempts(60, {}, 3), 5);
  fleet.rig.Tick(1);
  fleet.Attempts(60, {3}, 3);
  fleet.rig.Tick(2500);
  EXPECT_LE(fleet.Attempts(60, {3}, 3), 4) << "and out again, if it is still silent";
}

TEST(Zones, NoneGoesOutWhereNobodyAnswers) {
  Zoned fleet;
  fleet.Attempts(30, {}, 3);
  int told = 0;
  for (int i = 0; i < 10; ++i) {
    fleet.rig.Tick(1100);  // so that no line is left out for another
    const RequestId id = fleet.Next();
    auto server = fleet.rig.Ask(id, 0, 10, 3000);
    for (int attempt = 0; server; ++attempt) {
      const BackendId to = *server;
      fleet.rig.End(id, attempt, to, AttemptOutcome::kConnectFailure);
      for (const Action& action : fleet.rig.actions) {
        const auto* log = std::get_if<Log>(&action);
        told += log && log->text.find("zone") != std::string::npos;
      }
      server = fleet.rig.SentTo(id);
    }
  }
  EXPECT_EQ(told, 0) << "the fault is likely this proxy's own";
  for (int i = 0; i < 10; ++i) EXPECT_FALSE(fleet.One({}).empty());
}

TEST(Zones, TwoOfThreeCutOffLeaveTheThird) {
  Zoned fleet;
  fleet.Attempts(60, {}, 3);
  fleet.Attempts(30, {2, 3}, 2);
  int away = 0;
  for (int i = 0; i < 40; ++i) {
    for (const int zone : fleet.One({2, 3})) away += zone != 1;
  }
  EXPECT_LE(away, 2);
}

TEST(Zones, OneServerSaysNothingOfItsZone) {
  Zoned fleet;
  std::vector<Endpoint> list{Entry(100, 1), Entry(101, 1), Entry(300, 3)};
  fleet.rig.List(list);
  fleet.Attempts(20, {3}, 3);
  fleet.rig.List({Entry(301, 3)}, EndpointUpdateKind::kIncremental);
  EXPECT_GT(fleet.Attempts(20, {}, 3), 0) << "the new one is used";
}

// Time-outs of a cut were taken for a crowd: the proxies behind it refused all that came.
TEST(Zones, TimeOutsOfASilentZoneAreNoCrowd) {
  Settings settings = Usual();
  settings.proxy_count = 100;
  Zoned fleet(settings);
  fleet.Attempts(100, {}, 3);
  for (int i = 0; i < 12; ++i) {  // clients give up at five times the aim
    const RequestId id = fleet.Next();
    const auto server = fleet.rig.Ask(id, 2, 10, 1000);
    if (!server) continue;
    const bool silent = Zoned::ZoneOf(*server) != 1;
    fleet.rig.Tick(silent ? 1000 : 10);
    fleet.rig.End(id, 0, *server, silent ? AttemptOutcome::kTimeout : AttemptOutcome::kSuccess,
                  silent ? 1000 : 10);
  }
  int served = 0;
  for (int i = 0; i < 50; ++i) {
    const auto zones = fleet.One({});
    served += !zones.empty();
  }
  EXPECT_EQ(served, 50);
}

}  // namespace
}  // namespace copperpoint::testing
