// SPDX-License-Identifier: Apache-2.0
//
// The endpoint list in the message between two processes of one proxy: what is sent arrives unchanged, and
// what another version, or a fault, could send is rejected whole.
#include "proxy/handover/endpoint_list_message.h"

#include <fcntl.h>
#include <gtest/gtest.h>
#include <sys/mman.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <cstdint>
#include <limits>
#include <string>
#include <utility>

#include "proxy/handover/handover_messages.h"
#include "proxy/handover/sealed_memory.h"

namespace copperpoint::testing {
namespace {

using namespace proxy;

HandedOverEndpoints TwoBackends() {
  HandedOverEndpoints endpoints;
  endpoints.list.revision = std::numeric_limits<std::uint64_t>::max();
  endpoints.list.complete = true;
  endpoints.list.endpoints.push_back(
      {"s-1", *ParseHostPort("127.0.0.1:80"), "a", "m", 3, EndpointState::kDraining, 2.5, 1764000000123.25});
  endpoints.list.endpoints.push_back(
      {"s-\xc3\xa4\"", *ParseHostPort("[::1]:81"), "", "", 0, EndpointState::kReady, 1, 0});
  endpoints.received_at = Steady::now() - std::chrono::milliseconds(1500);
  return endpoints;
}

std::string HeaderAt(Steady::time_point at) {
  const std::chrono::nanoseconds since = at.time_since_epoch();
  return R"({"endpoint_list":{"received_at_ns":)" + std::to_string(since.count()) + "}}";
}

// The error of a message that has to be rejected.
std::string ErrorOf(const std::string& text, OwnedDescriptor contents) {
  std::string error;
  const ReceivedMessage message{text, std::move(contents)};
  EXPECT_FALSE(DecodeEndpointListMessage(message, &error).has_value()) << text;
  return error;
}

TEST(EndpointListMessage, ArrivesAsItWasSent) {
  const HandedOverEndpoints sent = TwoBackends();
  auto encoded = EncodeEndpointListMessage(sent);
  ASSERT_TRUE(encoded);
  EXPECT_EQ(encoded->text, HeaderAt(sent.received_at));
  EXPECT_TRUE(IsEndpointListMessage(encoded->text));
  std::string error;
  const ReceivedMessage message{encoded->text, std::move(encoded->contents)};
  const auto received = DecodeEndpointListMessage(message, &error);
  ASSERT_TRUE(received) << error;
  EXPECT_EQ(received->received_at, sent.received_at);
  EXPECT_EQ(received->list.revision, sent.list.revision);
  EXPECT_TRUE(received->list.complete);
  ASSERT_EQ(received->list.endpoints.size(), sent.list.endpoints.size());
  for (std::size_t i = 0; i < sent.list.endpoints.size(); ++i) {
    const DiscoveredEndpoint &before = sent.list.endpoints[i], &after = received->list.endpoints[i];
    EXPECT_EQ(after.id, before.id);
    EXPECT_EQ(after.address, before.address);
    EXPECT_EQ(after.zone, before.zone);
    EXPECT_EQ(after.kind, before.kind);
    EXPECT_EQ(after.cell, before.cell);
    EXPECT_EQ(after.state, before.state);
    EXPECT_EQ(after.weight, before.weight);
    EXPECT_EQ(after.up_since_unix_ms, before.up_since_unix_ms);
  }
}

// The versions before the endpoint list was handed over read every later message as a report of descriptors.
TEST(EndpointListMessage, IsNoDescriptorReportToAnOlderVersion) {
  const auto encoded = EncodeEndpointListMessage(TwoBackends());
  ASSERT_TRUE(encoded);
  EXPECT_FALSE(DecodeDescriptorReport(encoded->text).has_value());
  EXPECT_LT(encoded->text.size(), 256u) << "an older version ends the connection at a message over 128 KiB";
}

TEST(EndpointListMessage, LargestFleetFitsAndALongerListIsNotSent) {
  HandedOverEndpoints endpoints = TwoBackends();
  const DiscoveredEndpoint one = endpoints.list.endpoints[0];
  endpoints.list.endpoints.assign(3200, one);
  EXPECT_TRUE(EncodeEndpointListMessage(endpoints).has_value());
  endpoints.list.endpoints[0].id.assign(kMaxEndpointListBytes, 'x');
  EXPECT_FALSE(EncodeEndpointListMessage(endpoints).has_value());
}

TEST(EndpointListMessage, OtherMessagesAreNotTakenForOne) {
  for (const char* text : {"", "torn", "[]", "{}", R"({"descriptors":3})", R"(["endpoint_list"])"})
    EXPECT_FALSE(IsEndpointListMessage(text)) << text;
}

TEST(EndpointListMessage, RejectsATimeThatIsAbsentMalformedOrStillToCome) {
  const std::string later = HeaderAt(Steady::now() + std::chrono::hours(1));
  for (const std::string& text :
       {std::string("torn"), std::string(R"({"endpoint_list":7})"), std::string(R"({"endpoint_list":{}})"),
        std::string(R"({"endpoint_list":{"received_at_ns":"5"}})"),
        std::string(R"({"endpoint_list":{"received_at_ns":-5}})"),
        std::string(R"({"endpoint_list":{"received_at_ns":18446744073709551615}})"), later}) {
    const std::string list = R"({"revision":1,"complete":true,"members":[]})";
    EXPECT_NE(ErrorOf(text, CreateSealedMemory(list)).find("received_at_ns"), std::string::npos) << text;
  }
}

TEST(EndpointListMessage, RejectsContentsThatAreNoCompleteList) {
  const std::string header = HeaderAt(Steady::now());
  const std::string entry = R"({"id":"s-1","phase":"in_service","host_port":"127.0.0.1:80"})";
  EXPECT_EQ(ErrorOf(header, CreateSealedMemory("")), "endpoint list: not JSON");
  EXPECT_EQ(ErrorOf(header, CreateSealedMemory(R"({"revision":1,"complete":true,"mem)")),
            "endpoint list: not JSON");
  EXPECT_EQ(ErrorOf(header, CreateSealedMemory(R"({"revision":1,"members":[)" + entry + "]}")),
            "endpoint list: must be complete");
  EXPECT_EQ(ErrorOf(header, CreateSealedMemory(R"({"revision":1,"complete":true,"members":[)" + entry +
                                               R"(,{"id":"","phase":"in_service"}]})")),
            "endpoint list: an entry has no usable host_port");
}

// A descriptor that could block, change while it is read, or exceed the memory.
TEST(EndpointListMessage, RejectsContentsThatAreNoSealedMemory) {
  const std::string header = HeaderAt(Steady::now());
  std::array<int, 2> pipe_ends{};
  ASSERT_EQ(::pipe(pipe_ends.data()), 0);
  const OwnedDescriptor writer(pipe_ends[1]);
  EXPECT_NE(ErrorOf(header, OwnedDescriptor(pipe_ends[0])).find("sealed"), std::string::npos);
  EXPECT_NE(ErrorOf(header, OwnedDescriptor()).find("sealed"), std::string::npos);
  EXPECT_NE(ErrorOf(header, OwnedDescriptor(::open("/dev/null", O_RDONLY))).find("sealed"),
            std::string::npos);
  OwnedDescriptor unsealed(::memfd_create("test", MFD_CLOEXEC | MFD_ALLOW_SEALING));
  EXPECT_NE(ErrorOf(header, std::move(unsealed)).find("sealed"), std::string::npos);
  const OwnedDescriptor long_file = CreateSealedMemory(std::string(100, 'x'));
  EXPECT_FALSE(ReadSealedMemory(long_file.get(), 99).has_value());
  EXPECT_EQ(ReadSealedMemory(long_file.get(), 100), std::string(100, 'x'));
}

}  // namespace
}  // namespace copperpoint::testing
