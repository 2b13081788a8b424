// SPDX-License-Identifier: Apache-2.0
#include "subsetting/ring_position.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <map>

#include "membership_testing.h"

namespace copperpoint::testing {
namespace {

using subsetting::Peer;
using subsetting::RingOffsetAmong;
using subsetting::RingPosition;

std::vector<Peer> Fleet(int proxies, int zones) {
  std::vector<Peer> peers;
  for (int p = 0; p < proxies; ++p)
    peers.push_back({std::string("p").append(std::to_string(p)), std::string(1, 'a' + p % zones)});
  return peers;
}

// Holders of each server where each proxy holds `width` from its turn on, as the module does.
std::vector<int> Holders(const std::vector<Peer>& peers, int servers, int width) {
  std::vector<int> held(static_cast<std::size_t>(servers));
  for (const Peer& peer : peers) {
    const auto start = static_cast<int>(*RingOffsetAmong(peers, peer.name) * servers);
    for (int k = 0; k < width; ++k) ++held[static_cast<std::size_t>((start + k) % servers)];
  }
  return held;
}

TEST(RingPosition, EachServerIsHeldByAsManyProxiesToOne) {
  for (const auto& [proxies, zones, servers] : std::vector<std::tuple<int, int, int>>{
           {300, 1, 200}, {300, 6, 200}, {24, 3, 12}, {50, 1, 200}, {7, 2, 31}, {1, 1, 5}}) {
    const auto held = Holders(Fleet(proxies, zones), servers, std::min(8, servers));
    const auto [least, most] = std::minmax_element(held.begin(), held.end());
    // Starts of one zone lie in step; those of zones of unequal size add one more each at the worst.
    EXPECT_LE(*most - *least, proxies % zones == 0 ? 2 : 1 + zones)
        << proxies << " " << zones << " " << servers;
  }
}

TEST(RingPosition, OneThatJoinsMovesEachOtherByLessThanAStep) {
  std::vector<Peer> fleet = Fleet(40, 1);
  for (int joins = 0; joins < 20; ++joins) {
    std::vector<Peer> more = fleet;
    more.push_back({std::string("new").append(std::to_string(joins)), "a"});
    for (const Peer& peer : fleet) {
      const double moved = std::abs(*RingOffsetAmong(more, peer.name) - *RingOffsetAmong(fleet, peer.name));
      EXPECT_LT(moved, 1.0 / static_cast<double>(fleet.size()) + 1e-9);
    }
    fleet = more;
  }
}

TEST(RingPosition, AnotherZoneMovesNobodyByMoreThanAStepAndAStrangerHasNone) {
  std::vector<Peer> fleet = Fleet(20, 2);
  EXPECT_FALSE(RingOffsetAmong(fleet, "stranger").has_value());
  const double before = *RingOffsetAmong(fleet, "p0");
  fleet.push_back({"elsewhere", "c"});
  EXPECT_NEAR(*RingOffsetAmong(fleet, "p0"), before, 1.0 / 10);
}

// Five members whose positions are followed as the proxy does, all in one zone.
class Followed {
 public:
  Followed() {
    for (const char* name : {"a", "b", "c", "d", "e"}) net.Add(name);
    for (auto& [name, v] : net.nodes)
      v->SetState(net.now, membership::MemberState::kServing), net.Flush(name);
  }
  void Run(int ms) {
    for (int passed = 0; passed < ms; passed += 50) {
      net.Run(50);
      for (auto& [name, v] : net.nodes) {
        if (net.stopped[name]) continue;
        if (const auto turn = positions[name].Update(*v, net.now)) turns[name] = *turn, ++moves[name];
      }
    }
  }
  std::vector<double> Turns() {
    std::vector<double> all;
    for (const auto& [name, turn] : turns)
      if (!net.stopped[name]) all.push_back(turn);
    std::sort(all.begin(), all.end());
    return all;
  }
  int Moves() {
    int all = 0;
    for (const auto& [name, n] : moves) all += n;
    return all;
  }
  TestNetwork net;
  std::map<std::string, RingPosition> positions;
  std::map<std::string, double> turns;
  std::map<std::string, int> moves;
};

TEST(RingPosition, MembersOfOneViewStandEvenly) {
  Followed f;
  f.Run(8000);
  const std::vector<double> all = f.Turns();
  ASSERT_EQ(all.size(), 5u);
  for (std::size_t i = 0; i < 5; ++i) EXPECT_NEAR(all[i], 0.2 * static_cast<double>(i), 1e-9);
}

// Mutant: a place that is given up at once. A rolling restart must cost no connection.
TEST(RingPosition, OneThatRestartsMovesNobody) {
  Followed f;
  f.Run(8000);
  const int before = f.Moves();
  for (const std::string name : {"b", "c", "d"}) {
    f.net.nodes[name]->Leave(f.net.now);
    f.net.Flush(name);
    f.Run(3000);
    f.net.nodes.erase(name);
    f.net.Add(name);
    f.net.nodes[name]->SetState(f.net.now, membership::MemberState::kServing);
    f.net.Flush(name);
    f.positions[name] = RingPosition();
    f.turns.erase(name);
    f.Run(5000);
  }
  EXPECT_EQ(f.Turns().size(), 5u);
  EXPECT_EQ(f.Moves(), before + 3);  // of the restarted, to where they stood
}

TEST(RingPosition, TheOthersCloseTheGapOfOneThatStaysAway) {
  Followed f;
  f.Run(8000);
  f.net.stopped["c"] = true;
  f.Run(6000);
  const int before = f.Moves();
  f.Run(40000);
  EXPECT_GT(f.Moves(), before);
  const std::vector<double> all = f.Turns();
  ASSERT_EQ(all.size(), 4u);
  for (std::size_t i = 0; i < 4; ++i) EXPECT_NEAR(all[i], 0.25 * static_cast<double>(i), 1e-9);
}

// Whoever hears of nobody any more knows nothing: it stays where it was while in doubt, and at most until
// `patience` and `keep` are over.
TEST(RingPosition, ACutMovesNobodyForAsLongAsPlacesAreKept) {
  Followed f;
  f.Run(8000);
  const auto before = f.turns;
  f.net.passes = [](const std::string& from, const std::string& to) { return (from < "c") == (to < "c"); };
  f.Run(7000);
  EXPECT_EQ(f.turns, before);
  f.net.passes = nullptr;
  f.Run(60000);
  EXPECT_EQ(f.turns, before);
}

}  // namespace
}  // namespace copperpoint::testing
