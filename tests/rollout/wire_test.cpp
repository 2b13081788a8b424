// SPDX-License-Identifier: Apache-2.0
//
// Pins the bytes of messages and documents between members, which run different program versions during a
// rollout.
#include <gtest/gtest.h>

#include <string>

#include "rollout.pb.h"
#include "rollout/documents.h"

namespace copperpoint::rollout {
namespace {

std::string Hex(const std::string& bytes) {
  constexpr char kDigits[] = "0123456789abcdef";
  std::string hex;
  for (const char byte : bytes) {
    const auto value = static_cast<unsigned char>(byte);
    hex += kDigits[value >> 4];
    hex += kDigits[value & 15];
  }
  return hex;
}

TEST(RolloutWire, MessageWithRequestAndReportHasItsFixedBytes) {
  wire::AgentMessage message;
  message.mutable_request()->set_number(7);
  wire::MemberReport& report = *message.mutable_report();
  report.set_version("v2");
  report.set_ready(true);
  report.set_failure("f");
  report.set_crashes(3);
  report.set_incarnation(0x1122334455667788);
  wire::Stratum& stratum = *report.add_strata();
  stratum.set_request_class(2);
  stratum.set_tenant(9);
  stratum.set_requests(100);
  stratum.set_missed(5);
  stratum.set_rejected(4);
  stratum.set_failed(3);
  stratum.set_attempts(110);
  stratum.add_latency_buckets(1);
  stratum.add_latency_buckets(300);
  report.set_cpu_us(12345);
  report.set_memory_kb(678);
  report.set_supervised(true);
  message.set_rollout_id(0xabcdef);
  message.set_progress(0x123456789abcdef0);
  message.set_request_number(6);
  EXPECT_EQ(Hex(message.SerializeAsString()),
            "0a02080712310a02763210011a01662003298877665544332211321308021009186420052804300338"
            "6e420301ac0238b96040a605480119efcdab000000000021f0debc9a785634122806");
}

TEST(RolloutWire, RolloutDocumentHasItsFixedBytes) {
  wire::RolloutDocument document;
  document.set_plan("p");
  document.set_started_by("p1");
  wire::Member& member = *document.add_members();
  member.set_name("p2");
  member.set_zone("a");
  EXPECT_EQ(Hex(document.SerializeAsString()), "0a0170120270311a070a027032120161");
}

TEST(RolloutWire, HistoryHasItsFixedBytes) {
  wire::History history;
  wire::Step& step = *history.add_steps();
  step.set_event("begun");
  step.set_reason("w");
  step.set_recorded_by("p1");
  step.set_admitted_members(4);
  step.set_age_ms(1500);
  EXPECT_EQ(Hex(history.SerializeAsString()), "0a130a05626567756e1201771a027031200428dc0b");
}

TEST(RolloutWire, TopicsHaveTheirFixedNumbers) {
  EXPECT_EQ(kPlanTopic, 1u);
  EXPECT_EQ(kProgressTopic, 2u);
  EXPECT_EQ(kHistoryTopic, 3u);
  EXPECT_EQ(kMessageTopic, 4u);
  EXPECT_EQ(kFinalProgressTopic, 5u);
}

}  // namespace
}  // namespace copperpoint::rollout
