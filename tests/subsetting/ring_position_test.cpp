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

// Proxies that have each backend in their subset, where a subset is the `width` backends from the offset on.
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
    // Subsets of one zone begin at equal steps; each zone of another size adds one at most.
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

TEST(RingPosition, ANewZoneMovesNobodyByMoreThanAStepAndAStrangerHasNoOffset) {
  std::vector<Peer> fleet = Fleet(20, 2);
  EXPECT_FALSE(RingOffsetAmong(fleet, "stranger").has_value());
  const double before = *RingOffsetAmong(fleet, "p0");
  fleet.push_back({"elsewhere", "c"});
  EXPECT_NEAR(*RingOffsetAmong(fleet, "p0"), before, 1.0 / 10);
}

// Five members of one zone, whose offsets are followed as the proxy follows its own.
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
  int Moves() {
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
  TrackedFleet f;
  f.Run(8000);
  const std::vector<double> all = f.Offsets();
  ASSERT_EQ(all.size(), 5u);
  for (std::size_t i = 0; i < 5; ++i) EXPECT_NEAR(all[i], 0.2 * static_cast<double>(i), 1e-9);
}

// Mutant: a departed proxy is not retained. A rolling restart must cost no connection.
TEST(RingPosition, ARestartMovesNobody) {
  TrackedFleet f;
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
    f.offsets.erase(name);
    f.Run(5000);
  }
  EXPECT_EQ(f.Offsets().size(), 5u);
  EXPECT_EQ(f.Moves(), before + 3);  // each restarted proxy takes its offset once
}

TEST(RingPosition, OthersCloseTheGapOfADepartedProxy) {
  TrackedFleet f;
  f.Run(8000);
  f.net.stopped["c"] = true;
  f.Run(6000);
  const int before = f.Moves();
  f.Run(40000);
  EXPECT_GT(f.Moves(), before);
  const std::vector<double> all = f.Offsets();
  ASSERT_EQ(all.size(), 4u);
  for (std::size_t i = 0; i < 4; ++i) EXPECT_NEAR(all[i], 0.25 * static_cast<double>(i), 1e-9);
}

// A proxy that is cut off stays where it was while the membership does not converge, and at most until
// max_unconverged_wait and departed_retention are over.
TEST(RingPosition, ACutMovesNobodyWithinTheRetention) {
  TrackedFleet f;
  f.Run(8000);
  const auto before = f.offsets;
  f.net.passes = [](const std::string& from, const std::string& to) { return (from < "c") == (to < "c"); };
  f.Run(7000);
  EXPECT_EQ(f.offsets, before);
  f.net.passes = nullptr;
  f.Run(60000);
  EXPECT_EQ(f.offsets, before);
}

}  // namespace
}  // namespace copperpoint::testing
