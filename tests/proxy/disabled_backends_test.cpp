// SPDX-License-Identifier: Apache-2.0
//
// The set of backends that an operator has disabled, and its file.
#include "proxy/control/disabled_backends.h"

#include <gtest/gtest.h>

#include <fstream>
#include <set>
#include <string>

#include "support/log_lines.h"
#include "support/loopback.h"

namespace copperpoint::testing {
namespace {

using proxy::DisabledBackends;
using proxy::DiscoveredEndpoint;
using proxy::EndpointList;

EndpointList ListOf(const std::string& id, EndpointState state = EndpointState::kReady, double up_since = 0) {
  DiscoveredEndpoint member;
  member.id = id;
  member.state = state;
  member.up_since_unix_ms = up_since;
  EndpointList list;
  list.endpoints.push_back(member);
  return list;
}

TEST(DisabledBackends, CountAsDrainingUntilEnabled) {
  DisabledBackends disabled("", log::Global());
  EndpointList changes;
  disabled.Apply(ListOf("s-1"), true);
  EXPECT_EQ(disabled.Disable("s-2", &changes), DisabledBackends::ChangeResult::kUnknownBackend);
  EXPECT_EQ(disabled.Disable("s-1", &changes), DisabledBackends::ChangeResult::kDone);
  ASSERT_EQ(changes.endpoints.size(), 1u);
  EXPECT_EQ(changes.endpoints[0].state, EndpointState::kDraining);
  EXPECT_EQ(disabled.Disable("s-1", &changes), DisabledBackends::ChangeResult::kDone);
  EXPECT_TRUE(changes.endpoints.empty());
  EXPECT_EQ(disabled.Apply(ListOf("s-1", EndpointState::kRemoved), false).endpoints[0].state,
            EndpointState::kRemoved);
  EXPECT_EQ(disabled.Apply(ListOf("s-1", EndpointState::kReady, 5), false).endpoints[0].state,
            EndpointState::kDraining);
  EXPECT_EQ(disabled.Apply(ListOf("s-1", EndpointState::kReady, 7), true).endpoints[0].state,
            EndpointState::kDraining);
  EXPECT_EQ(disabled.Enable("s-1", &changes), DisabledBackends::ChangeResult::kDone);
  ASSERT_EQ(changes.endpoints.size(), 1u);
  EXPECT_EQ(changes.endpoints[0].state, EndpointState::kReady);
  EXPECT_EQ(changes.endpoints[0].up_since_unix_ms, 7);
}

TEST(DisabledBackends, AreSharedWithOtherInstancesAndLaterOnes) {
  const TemporaryFolder folder;
  const std::string file = folder.path + "/disabled.json";
  DisabledBackends one(file, log::Global()), two(file, log::Global());
  EndpointList changes;
  for (auto* instance : {&one, &two}) {
    EndpointList both = ListOf("s-1");
    both.endpoints.push_back(ListOf("s-2").endpoints[0]);
    instance->Apply(both, true);
  }
  EXPECT_EQ(one.Disable("s-1", &changes), DisabledBackends::ChangeResult::kDone);
  EXPECT_EQ(two.Disable("s-2", &changes), DisabledBackends::ChangeResult::kDone);
  EXPECT_EQ(two.ids(), (std::set<std::string>{"s-1", "s-2"}));
  EXPECT_EQ(one.ReloadIfChanged().endpoints.size(), 1u);
  EXPECT_EQ(one.ids(), two.ids());
  EXPECT_EQ(one.Enable("s-2", &changes), DisabledBackends::ChangeResult::kDone);
  EXPECT_EQ(two.ReloadIfChanged().endpoints[0].state, EndpointState::kReady);
  EXPECT_EQ(DisabledBackends(file, log::Global()).ids(), (std::set<std::string>{"s-1"}));
}

TEST(DisabledBackends, CorruptFileIsIgnoredAndReplaced) {
  const TemporaryFolder folder;
  const std::string file = folder.path + "/disabled.json";
  for (const std::string text :
       {"", "{\"disabled\":[\"s-", "[]", "{\"disabled\":[1]}", "{\"disabled\":{}}", "7"}) {
    std::ofstream(file) << text;
    LogCapture notes;
    DisabledBackends disabled(file, notes.log);
    EXPECT_TRUE(disabled.ids().empty()) << text;
    EXPECT_EQ(notes.lines.size(), 1u) << text;
    EndpointList changes;
    disabled.Apply(ListOf("s-1"), true);
    EXPECT_EQ(disabled.Disable("s-1", &changes), DisabledBackends::ChangeResult::kDone);
    EXPECT_EQ(DisabledBackends(file, log::Global()).ids(), (std::set<std::string>{"s-1"}));
  }
}

TEST(DisabledBackends, ChangeThatCannotBeStoredIsNotMade) {
  DisabledBackends disabled("/nowhere/at/all/disabled.json", log::Global());
  EndpointList changes;
  disabled.Apply(ListOf("s-1"), true);
  EXPECT_EQ(disabled.Disable("s-1", &changes), DisabledBackends::ChangeResult::kNotStored);
  EXPECT_TRUE(disabled.ids().empty());
}

}  // namespace
}  // namespace copperpoint::testing
