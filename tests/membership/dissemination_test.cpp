// SPDX-License-Identifier: Apache-2.0
//
// Tests of the dissemination of what members publish, and of the limits on it.
#include <gtest/gtest.h>

#include "membership_testing.h"

namespace copperpoint::testing {
namespace {

// Guards against tombstones that keep the metadata of dead members.
TEST(Dissemination, MetadataOfADeadMemberIsDropped) {
  TestNetwork net;
  for (const char* name : {"a", "b", "c"}) net.Add(name);
  net.Run(1000);
  ASSERT_TRUE(net.nodes["c"]->Publish(net.now, "load", "7"));
  net.Flush("c");
  net.Run(1000);
  const auto& members = net.nodes["a"]->members();
  EXPECT_EQ(members[members.Find("c")].record->metadata().at("load"), "7");
  net.stopped["c"] = true;
  net.Run(4000);
  EXPECT_TRUE(members[members.Find("c")].record->metadata().empty());
}

// Guards against metadata or names that are too large for a datagram, which could never be sent.
TEST(Dissemination, MetadataIsBounded) {
  TestNetwork net;
  Membership& a = net.Add("a", {});
  EXPECT_FALSE(a.Publish(net.now, "k", std::string(net.options.max_metadata_value_bytes + 1, 'x')));
  std::size_t published = 0;
  while (a.Publish(net.now, std::string(1, static_cast<char>('a' + published)), "v")) ++published;
  EXPECT_EQ(published, net.options.max_metadata_entries);
  membership::Record large;
  large.set_name(std::string(net.options.max_name_bytes + 1, 'n'));
  EXPECT_THROW(Membership(net.options, peers::FrameCodec("c", kKey), large, 1, net.now),
               std::invalid_argument);
}

// Guards against claims that are sent without a bound when many members change at once, and against a bound
// that also delays probes.
TEST(Dissemination, ManyEventsSpreadAtABoundedRate) {
  membership::Options options;
  options.max_gossip_bytes_per_s = 2 * 1024;
  TestNetwork net(options);
  constexpr int kMembers = 60;
  for (int i = 0; i < kMembers; ++i) net.Add(std::string("m").append(std::to_string(i)), {"m0"});
  for (int second = 0; second < 8; ++second) {
    std::map<std::string, std::uint64_t> before;
    for (auto& [name, member] : net.nodes) before[name] = member->counters().sent_bytes;
    for (auto& [name, member] : net.nodes) member->Publish(net.now, "k", std::to_string(second));
    net.Run(1000);
    for (auto& [name, member] : net.nodes) {
      const std::uint64_t sent = member->counters().sent_bytes - before[name];
      // In addition to the claims there are probes, acks and gossip without claims, of at most 100 bytes
      // each.
      EXPECT_LT(sent, 2 * options.max_gossip_bytes_per_s + 100 * 150) << name;
      EXPECT_GT(sent, 5u * 60u) << name;
    }
  }
  net.Run(8000);
  EXPECT_TRUE(net.Converged());
}

}  // namespace
}  // namespace copperpoint::testing
