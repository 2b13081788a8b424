// SPDX-License-Identifier: Apache-2.0
//
// What a member reports at the admin interface: the fields of GET /fleet in their order, and the calls of
// rollouts.
#include "proxy/membership/membership_host.h"

#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <chrono>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "support/temporary_file.h"

namespace copperpoint::testing {
namespace {

using Json = nlohmann::ordered_json;
using Call = proxy::AdminHandler::FleetCallRequest;
using Tcp = boost::asio::ip::tcp;
using Udp = boost::asio::ip::udp;

// Returns an address that was free for UDP and TCP a moment ago.
std::string FreeAddress() {
  boost::asio::io_context io;
  for (;;) {
    const Tcp::acceptor acceptor(io, {boost::asio::ip::address_v4::loopback(), 0});
    const auto port = acceptor.local_endpoint().port();
    Udp::socket socket(io, Udp::v4());
    boost::system::error_code in_use;
    socket.bind({boost::asio::ip::address_v4::loopback(), port}, in_use);
    if (!in_use) return std::string("127.0.0.1:") + std::to_string(port);
  }
}

std::vector<std::string> Keys(const Json& object) {
  std::vector<std::string> keys;
  for (const auto& [key, value] : object.items()) keys.push_back(key);
  return keys;
}

class MembershipHostTest : public ::testing::Test {
 protected:
  static proxy::FleetSettings Settings(const std::string& key_file, const std::string& listen) {
    proxy::FleetSettings settings;
    settings.cluster = std::string("site-1");
    settings.listen = listen;
    settings.key_file = key_file;
    return settings;
  }

  // Waits until the sockets are open: another test may have had the address for a moment.
  void SetUp() override {
    while (!ring_offset_) ASSERT_GT(io_.run_one_for(std::chrono::seconds(20)), 0u);
  }

  boost::asio::io_context io_;
  const TemporaryFile key_{"0123456789abcdef0123456789abcdef\n"};
  const std::string address_ = FreeAddress();
  std::optional<double> ring_offset_;
  proxy::MembershipHost host_{
      io_, Settings(key_.path(), address_), {"n1", "a", "0.1.0", "5f"}, 7, [this](double ring_offset) {
        ring_offset_ = ring_offset;
      }};
};

TEST_F(MembershipHostTest, StatusHasTheFieldsOfAMemberWithoutOthers) {
  const Json status = Json::parse(host_.StatusJson());
  EXPECT_EQ(Keys(status),
            (std::vector<std::string>{"cluster", "name", "address", "incarnation", "life", "speaks",
                                      "settled", "view", "position", "members", "counters"}));
  EXPECT_EQ(status["cluster"], "site-1");
  EXPECT_EQ(status["name"], "n1");
  EXPECT_EQ(status["address"], address_);
  EXPECT_EQ(status["speaks"], true);
  EXPECT_EQ(status["position"], *ring_offset_);
  ASSERT_EQ(status["members"].size(), 1u);
  const Json& member = status["members"][0];
  EXPECT_EQ(Keys(member), (std::vector<std::string>{"name", "status", "status_ms", "heard_ms", "incarnation",
                                                    "address", "state", "zone", "program", "settings"}));
  EXPECT_EQ(member["name"], "n1");
  EXPECT_EQ(member["status"], "alive");
  EXPECT_EQ(member["heard_ms"], 0);
  EXPECT_EQ(member["state"], "starting");
  EXPECT_EQ(member["zone"], "a");
  EXPECT_EQ(member["program"], "0.1.0");
  EXPECT_EQ(member["settings"], "5f");
  EXPECT_EQ(
      Keys(status["counters"]),
      (std::vector<std::string>{"sent", "sent_bytes", "received", "received_bytes", "exchanges",
                                "exchanged_bytes", "replays", "older_lives", "misaddressed", "oversized",
                                "news_shed", "refused_malformed", "refused_other_cluster", "refused_forged",
                                "refused_too_new", "unsent", "exchanges_failed", "exchanges_turned_away"}));
}

TEST_F(MembershipHostTest, StatusFollowsTheStateUntilTheMemberLeaves) {
  host_.SetState(membership::MemberState::kServing);
  EXPECT_EQ(Json::parse(host_.StatusJson())["members"][0]["state"], "serving");
  host_.Leave();
  const Json left = Json::parse(host_.StatusJson());
  EXPECT_EQ(left["speaks"], false);
  EXPECT_FALSE(left["counters"].contains("unsent")) << "the sockets are closed";
}

TEST_F(MembershipHostTest, AnswersCallsOfRollouts) {
  EXPECT_TRUE(proxy::MembershipHost::IsRolloutCall("/rollout/start"));
  EXPECT_FALSE(proxy::MembershipHost::IsRolloutCall("/fleet"));
  const auto call = [&](Call::Method method, const std::string& target, const std::string& body = "") {
    return host_.HandleRolloutCall({method, target, body});
  };
  const auto status = call(Call::Method::kGet, "/rollout");
  ASSERT_TRUE(status);
  EXPECT_TRUE(status->succeeded);
  EXPECT_EQ(Json::parse(status->text)["rate_per_s"], 0.0);
  ASSERT_TRUE(call(Call::Method::kGet, "/rollout/history"));
  EXPECT_FALSE(call(Call::Method::kGet, "/rollout/start"));
  EXPECT_FALSE(call(Call::Method::kPost, "/rollout"));
  EXPECT_FALSE(call(Call::Method::kPost, "/rollouts"));
  const auto malformed = call(Call::Method::kPost, "/rollout/start", "this is no plan");
  ASSERT_TRUE(malformed);
  EXPECT_FALSE(malformed->succeeded);
  EXPECT_EQ(malformed->text.find("plan:1:"), 0u) << malformed->text;
  for (const char* target : {"/rollout/abort", "/rollout/pause", "/rollout/resume"}) {
    const auto without_change = call(Call::Method::kPost, target);
    ASSERT_TRUE(without_change) << target;
    EXPECT_FALSE(without_change->succeeded) << target;
  }
}

}  // namespace
}  // namespace copperpoint::testing
