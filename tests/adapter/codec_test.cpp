// SPDX-License-Identifier: Apache-2.0
//
// Checks the codec with frames written by hand. Guards against a field that is read or written at another
// place than the simulator's protocol has it.
#include "adapter/codec.h"

#include <gtest/gtest.h>

#include <sstream>
#include <string>

#include "support/hex.h"

namespace copperpoint::adapter {
namespace {

using copperpoint::testing::Hex;

Batch Read(const std::string& bytes) {
  std::istringstream in(bytes);
  auto batch = ReadBatch(in);
  EXPECT_TRUE(batch.has_value());
  return batch.value_or(Batch{});
}

// Reads a frame with one record at the time 0 ms.
Batch ReadOne(const std::string& record) {
  std::string header(8, '\0');
  const auto length = static_cast<std::uint32_t>(record.size() + 4);
  for (int i = 0; i < 4; ++i) header += static_cast<char>(length >> (8 * i));
  return Read(header + Hex("01000000") + record);
}

template <typename T>
T EventIn(const Batch& batch) {
  return std::get<T>(std::get<Event>(batch.records.at(0).message));
}

TEST(Codec, EmptyBatch) {
  const Batch batch = Read(Hex("00000000206ec040 04000000 00000000"));
  EXPECT_EQ(batch.now.time_since_epoch().count(), 8412.25);
  EXPECT_TRUE(batch.records.empty());
  ReplyWriter reply;
  EXPECT_EQ(reply.Take(), Hex("00000000"));
}

TEST(Codec, TwoInstancesInOneBatch) {
  const Batch batch =
      Read(Hex("00000000206ec040 55000000 03000000"
               "12 2a000000 03000000 c4913a5dc9090800 0000000020e6c040 0000 0100 640ad2557c3bf091"
               "0000 0000000000002840"
               "16 0c000000 03000000 4d00000000000000"
               "15 0c000000 05000000 192b6f0ef2ff0b00"));
  ASSERT_EQ(batch.records.size(), 3u);
  EXPECT_EQ(batch.records[0].instance, 3u);
  EXPECT_EQ(batch.records[2].instance, 5u);
  const auto request = EventIn<RequestReceived>(batch);
  EXPECT_EQ(request.request, 0x0809c95d3a91c4u);
  EXPECT_EQ(request.deadline.time_since_epoch().count(), 8652.25);
  EXPECT_EQ(request.key, 0x91f03b7c55d20a64u);
  EXPECT_TRUE(request.has_work_estimate);
  EXPECT_FALSE(request.client_retry);
  EXPECT_EQ(request.estimated_work_ms, 12);
  EXPECT_EQ(std::get<TimerFired>(std::get<Event>(batch.records[1].message)).token, 77u);
  EXPECT_EQ(std::get<ClientDisconnected>(std::get<Event>(batch.records[2].message)).request,
            0x0bfff20e6f2b19u);
}

TEST(Codec, CreateAndCrash) {
  const Batch created = ReadOne(Hex("10 17000000 03000000 0102000000000000 07000000") + "a=1\nb=2");
  const auto& create = std::get<CreateInstance>(created.records.at(0).message);
  EXPECT_EQ(create.seed, 0x0201u);
  EXPECT_EQ(create.config, "a=1\nb=2");
  const Batch crashed = ReadOne(Hex("19 04000000 03000000"));
  EXPECT_TRUE(std::holds_alternative<CrashInstance>(crashed.records.at(0).message));
}

TEST(Codec, EndpointUpdate) {
  const auto list =
      EventIn<EndpointUpdate>(ReadOne(Hex("11 3b000000 03000000 02 29000000 02000000"
                                          "074a1203 0000 0000 0000 01 0000803f 0000000000000000"
                                          "f211902c 0100 0000 0400 02 0000c03f 0000000000d4b740")));
  EXPECT_EQ(list.kind, EndpointUpdateKind::kCached);
  ASSERT_EQ(list.endpoints.size(), 2u);
  EXPECT_EQ(list.endpoints[0].backend, 0x03124a07u);
  EXPECT_EQ(list.endpoints[0].state, EndpointState::kReady);
  EXPECT_EQ(list.endpoints[1].zone, 1);
  EXPECT_EQ(list.endpoints[1].cell, 4);
  EXPECT_EQ(list.endpoints[1].state, EndpointState::kDraining);
  EXPECT_EQ(list.endpoints[1].weight, 1.5);
  EXPECT_EQ(list.endpoints[1].up_since.time_since_epoch().count(), 6100);
}

TEST(Codec, AttemptCompletedWithAndWithoutLoadReport) {
  const auto without_report = EventIn<AttemptCompleted>(
      ReadOne(Hex("14 1d000000 03000000 c4913a5dc9090800 01 074a1203 02 c800 0000000000803240 00")));
  EXPECT_EQ(without_report.request, 0x0809c95d3a91c4u);
  EXPECT_TRUE(without_report.request_completed);
  EXPECT_EQ(without_report.backend, 0x03124a07u);
  EXPECT_EQ(without_report.attempt, 2);
  EXPECT_EQ(without_report.outcome, AttemptOutcome::kSuccess);
  EXPECT_EQ(without_report.duration.count(), 18.5);
  const auto with_report = EventIn<AttemptCompleted>(ReadOne(Hex(
      "14 25000000 03000000 c4913a5dc9090800 00 074a1203 00 f701 0000000000803240 02 0000803f 0000003f")));
  EXPECT_FALSE(with_report.request_completed);
  EXPECT_EQ(with_report.outcome, AttemptOutcome::kBackendRejected);
}

TEST(Codec, DecodesEveryOutcome) {
  const std::pair<const char*, AttemptOutcome> outcomes[] = {
      {"c800", AttemptOutcome::kSuccess},         {"f401", AttemptOutcome::kServerError},
      {"f701", AttemptOutcome::kBackendRejected}, {"f801", AttemptOutcome::kTimeout},
      {"f601", AttemptOutcome::kConnectFailure},  {"5602", AttemptOutcome::kConnectionReset},
      {"f301", AttemptOutcome::kCancelled},       {"9a01", AttemptOutcome::kNotSent},
      {"0700", AttemptOutcome::kUnknown}};
  for (const auto& [status, outcome] : outcomes) {
    const auto completed =
        EventIn<AttemptCompleted>(ReadOne(Hex("14 1d000000 03000000 0100000000000000 00 02000000 00") +
                                          Hex(status) + Hex("0000000000000000 00")));
    EXPECT_EQ(completed.outcome, outcome) << status;
  }
}

TEST(Codec, ResponseStarted) {
  const auto started = EventIn<ResponseStarted>(
      ReadOne(Hex("13 19000000 03000000 c4913a5dc9090800 01 074a1203 0000000000802240")));
  EXPECT_EQ(started.request, 0x0809c95d3a91c4u);
  EXPECT_EQ(started.attempt, 1);
}

TEST(Codec, UnknownCodeIsSkippedByItsLength) {
  const Batch batch =
      Read(Hex("0000000000000000 14000000 02000000"
               "63 02000000 ffff"
               "19 04000000 03000000"));
  ASSERT_EQ(batch.records.size(), 2u);
  EXPECT_EQ(std::get<IgnoredEvent>(batch.records[0].message).code, 0x63);
  EXPECT_TRUE(std::holds_alternative<CrashInstance>(batch.records[1].message));
}

TEST(Codec, EncodesEveryAction) {
  const std::pair<Action, const char*> actions[] = {
      {StartAttempt{0x0809c95d3a91c4u, 0x03124a07u, Duration(80)},
       "1b 18000000 03000000 c4913a5dc9090800 0000000000005440 074a1203"},
      {SetTimer{TimePoint(Duration(8912.25)), 77}, "19 14000000 03000000 000000002068c140 4d00000000000000"},
      {Log{"two servers unknown"}, "16 19000000 03000000 1300 74776f207365727665727320756e6b6e6f776e"},
      {RejectRequest{0x0bfff20e6f2b19u, Duration(250)},
       "14 14000000 03000000 192b6f0ef2ff0b00 0000000000406f40"},
      {FailRequest{0x0bfff20e6f2b19u}, "10 0c000000 03000000 192b6f0ef2ff0b00"},
      {PollEndpoints{}, "12 05000000 03000000 01"},
      {CloseIdleConnections{0x2c9011f2u}, "13 08000000 03000000 f211902c"},
  };
  for (const auto& [action, bytes] : actions) {
    ReplyWriter reply;
    reply.Add(3, action);
    EXPECT_EQ(reply.Take().substr(4), Hex(bytes)) << bytes;
  }
  ReplyWriter reply;
  reply.AddInternalError(3, "index out of range");
  EXPECT_EQ(reply.Take(), Hex("1d000000 15 18000000 03000000 1200 696e646578206f7574206f662072616e6765"));
}

TEST(Codec, MalformedFramesAreErrors) {
  const char* frames[] = {
      "00000000206ec0",                                       // the input ends inside the header
      "0000000000000000 08000000 00000000 0000",              // the input ends inside the body
      "0000000000000000 00000000 00000000",                   // the length is less than the size of the count
      "0000000000000000 05000000 00000000 00",                // bytes follow the last record
      "0000000000000000 09000000 01000000 19 04000000",       // a record exceeds its frame
      "0000000000000000 0b000000 01000000 19 02000000 0300",  // a field exceeds its record
      "0000000000000000 16000000 01000000 11 0d000000 03000000 01 29000000 ff000000",  // list too long
      "0000000000000000 16000000 01000000 11 0d000000 03000000 09 29000000 00000000",  // unknown list kind
  };
  for (const char* frame : frames) {
    std::istringstream in(Hex(frame));
    EXPECT_THROW(ReadBatch(in), MalformedInput) << frame;
  }
  std::istringstream empty;
  EXPECT_FALSE(ReadBatch(empty).has_value());
}

}  // namespace
}  // namespace copperpoint::adapter
