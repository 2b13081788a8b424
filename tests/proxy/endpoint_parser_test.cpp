// SPDX-License-Identifier: Apache-2.0
//
// The parser of discovery's endpoint list, which also reads `known` of the platform's configuration.
#include <gtest/gtest.h>

#include <optional>
#include <string>

#include "proxy/discovery/endpoints.h"

namespace copperpoint::proxy {
namespace {

using Kind = EndpointListError::Kind;

constexpr char kEntry[] =
    R"({"id":"s-1","phase":"in_service","host_port":"127.0.0.1:80","locality":"a","flavor":"m","cell":3,)"
    R"("size":2.5,"up_since_ms":7.0})";

std::string List(const std::string& entries) { return R"({"revision":41,"members":[)" + entries + "]}"; }

// Returns the error of a list that has to be rejected.
EndpointListError ErrorOf(const std::string& text) {
  EndpointListError error;
  EXPECT_FALSE(ParseEndpointList(text, &error)) << text;
  return error;
}

TEST(EndpointParser, ReadsEveryField) {
  EndpointListError error;
  const auto list = ParseEndpointList(
      R"({"revision":41,"complete":true,"later":1,"members":[)" + std::string(kEntry) + "]}", &error);
  ASSERT_TRUE(list);
  EXPECT_EQ(list->revision, 41u);
  EXPECT_TRUE(list->complete);
  ASSERT_EQ(list->endpoints.size(), 1u);
  const DiscoveredEndpoint& endpoint = list->endpoints[0];
  EXPECT_EQ(endpoint.id, "s-1");
  EXPECT_EQ(endpoint.state, EndpointState::kReady);
  EXPECT_EQ(endpoint.address, *ParseHostPort("127.0.0.1:80"));
  EXPECT_EQ(endpoint.zone, "a");
  EXPECT_EQ(endpoint.kind, "m");
  EXPECT_EQ(endpoint.cell, 3);
  EXPECT_EQ(endpoint.weight, 2.5);
  EXPECT_EQ(endpoint.up_since_unix_ms, 7);
}

TEST(EndpointParser, OptionalFieldsHaveDefaults) {
  EndpointListError error;
  const auto list = ParseEndpointList(List(R"({"id":"s-1","phase":"terminated"})"), &error);
  ASSERT_TRUE(list);
  EXPECT_FALSE(list->complete);
  const DiscoveredEndpoint& endpoint = list->endpoints.at(0);
  EXPECT_EQ(endpoint.state, EndpointState::kRemoved);
  EXPECT_EQ(endpoint.zone, "");
  EXPECT_EQ(endpoint.weight, 1);
  EXPECT_EQ(endpoint.up_since_unix_ms, 0);
}

TEST(EndpointParser, ErrorNamesTheEntryAndTheInvalidField) {
  const std::string good(kEntry);
  const auto check = [&](const std::string& entry, Kind kind, const std::string& path,
                         const std::string& text) {
    const EndpointListError error = ErrorOf(List(good + ',' + entry));
    EXPECT_EQ(error.kind, kind) << entry;
    EXPECT_EQ(error.entry, std::optional<std::size_t>(1)) << entry;
    EXPECT_EQ(error.FieldPath(), path);
    EXPECT_EQ(error.Describe(), text);
  };
  check(R"({"id":"","phase":"terminated"})", Kind::kEmptyId, "members.1.id", "an entry has an empty id");
  check(R"({"id":"x","phase":"odd"})", Kind::kUnknownPhase, "members.1.phase",
        "an entry has an unknown phase");
  check(R"({"id":"x","phase":"in_service","host_port":"no"})", Kind::kInvalidAddress, "members.1.host_port",
        "an entry has no usable host_port");
  check(R"({"id":"x","phase":"terminating"})", Kind::kInvalidAddress, "members.1.host_port",
        "an entry has no usable host_port");
  check(R"({"phase":"terminated"})", Kind::kMalformedField, "members.1",
        "[json.exception.out_of_range.403] key 'id' not found");
  check(R"({"id":5,"phase":"terminated"})", Kind::kMalformedField, "members.1",
        "[json.exception.type_error.302] type must be string, but is number");
}

TEST(EndpointParser, ErrorInTheListItselfNamesNoEntry) {
  EXPECT_EQ(ErrorOf("{\"revision\":").kind, Kind::kNotJson);
  EXPECT_EQ(ErrorOf("{\"revision\":").Describe(), "not JSON");
  for (const char* text : {"[]", "{}", R"({"revision":41})", R"({"revision":"x","members":[]})",
                           R"({"revision":41,"complete":"yes","members":[]})"}) {
    const EndpointListError error = ErrorOf(text);
    EXPECT_EQ(error.kind, Kind::kMalformedField) << text;
    EXPECT_FALSE(error.entry) << text;
    EXPECT_EQ(error.FieldPath(), "") << text;
    EXPECT_EQ(error.Describe().find("[json.exception."), 0u) << text;
  }
}

}  // namespace
}  // namespace copperpoint::proxy
