// SPDX-License-Identifier: Apache-2.0
//
// Framing of the messages of a discovery watch, with any indentation and any split into segments.
#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "proxy/discovery/message_framer.h"
#include "support/loopback.h"

namespace copperpoint::testing {
namespace {

using proxy::MessageFramer;

std::string List(int revision, std::vector<nlohmann::json> members = {}, bool complete = true,
                 int indent = -1) {
  return ListJson(revision, complete, std::move(members)).dump(indent);
}

std::vector<std::string> FrameAll(const std::string& text, std::size_t piece, bool* malformed) {
  MessageFramer messages;
  std::vector<std::string> all;
  std::string message;
  for (std::size_t at = 0; at < text.size(); at += piece) {
    messages.Add(text.substr(at, piece));
    for (MessageFramer::Result next; (next = messages.Take(&message)) != MessageFramer::Result::kMore;) {
      if (next == MessageFramer::Result::kMessage) all.push_back(message);
      if (next == MessageFramer::Result::kEmptyLine) all.push_back("");
      if (next == MessageFramer::Result::kMalformed) {
        *malformed = true;
        return all;
      }
    }
  }
  return all;
}

TEST(MessageFramer, FramesMessagesOfAnyIndentationAndSplit) {
  const auto member = MemberJson("s-{1}\"]", Tcp::endpoint(kAnyPort.address(), 80));
  for (const int indent : {-1, 0, 1, 4}) {
    const std::string one = List(42, {member}, true, indent), two = List(43, {member, member}, false, indent);
    const std::string text = "\n" + one + "\n\r\n  " + two + " \r\n\n";
    for (std::size_t piece = 1; piece <= text.size(); ++piece) {
      bool malformed = false;
      const auto all = FrameAll(text, piece, &malformed);
      ASSERT_FALSE(malformed) << indent << " " << piece;
      ASSERT_EQ(all.size(), 5u);
      EXPECT_EQ(nlohmann::json::parse(all[1]), nlohmann::json::parse(one));
      EXPECT_EQ(nlohmann::json::parse(all[3]), nlohmann::json::parse(two));
    }
  }
}

TEST(MessageFramer, RejectsMalformedBytesAtOnce) {
  for (const char* text : {"[]\n", "x", "{}}\n", "{} {}\n", "{\"a\n", "{\"members\":[\n\n", "{\n}\n]"}) {
    bool malformed = false;
    FrameAll(text, 1, &malformed);
    EXPECT_TRUE(malformed) << text;
  }
}

TEST(MessageFramer, LastMessageMayLackOnlyItsLineEnd) {
  std::string message;
  MessageFramer whole;
  whole.Add("{\"a\":\"\\\"}\"}  ");
  EXPECT_EQ(whole.Take(&message), MessageFramer::Result::kMore);
  EXPECT_TRUE(whole.TakeLast(&message));
  EXPECT_EQ(nlohmann::json::parse(message)["a"], "\"}");
  for (const char* text : {"", "{\"a\":1", "{\"a", " "}) {
    MessageFramer half;
    half.Add(text);
    EXPECT_EQ(half.Take(&message), MessageFramer::Result::kMore);
    EXPECT_FALSE(half.TakeLast(&message)) << text;
  }
}

}  // namespace
}  // namespace copperpoint::testing
