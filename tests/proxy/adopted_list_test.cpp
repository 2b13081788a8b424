// SPDX-License-Identifier: Apache-2.0
//
// The other process of this proxy hands a list over while a call to discovery waits for its response: an
// older response must not undo the list, and the watch must not miss later changes.
#include <gtest/gtest.h>

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "proxy/discovery/discovery_client.h"
#include "support/scripted_discovery.h"

namespace copperpoint::testing {
namespace {

using Calls = std::vector<std::string>;

const std::string kWatchFrom41 = "/v1/endpoints?stream=1&index=41";
const std::string kWatchFrom43 = "/v1/endpoints?stream=1&index=43";

// A client that knows revision 41 and adopts revision 43 while its call waits.
struct AdoptingClient : WatchingClient {
  explicit AdoptingClient(const Tcp::endpoint& address) : WatchingClient(address) { options.revision = 41; }
  // Returns once the list has been adopted.
  void Adopt(proxy::Steady::time_point received_at) {
    asio::post(io, [this, received_at] {
      discovery->AdoptList(43, received_at);
      adopted.Update([](bool& done) { done = true; });
    });
    adopted.WaitFor([](bool done) { return done; });
  }
  // A script that responds with `list` once the other list has been adopted.
  ScriptedDiscovery::Script RespondAfterAdoption(std::string list) {
    return [this, list = std::move(list)](Tcp::socket& socket) {
      adopted.WaitFor([](bool done) { return done; });
      ScriptedDiscovery::Open(socket);
      SendRaw(socket, Chunk(list + "\n"));
      ReadToEnd(socket);
    };
  }
  std::vector<std::uint64_t> Revisions() {
    std::vector<std::uint64_t> revisions;
    for (const proxy::EndpointList& list : lists.Get()) revisions.push_back(list.revision);
    return revisions;
  }

  WaitableValue<bool> adopted;
};

struct AdoptedList : ::testing::Test {
  // Starts a client, whose first call discovery answers with `first` once revision 43 has been adopted, and
  // whose second call with `second`.
  void Start(const std::string& first, const std::string& second) {
    discovery = std::make_unique<ScriptedDiscovery>(std::vector<ScriptedDiscovery::Script>{
        [this](Tcp::socket& socket) { first_script(socket); }, WatchWith(second)});
    client = std::make_unique<AdoptingClient>(discovery->address());
    first_script = client->RespondAfterAdoption(first);
    client->Start();
    ASSERT_TRUE(discovery->WaitForCalls(1));
  }
  void TearDown() override {
    client.reset();
    discovery.reset();
  }

  ScriptedDiscovery::Script first_script;
  std::unique_ptr<ScriptedDiscovery> discovery;
  std::unique_ptr<AdoptingClient> client;
};

TEST_F(AdoptedList, LaterChangesOfTheCallUnderWayApplyAtOnce) {
  Start(List(44, Members(kMember("s-1")), false), "");
  client->Adopt(proxy::Steady::now());
  ASSERT_TRUE(client->WaitForLists(1));
  EXPECT_EQ(client->Revisions(), std::vector<std::uint64_t>{44});
  EXPECT_EQ(discovery->calls.Get(), Calls{kWatchFrom41});
}

TEST_F(AdoptedList, OlderChangesOfTheCallUnderWayAreReadAgain) {
  Start(List(42, Members(kMember("s-1")), false), List(44, Members(kMember("s-1")), false));
  client->Adopt(proxy::Steady::now());
  ASSERT_TRUE(client->WaitForLists(1));
  EXPECT_EQ(client->Revisions(), std::vector<std::uint64_t>{44});
  EXPECT_EQ(discovery->calls.Get(), (Calls{kWatchFrom41, kWatchFrom43}));
}

// Discovery counts anew and has passed revision 41 again: it takes the call's revision for one of its own,
// and would tell changes that never reach revision 43's list.
TEST_F(AdoptedList, DiscoveryThatCountsAnewIsReadFromItsSnapshot) {
  Start(List(42, Members(kMember("s-1")), false), List(42, Members(kMember("s-2"))));
  client->Adopt(proxy::Steady::now() - std::chrono::hours(1));
  ASSERT_TRUE(client->WaitForLists(1));
  EXPECT_EQ(client->Revisions(), std::vector<std::uint64_t>{42});
  EXPECT_EQ(client->lists.Get()[0].endpoints[0].id, "s-2");
  EXPECT_EQ(discovery->calls.Get(), (Calls{kWatchFrom41, kWatchFrom43}));
}

TEST_F(AdoptedList, OlderSnapshotOfACallMadeBeforeTheListIsReadAgain) {
  Start(List(42, Members(kMember("s-1"))), List(5, Members(kMember("s-2"))));
  client->Adopt(proxy::Steady::now());
  ASSERT_TRUE(client->WaitForLists(1));
  EXPECT_EQ(client->Revisions(), std::vector<std::uint64_t>{5}) << "the second snapshot is the present state";
  EXPECT_EQ(discovery->calls.Get(), (Calls{kWatchFrom41, kWatchFrom43}));
}

// Discovery comes back and counts anew. Its snapshot answers a call that was made after the other process had
// received its list, and costs no second call.
TEST_F(AdoptedList, SnapshotOfACallMadeAfterTheListApplies) {
  Start(List(5, Members(kMember("s-2"))), "");
  client->Adopt(proxy::Steady::now() - std::chrono::hours(1));
  ASSERT_TRUE(client->WaitForLists(1));
  EXPECT_EQ(client->Revisions(), std::vector<std::uint64_t>{5});
  EXPECT_EQ(discovery->calls.Get(), Calls{kWatchFrom41});
}

}  // namespace
}  // namespace copperpoint::testing
