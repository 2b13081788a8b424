// SPDX-License-Identifier: Apache-2.0
//
// Pins the environment and the lines between a supervisor and its processes, which may be of another program
// version.
#include "supervisor/child_protocol.h"

#include <gtest/gtest.h>

#include <map>
#include <string>

namespace copperpoint::supervisor {
namespace {

TEST(ChildProtocol, EnvironmentHasItsFixedNamesAndValues) {
  EXPECT_EQ(
      EncodeEnvironment(
          {5, "v2", 0x7abc602812c, 3, "v1", "its process exited before it was ready", "127.0.0.1:9902"}),
      (std::map<std::string, std::string>{{"COPPERPOINT_KEEPER", "5"},
                                          {"COPPERPOINT_VERSION", "v2"},
                                          {"COPPERPOINT_MARK", "7abc602812c"},
                                          {"COPPERPOINT_ENDS", "3"},
                                          {"COPPERPOINT_FAILED", "v1"},
                                          {"COPPERPOINT_FAILURE", "its process exited before it was ready"},
                                          {"ROUTER_OPERATOR", "127.0.0.1:9902"}}));
}

TEST(ChildProtocol, WithoutAnAdminAddressTheProcessUsesItsOwn) {
  EXPECT_FALSE(EncodeEnvironment({5, "v2", 0, 0, "", "", ""}).contains("ROUTER_OPERATOR"));
}

TEST(ChildProtocol, FailureNoticeHasItsFixedBytes) {
  EXPECT_EQ(EncodeFailureNotice("v2", "its process exited before it was ready"),
            "failed v2 its process exited before it was ready");
}

TEST(ChildProtocol, LinesOfAProcessAreDecoded) {
  EXPECT_EQ(DecodeChildMessage("ready")->kind, ChildMessage::Kind::kReady);
  EXPECT_EQ(DecodeChildMessage("heard")->kind, ChildMessage::Kind::kMembershipContact);
  const auto request = DecodeChildMessage("run v 2");
  ASSERT_TRUE(request);
  EXPECT_EQ(request->kind, ChildMessage::Kind::kVersionRequested);
  EXPECT_EQ(request->version, "v 2");
  const auto progress = DecodeChildMessage("mark 000007abc602812c");
  ASSERT_TRUE(progress);
  EXPECT_EQ(progress->kind, ChildMessage::Kind::kProgress);
  EXPECT_EQ(progress->progress, 0x7abc602812cu);
}

TEST(ChildProtocol, LinesOfALaterProgramAreIgnored) {
  for (const char* line : {"", "later", "ready2", " ready"}) EXPECT_FALSE(DecodeChildMessage(line)) << line;
}

}  // namespace
}  // namespace copperpoint::supervisor
