// SPDX-License-Identifier: Apache-2.0
//
// Fixes the bytes of the messages between two processes of one proxy, since an old version of the program
// hands over to a new one.
#include "proxy/handover/handover_messages.h"

#include <gtest/gtest.h>

#include <boost/asio/ip/tcp.hpp>
#include <string>

#include "proxy/discovery/endpoints.h"
#include "proxy/handover/discovery_reload_message.h"

namespace copperpoint::testing {
namespace {

using proxy::DecodeDescriptorReport;
using proxy::DecodedHandoverState;
using proxy::DecodeHandoverState;
using proxy::HandoverState;

bool KnowsAll(const std::string&) { return true; }

TEST(HandoverMessages, EncodesListenerRequestAsTakeAndAddress) {
  const auto at = [](const char* address) {
    return boost::asio::ip::tcp::endpoint(boost::asio::ip::make_address(address), 8080);
  };
  EXPECT_EQ(proxy::EncodeListenerRequest(at("127.0.0.1")), "take 127.0.0.1:8080");
  EXPECT_EQ(proxy::EncodeListenerRequest(at("::1")), "take [::1]:8080");
}

TEST(HandoverMessages, EncodesStateInItsFixedForm) {
  HandoverState state;
  state.descriptors = 31;
  state.backends.push_back({"s-1", 2, Duration(1500.5), 12.25});
  state.backends.push_back({"s-2", 0, Duration(0), 0});
  EXPECT_EQ(proxy::EncodeHandoverState(state),
            R"({"descriptors":31,"learnt":[)"
            R"({"cold_work":12.25,"ejected_ms":1500.5,"id":"s-1","multiplier":2},)"
            R"({"cold_work":0.0,"ejected_ms":0.0,"id":"s-2","multiplier":0}]})");
}

TEST(HandoverMessages, EncodesStateWithoutBackendsAsAnEmptyList) {
  EXPECT_EQ(proxy::EncodeHandoverState(HandoverState{7, {}}), R"({"descriptors":7,"learnt":[]})");
}

TEST(HandoverMessages, EncodesDescriptorReportInItsFixedForm) {
  EXPECT_EQ(proxy::EncodeDescriptorReport({42}), R"({"descriptors":42})");
}

TEST(HandoverMessages, DecodesAnEncodedState) {
  const DecodedHandoverState state = DecodeHandoverState(
      R"({"descriptors":31,"learnt":[{"cold_work":12.25,"ejected_ms":1500.5,"id":"s-1","multiplier":2}]})",
      KnowsAll);
  EXPECT_EQ(state.descriptors, 31);
  EXPECT_EQ(state.error, "");
  ASSERT_EQ(state.backends.size(), 1u);
  EXPECT_EQ(state.backends[0].id, "s-1");
  EXPECT_EQ(state.backends[0].ejection_multiplier, 2);
  EXPECT_EQ(state.backends[0].ejection_remaining, Duration(1500.5));
  EXPECT_EQ(state.backends[0].slow_start_work, 12.25);
}

TEST(HandoverMessages, SkipsEntriesOfUnknownBackendsUndecoded) {
  const DecodedHandoverState state =
      DecodeHandoverState(R"({"descriptors":1,"learnt":[{"id":"s-9"},)"
                          R"({"cold_work":0,"ejected_ms":0,"id":"s-1","multiplier":0}]})",
                          [](const std::string& id) { return id == "s-1"; });
  EXPECT_EQ(state.error, "");
  ASSERT_EQ(state.backends.size(), 1u);
  EXPECT_EQ(state.backends[0].id, "s-1");
}

TEST(HandoverMessages, LimitsValuesOutOfRange) {
  const DecodedHandoverState state = DecodeHandoverState(
      R"({"descriptors":1,"learnt":[{"cold_work":-5,"ejected_ms":0,"id":"a","multiplier":-1},)"
      R"({"cold_work":0,"ejected_ms":0,"id":"b","multiplier":1000}]})",
      KnowsAll);
  ASSERT_EQ(state.backends.size(), 2u);
  EXPECT_EQ(state.backends[0].slow_start_work, 0);
  EXPECT_EQ(state.backends[0].ejection_multiplier, 0);
  EXPECT_EQ(state.backends[1].ejection_multiplier, 100);
}

TEST(HandoverMessages, ReturnsEntriesBeforeAnInvalidOneAndTheError) {
  const DecodedHandoverState state = DecodeHandoverState(
      R"({"descriptors":5,"learnt":[{"cold_work":0,"ejected_ms":0,"id":"a","multiplier":1},{"id":"b"}]})",
      KnowsAll);
  EXPECT_EQ(state.descriptors, 5);
  EXPECT_EQ(state.backends.size(), 1u);
  EXPECT_NE(state.error.find("multiplier"), std::string::npos) << state.error;
}

TEST(HandoverMessages, ReturnsOnlyAnErrorForTextThatIsNotAState) {
  for (const char* text : {"", "torn", "[]", "{}", R"({"learnt":[]})"}) {
    const DecodedHandoverState state = DecodeHandoverState(text, KnowsAll);
    EXPECT_EQ(state.descriptors, std::nullopt) << text;
    EXPECT_TRUE(state.backends.empty()) << text;
    EXPECT_NE(state.error, "") << text;
  }
}

TEST(HandoverMessages, DecodesDescriptorReportsAndNothingElse) {
  ASSERT_TRUE(DecodeDescriptorReport(R"({"descriptors":42})").has_value());
  EXPECT_EQ(DecodeDescriptorReport(R"({"descriptors":42,"later":true})")->descriptors, 42);
  for (const char* text : {"", "torn", "[]", "{}", R"({"descriptors":"42"})", R"({"descriptors":1.5})"})
    EXPECT_FALSE(DecodeDescriptorReport(text).has_value()) << text;
}

TEST(HandoverMessages, DecodesAnEncodedReloadAndNothingElse) {
  const proxy::DiscoveryReload sent{*proxy::ParseHostPort("[::1]:8500"), proxy::Steady::now()};
  const auto received = proxy::DecodeDiscoveryReload(proxy::EncodeDiscoveryReload(sent));
  ASSERT_TRUE(received.has_value());
  EXPECT_EQ(received->address, sent.address);
  EXPECT_EQ(received->reloaded_at, sent.reloaded_at);
  EXPECT_FALSE(DecodeDescriptorReport(proxy::EncodeDiscoveryReload(sent)).has_value())
      << "to an older version";
  for (const char* text :
       {"", "torn", "[]", "{}", R"({"descriptors":4})", R"({"discovery_reload":7})",
        R"({"discovery_reload":{"address":"127.0.0.1:80"}})", R"({"discovery_reload":{"reloaded_at_ns":5}})",
        R"({"discovery_reload":{"address":"nowhere","reloaded_at_ns":5}})",
        R"({"discovery_reload":{"address":80,"reloaded_at_ns":5}})",
        R"({"discovery_reload":{"address":"127.0.0.1:80","reloaded_at_ns":-5}})",
        R"({"discovery_reload":{"address":"127.0.0.1:80","reloaded_at_ns":9223372036854775807}})"})
    EXPECT_FALSE(proxy::DecodeDiscoveryReload(text).has_value()) << text;
}

}  // namespace
}  // namespace copperpoint::testing
