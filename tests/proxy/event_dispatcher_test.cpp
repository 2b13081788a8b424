// SPDX-License-Identifier: Apache-2.0
//
// EventDispatcher: the order of events, exceptions from actions and decisions, and timers.
#include "proxy/core/event_dispatcher.h"

#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <functional>
#include <stdexcept>
#include <string>
#include <variant>
#include <vector>

namespace copperpoint::testing {
namespace {

using proxy::ActionHandler;
using proxy::EventDispatcher;

// Records the actions that it is called with; `on_execute` may dispatch events or throw.
class FakeHandler : public ActionHandler {
 public:
  void Execute(const Action& action) override {
    executed.push_back(action);
    if (on_execute) on_execute(action);
  }
  void OnExecuteFailed(const Action& action) override { failed.push_back(action); }

  std::function<void(const Action&)> on_execute;
  std::vector<Action> executed, failed;
};

class EventDispatcherTest : public ::testing::Test {
 protected:
  EventDispatcherTest() { dispatcher_.set_handler(&handler_); }

  // Records the name of the event and returns next_actions_.
  void Decide(const Event& event, std::vector<Action>* actions) {
    EXPECT_FALSE(deciding_) << "re-entered";
    deciding_ = true;
    if (const auto* request = std::get_if<RequestReceived>(&event)) {
      handled_.push_back("request " + std::to_string(request->request));
    } else if (const auto* timer = std::get_if<TimerFired>(&event)) {
      handled_.push_back("timer " + std::to_string(timer->token));
    } else {
      handled_.emplace_back(std::holds_alternative<EndpointUpdate>(event) ? "endpoints" : "other");
    }
    *actions = std::move(next_actions_);
    next_actions_.clear();
    deciding_ = false;
  }

  static Event Request(RequestId id) {
    RequestReceived request;
    request.request = id;
    return request;
  }

  boost::asio::io_context io_;
  proxy::BalancerClock clock_;
  FakeHandler handler_;
  bool deciding_ = false;
  std::vector<std::string> handled_;
  std::vector<Action> next_actions_;  // returned for the next event
  EventDispatcher dispatcher_{
      io_, clock_,
      [this](TimePoint, const Event& event, std::vector<Action>* actions) { Decide(event, actions); }};
};

TEST_F(EventDispatcherTest, HandlesAnEventThatAnActionBringsAboutAfterTheOtherActions) {
  next_actions_ = {Log{"first"}, Log{"second"}};
  std::vector<std::size_t> handled_at_action;
  handler_.on_execute = [&](const Action&) {
    if (handled_at_action.empty()) dispatcher_.Dispatch(Request(2));
    handled_at_action.push_back(handled_.size());
  };
  dispatcher_.Dispatch(Request(1));
  EXPECT_EQ(handled_at_action, (std::vector<std::size_t>{1, 1}));
  EXPECT_EQ(handled_, (std::vector<std::string>{"request 1", "request 2"}));
}

TEST_F(EventDispatcherTest, HandlesEndpointUpdatesBeforeOtherQueuedEventsInTheirOwnOrder) {
  next_actions_ = {Log{"queue"}};
  handler_.on_execute = [&](const Action&) {
    dispatcher_.Dispatch(Request(2));
    dispatcher_.Dispatch(EndpointUpdate{});
    dispatcher_.Dispatch(Request(3));
    dispatcher_.Dispatch(EndpointUpdate{});
  };
  dispatcher_.Dispatch(Request(1));
  EXPECT_EQ(handled_,
            (std::vector<std::string>{"request 1", "endpoints", "endpoints", "request 2", "request 3"}));
}

TEST_F(EventDispatcherTest, ExecutesTheOtherActionsWhenOneThrows) {
  next_actions_ = {Log{"throws"}, Log{"works"}};
  handler_.on_execute = [](const Action& action) {
    if (std::get<Log>(action).text == "throws") throw std::runtime_error("fault");
  };
  dispatcher_.Dispatch(Request(1));
  EXPECT_EQ(handler_.executed.size(), 2u);
  ASSERT_EQ(handler_.failed.size(), 1u);
  EXPECT_EQ(std::get<Log>(handler_.failed[0]).text, "throws");
}

TEST_F(EventDispatcherTest, HandlesTheNextEventWhenDecidingThrew) {
  bool throws = true;
  EventDispatcher dispatcher(io_, clock_, [&](TimePoint, const Event& event, std::vector<Action>* actions) {
    if (throws) throw std::runtime_error("fault");
    Decide(event, actions);
  });
  dispatcher.set_handler(&handler_);
  EXPECT_THROW(dispatcher.Dispatch(Request(1)), std::runtime_error);
  throws = false;
  dispatcher.Dispatch(Request(2));
  EXPECT_EQ(handled_, (std::vector<std::string>{"request 2"}));
}

TEST_F(EventDispatcherTest, DispatchesTimersThatAreDueInTheOrderOfTheirTimes) {
  const TimePoint now = clock_.Now();
  next_actions_ = {SetTimer{now + Duration(4), 2}, SetTimer{now + Duration(2), 1}};
  dispatcher_.Dispatch(Request(1));
  EXPECT_TRUE(handler_.executed.empty());
  io_.run();
  EXPECT_EQ(handled_, (std::vector<std::string>{"request 1", "timer 1", "timer 2"}));
  EXPECT_GE(clock_.Now(), now + Duration(4));
}

}  // namespace
}  // namespace copperpoint::testing
