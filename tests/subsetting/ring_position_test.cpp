// SPDX-License-Identifier: Apache-2.0
//
// The positions of proxies on the ring of backends. Guards against connections that are distributed unevenly,
// and against changes of position that close connections without need.
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

// Returns for each backend how many proxies have it in their subset, where a subset is the `width` backends
// from the offset of the proxy on.
std::vector<int> ProxiesByBackend(const std::vector<Peer>& peers, int backends, int width) {
  std::vector<int> proxies_of(static_cast<std::size_t>(backends));
  for (const Peer& peer : peers) {
    const auto start = static_cast<int>(*RingOffsetAmong(peers, peer.name) * backends);
    for (int k = 0; k < width; ++k) ++proxies_of[static_cast<std::size_t>((start + k) % backends)];
  }
  return proxies_of;
}

TEST(RingPosition, BackendsAreInEquallyManySubsets) {
  for (const auto& [proxies, zones, backends] : std::vector<std::tuple<int, int, int>>{
           {300, 1, 200}, {300, 6, 200}, {24, 3, 12}, {50, 1, 200}, {7, 2, 31}, {1, 1, 5}}) {
    const auto proxies_of = ProxiesByBackend(Fleet(proxies, zones), backends, std::min(8, backends));
    const auto [fewest, most] = std::minmax_element(proxies_of.begin(), proxies_of.end());
    // The subsets of one zone begin at equal distances. Each zone with another number of proxies adds at most
    // one to the difference.
    EXPECT_LE(*most - *fewest, proxies % zones == 0 ? 2 : 1 + zones)
        << proxies << " " << zones << " " << backends;
  }
}

TEST(RingPosition, AJoinMovesEachOtherProxyByLessThanAStep) {
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

TEST(RingPosition, ANewZoneMovesNoProxyByMoreThanAStepAndAnUnknownProxyHasNoOffset) {
  std::vector<Peer> fleet = Fleet(20, 2);
  EXPECT_FALSE(RingOffsetAmong(fleet, "unknown").has_value());
  const double before = *RingOffsetAmong(fleet, "p0");
  fleet.push_back({"elsewhere", "c"});
  EXPECT_NEAR(*RingOffsetAmong(fleet, "p0"), before, 1.0 / 10);
}

// Five members of one zone. Their offsets are updated as a proxy updates its own.
class TrackedFleet {
 public:
  TrackedFleet() {
    for (const char* name : {"a", "b", "c", "d", "e"}) net.Add(name);
    for (auto& [name, member] : net.nodes)
      member->SetState(net.now, membership::MemberState::kServing), net.Flush(name);
  }
  void Run(int ms) {
    for (int passed = 0; passed < ms; passed += 50) {
      net.Run(50);
      for (auto& [name, member] : net.nodes) {
        if (net.stopped[name]) continue;
        if (const auto offset = positions[name].Update(*member, net.now))
          offsets[name] = *offset, ++moves[name];
      }
    }
  }
  std::vector<double> Offsets() {
    std::vector<double> all;
    for (const auto& [name, offset] : offsets)
      if (!net.stopped[name]) all.push_back(offset);
    std::sort(all.begin(), all.end());
    return all;
  }
  int CountMoves() {
    int count = 0;
    for (const auto& [name, n] : moves) count += n;
    return count;
  }
  TestNetwork net;
  std::map<std::string, RingPosition> positions;
  std::map<std::string, double> offsets;
  std::map<std::string, int> moves;
};

TEST(RingPosition, ConvergedMembersAreEvenlySpaced) {
  TrackedFleet fleet;
  fleet.Run(8000);
  const std::vector<double> all = fleet.Offsets();
  ASSERT_EQ(all.size(), 5u);
  for (std::size_t i = 0; i < 5; ++i) EXPECT_NEAR(all[i], 0.2 * static_cast<double>(i), 1e-9);
}

// A rolling restart must close no connections. Fails if a departed proxy is not retained, which is a mutant
// of tests/mutants.
TEST(RingPosition, ARestartMovesNoOtherProxy) {
  TrackedFleet fleet;
  fleet.Run(8000);
  const int before = fleet.CountMoves();
  for (const std::string name : {"b", "c", "d"}) {
    fleet.net.nodes[name]->Leave(fleet.net.now);
    fleet.net.Flush(name);
    fleet.Run(3000);
    fleet.net.nodes.erase(name);
    fleet.net.Add(name);
    fleet.net.nodes[name]->SetState(fleet.net.now, membership::MemberState::kServing);
    fleet.net.Flush(name);
    fleet.positions[name] = RingPosition();
    fleet.offsets.erase(name);
    fleet.Run(5000);
  }
  EXPECT_EQ(fleet.Offsets().size(), 5u);
  EXPECT_EQ(fleet.CountMoves(), before + 3);  // each restarted proxy gets its offset once
}

TEST(RingPosition, OthersCloseTheGapOfADepartedProxy) {
  TrackedFleet fleet;
  fleet.Run(8000);
  fleet.net.stopped["c"] = true;
  fleet.Run(6000);
  const int before = fleet.CountMoves();
  fleet.Run(40000);
  EXPECT_GT(fleet.CountMoves(), before);
  const std::vector<double> all = fleet.Offsets();
  ASSERT_EQ(all.size(), 4u);
  for (std::size_t i = 0; i < 4; ++i) EXPECT_NEAR(all[i], 0.25 * static_cast<double>(i), 1e-9);
}

// During a network partition the offsets must not change while the membership does not converge, at most
// until max_unconverged_wait and departed_retention are over.
TEST(RingPosition, APartitionMovesNoProxyWithinTheRetention) {
  TrackedFleet fleet;
  fleet.Run(8000);
  const auto before = fleet.offsets;
  fleet.net.passes = [](const std::string& from, const std::string& to) {
    return (from < "c") == (to < "c");
  };
  fleet.Run(7000);
  EXPECT_EQ(fleet.offsets, before);
  fleet.net.passes = nullptr;
  fleet.Run(60000);
  EXPECT_EQ(fleet.offsets, before);
}

}  // namespace
}  // namespace copperpoint::testing
