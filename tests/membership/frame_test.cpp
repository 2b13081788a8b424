// SPDX-License-Identifier: Apache-2.0
//
// Tests of the frame: what is rejected, and how programs of two versions read each other's frames.
#include "peers/frame.h"

#include <gtest/gtest.h>

#include <fstream>
#include <random>

#include "membership_testing.h"
#include "support/run_program.h"

namespace copperpoint::testing {
namespace {

using peers::FrameCodec;
using peers::FrameError;

wire::Message Sample() {
  wire::Message message;
  message.set_kind(wire::KIND_PING);
  message.set_from("p1");
  message.set_incarnation(77);
  message.set_sequence(3);
  return message;
}

// Guards against frames of another cluster or with another key, and checks that each has its own error.
TEST(Frame, OnlyTheSameClusterAndKeyAreAccepted) {
  const FrameCodec ours("c", kKey);
  wire::Message read;
  EXPECT_EQ(ours.Decode(ours.Encode(Sample()), &read), FrameError::kNone);
  EXPECT_EQ(read.from(), "p1");
  EXPECT_EQ(ours.Decode(FrameCodec("other", kKey).Encode(Sample()), &read), FrameError::kOtherCluster);
  EXPECT_EQ(ours.Decode(FrameCodec("c", "another key of its own").Encode(Sample()), &read),
            FrameError::kForged);
  EXPECT_EQ(ours.Decode("hello", &read), FrameError::kMalformed);
  EXPECT_EQ(ours.Decode("", &read), FrameError::kMalformed);
  EXPECT_THROW(FrameCodec("c", "short"), std::invalid_argument);
}

// Guards against a digest that is not checked or does not cover the whole frame: any flipped bit and any
// truncation must be detected.
TEST(Frame, EveryFlippedBitIsRejected) {
  const FrameCodec ours("c", kKey);
  const std::string good = ours.Encode(Sample());
  for (std::size_t bit = 0; bit < good.size() * 8; ++bit) {
    std::string bad = good;
    bad[bit / 8] = static_cast<char>(bad[bit / 8] ^ (1 << bit % 8));
    wire::Message read;
    EXPECT_NE(ours.Decode(bad, &read), FrameError::kNone) << bit;
  }
  for (std::size_t size = 0; size < good.size(); ++size) {
    wire::Message read;
    EXPECT_NE(ours.Decode(good.substr(0, size), &read), FrameError::kNone) << size;
  }
}

// Guards against a newer program's frame that is counted as forged, or rejected although it may be read.
TEST(Frame, ATooNewFormatIsDistinguishedFromAForgery) {
  const FrameCodec ours("c", kKey);
  wire::Message read;
  EXPECT_EQ(ours.Decode(ours.Encode(Sample().SerializeAsString(), 9, 2), &read), FrameError::kTooNew);
  // A newer format that an older reader may read.
  EXPECT_EQ(ours.Decode(ours.Encode(Sample().SerializeAsString(), 9, 1), &read), FrameError::kNone);
}

// Guards against one reply to each unreadable frame, by which a sender could make a member send many
// datagrams.
TEST(Frame, UnreadableFramesAreAnsweredOnceASecond) {
  TestNetwork net;
  Membership& a = net.Add("a", {});
  const std::string too_new = FrameCodec("c", kKey).Encode(Sample().SerializeAsString(), 9, 2);
  for (int i = 0; i < 100; ++i) a.OnDatagram(net.now, "stranger", too_new);
  const membership::Output output = a.Take();
  EXPECT_EQ(output.datagrams.size(), 1u);
  EXPECT_EQ(a.counters().rejected[static_cast<std::size_t>(FrameError::kTooNew)], 100u);
  ASSERT_EQ(output.events.size(), 1u);
  EXPECT_EQ(output.events[0].kind, Event::Kind::kTooNew);
}

// Guards against the loss of a record's new fields on their way through members of an older version: a field
// that this version does not know is forwarded with the record.
TEST(Frame, UnknownFieldsAreForwarded) {
  TestNetwork net;
  for (const char* name : {"a", "b", "c"}) net.Add(name);
  net.Run(1000);
  wire::Claim claim;
  auto* record = claim.mutable_record();
  record->set_name("newer");
  record->set_address("nowhere");
  record->set_incarnation(5);
  record->set_refutation_number(1);
  // Field 99, which only a later version has, with three bytes of text.
  std::string bytes = record->SerializeAsString() +
                      "\x9a\x06\x03"
                      "abc";
  ASSERT_TRUE(record->ParseFromString(bytes));
  wire::Message message = MessageFrom(*net.nodes["b"], wire::KIND_GOSSIP,
                                      net.nodes["a"]->self().incarnation(), net.sequences["b"] + 1);
  *message.add_claims() = claim;
  net.Deliver("a", message);
  net.Run(500);
  const auto& members = net.nodes["c"]->members();
  ASSERT_GE(members.Find("newer"), 0);
  EXPECT_NE(members[members.Find("newer")].record->SerializeAsString().find("abc"), std::string::npos);
}

// Guards against a change of the format that makes datagrams of version 1 unreadable. Each line of the file
// is one datagram, in hexadecimal; the lines never change.
TEST(Frame, RecordedDatagramsOfVersionOneAreRead) {
  std::ifstream file(std::string(SOURCE_DIR) + "/tests/membership/datagrams_v1.txt");
  ASSERT_TRUE(file.is_open());
  const FrameCodec codec("recorded", "the key of the recording");
  int read = 0;
  for (std::string line; std::getline(file, line);) {
    if (line.empty() || line.front() == '#') continue;
    std::string bytes;
    for (std::size_t i = 0; i + 1 < line.size(); i += 2)
      bytes += static_cast<char>(std::stoi(line.substr(i, 2), nullptr, 16));
    wire::Message message;
    ASSERT_EQ(codec.Decode(bytes, &message), FrameError::kNone) << line;
    EXPECT_EQ(message.from(), "p1");
    EXPECT_EQ(codec.Encode(message), bytes);
    ++read;
  }
  EXPECT_GE(read, 4);
}

// Guards against random bytes, with a valid digest or without one, that change a member's table or stop it.
TEST(Frame, RandomBytesDoNotChangeTheTable) {
  TestNetwork net;
  for (const char* name : {"a", "b", "c"}) net.Add(name);
  net.Run(1000);
  const auto hash = net.nodes["a"]->members().hash();
  std::mt19937_64 random(7);
  const FrameCodec codec("c", kKey);
  const std::string good = codec.Encode(Sample());
  for (int i = 0; i < 20000; ++i) {
    std::string noise(random() % 200, '\0');
    for (char& c : noise) c = static_cast<char>(random());
    if (i % 3 == 0) noise = good.substr(0, random() % good.size()) + noise;
    if (i % 3 == 1) noise = codec.Encode(std::string_view(noise));  // a valid digest of random bytes
    net.nodes["a"]->OnDatagram(net.now, "x", noise);
    if (i % 5 == 0) net.nodes["a"]->OnExchange(net.now, noise);
    net.nodes["a"]->Take();
  }
  EXPECT_EQ(net.nodes["a"]->members().hash(), hash);
  EXPECT_FALSE(net.nodes["a"]->stopped());
}

}  // namespace
}  // namespace copperpoint::testing
