// SPDX-License-Identifier: Apache-2.0
//
// Backends that an operator has disabled.
#include <gtest/gtest.h>

#include <fstream>
#include <set>
#include <string>

#include "proxy/control/disabled.h"
#include "support/log_lines.h"
#include "support/loopback.h"

namespace copperpoint::testing {
namespace {

using proxy::DisabledBackends;
using proxy::Member;
using proxy::MemberList;

MemberList ListOf(const std::string& id, EndpointState state = EndpointState::kReady, double up_since = 0) {
  Member member;
  member.id = id;
  member.state = state;
  member.up_since_unix_ms = up_since;
  MemberList list;
  list.members.push_back(member);
  return list;
}

TEST(Disabled, ABackendCountsAsDrainingWhateverDiscoverySaysUntilOneCallPutsItBack) {
  DisabledBackends disabled("", log::Global());
  MemberList changes;
  disabled.Pass(ListOf("s-1"), true);
  EXPECT_EQ(disabled.Disable("s-2", &changes), DisabledBackends::Verdict::kUnknown);
  EXPECT_EQ(disabled.Disable("s-1", &changes), DisabledBackends::Verdict::kDone);
  ASSERT_EQ(changes.members.size(), 1u);
  EXPECT_EQ(changes.members[0].state, EndpointState::kDraining);
  EXPECT_EQ(disabled.Disable("s-1", &changes), DisabledBackends::Verdict::kDone);
  EXPECT_TRUE(changes.members.empty());
  EXPECT_EQ(disabled.Pass(ListOf("s-1", EndpointState::kRemoved), false).members[0].state,
            EndpointState::kRemoved);
  EXPECT_EQ(disabled.Pass(ListOf("s-1", EndpointState::kReady, 5), false).members[0].state,
            EndpointState::kDraining);
  EXPECT_EQ(disabled.Pass(ListOf("s-1", EndpointState::kReady, 7), true).members[0].state,
            EndpointState::kDraining);
  EXPECT_EQ(disabled.Enable("s-1", &changes), DisabledBackends::Verdict::kDone);
  ASSERT_EQ(changes.members.size(), 1u);
  EXPECT_EQ(changes.members[0].state, EndpointState::kReady);
  EXPECT_EQ(changes.members[0].up_since_unix_ms, 7);
}

TEST(Disabled, TwoProcessesAgreeAndALaterOneStillKnows) {
  const Folder folder;
  const std::string file = folder.path + "/disabled.json";
  DisabledBackends one(file, log::Global()), two(file, log::Global());
  MemberList changes;
  for (auto* each : {&one, &two}) {
    MemberList both = ListOf("s-1");
    both.members.push_back(ListOf("s-2").members[0]);
    each->Pass(both, true);
  }
  EXPECT_EQ(one.Disable("s-1", &changes), DisabledBackends::Verdict::kDone);
  EXPECT_EQ(two.Disable("s-2", &changes), DisabledBackends::Verdict::kDone);
  EXPECT_EQ(two.ids(), (std::set<std::string>{"s-1", "s-2"}));
  EXPECT_EQ(one.Reread().members.size(), 1u);
  EXPECT_EQ(one.ids(), two.ids());
  EXPECT_EQ(one.Enable("s-2", &changes), DisabledBackends::Verdict::kDone);
  EXPECT_EQ(two.Reread().members[0].state, EndpointState::kReady);
  EXPECT_EQ(DisabledBackends(file, log::Global()).ids(), (std::set<std::string>{"s-1"}));
}

TEST(Disabled, AFileThatIsTornOrForeignIsIgnoredAndReplacedByTheNextCall) {
  const Folder folder;
  const std::string file = folder.path + "/disabled.json";
  for (const std::string text :
       {"", "{\"disabled\":[\"s-", "[]", "{\"disabled\":[1]}", "{\"disabled\":{}}", "7"}) {
    std::ofstream(file) << text;
    Lines notes;
    DisabledBackends disabled(file, notes.log);
    EXPECT_TRUE(disabled.ids().empty()) << text;
    EXPECT_EQ(notes.lines.size(), 1u) << text;
    MemberList changes;
    disabled.Pass(ListOf("s-1"), true);
    EXPECT_EQ(disabled.Disable("s-1", &changes), DisabledBackends::Verdict::kDone);
    EXPECT_EQ(DisabledBackends(file, log::Global()).ids(), (std::set<std::string>{"s-1"}));
  }
}

TEST(Disabled, WhatCannotBeStoredIsNotDone) {
  DisabledBackends disabled("/nowhere/at/all/disabled.json", log::Global());
  MemberList changes;
  disabled.Pass(ListOf("s-1"), true);
  EXPECT_EQ(disabled.Disable("s-1", &changes), DisabledBackends::Verdict::kNotKept);
  EXPECT_TRUE(disabled.ids().empty());
}

}  // namespace
}  // namespace copperpoint::testing
