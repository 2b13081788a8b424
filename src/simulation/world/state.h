// SPDX-License-Identifier: Apache-2.0
//
// What the parts of a run share: the day, the queue of what is due, backends, proxies and requests. The parts
// are Crowd (clients), Service (requests and attempts), News (discovery) and Fates (troubles); Run drives
// them. Each part names its own kinds of what is due, below.
#ifndef COPPERPOINT_SIMULATION_WORLD_STATE_H_
#define COPPERPOINT_SIMULATION_WORLD_STATE_H_

#include <fmt/format.h>

#include <boost/container/small_vector.hpp>
#include <boost/unordered/unordered_flat_map.hpp>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "simulation/core/queue.h"
#include "simulation/core/random.h"
#include "simulation/policies/policy.h"
#include "simulation/report/metrics.h"
#include "simulation/report/proxy_logs.h"
#include "simulation/world/arrivals.h"
#include "simulation/world/backend.h"
#include "simulation/world/day.h"
#include "simulation/world/network.h"
#include "simulation/world/observer.h"
#include "simulation/world/recognition.h"

namespace copperpoint::simulation {

// a and b of a Due: what the comment says.
enum DueKind : std::uint32_t {
  kWish,             // the next first try reaches its proxy
  kRetry,            // b: slot of a try that its client sends now
  kTryOver,          // b: slot; the client gives this try up
  kSlackOver,        // b: slot; the final answer must be there
  kAtBackend,        // a: attempt, b: slot
  kWorkDone,         // a: backend, b: slot of work | life of the backend << 32
  kAnswer,           // a: attempt | outcome << 8, b: slot
  kNeverUp,          // a: attempt, b: slot; its connection did not come up
  kTimeout,          // a: attempt, b: slot
  kGivenUp,          // a: attempt, b: slot; the backend hears that nobody waits
  kTimer,            // a: proxy, b: token | life << 32
  kProbe,            // a: proxy, b: backend | life << 32
  kProbeBack,        // a: proxy, b: index of the answer
  kNotice,           // b: index of a change that discovery gets to know
  kNews,             // a: proxy, b: life
  kCalled,           // a: proxy, b: life; discovery answers a call
  kShouldHaveAsked,  // a: proxy, b: life; unless it has called since
  kCallFailed,       // a: proxy, b: life
  kTroubleBegins,    // b: trouble
  kTroubleEnds,
  kPause,         // a: backend, b: trouble
  kDrainBackend,  // a: backend
  kStopBackend,
  kStartBackend,
  kDrainProxy,  // a: proxy
  kStopProxy,
  kStartProxy,
  kFrontNotices,  // a: proxy, b: 1: it is there, 0: it is not
  kViewTold,      // the view has settled after a change
  kSample,
};

struct Attempt {
  std::uint32_t backend = 0, life = 0;
  Micros sent = 0;
  bool out = true, may_have_run = true;
  bool connected = false;  // it holds a connection
  float ran_ms = 0;        // work that it began to do
};

// One try of a client, as its proxy holds it.
struct Try {
  std::uint32_t generation = 0;
  std::int32_t holds = 0;  // what still refers to it; the slot is free at 0
  Wish wish;               // `at` is that of the first try
  Micros wish_due = 0;     // the client's deadline over all tries
  int tries_left = 0;
  Micros patience = 0;  // of a client that has none to speak of; 0: as usual
  std::uint32_t proxy = 0, proxy_life = 0;
  Micros arrived = 0, due = 0;
  bool taken = false, final = false, client_done = false;
  std::uint8_t runs = 0, hops = 0;
  std::uint64_t was_at = 0;  // of the first 64 proxies, those that tries of this wish have reached
  Recognised recognised;
  boost::container::small_vector<Attempt, 2> attempts;
};

struct Connections {
  int idle = 0, open = 0;
  std::uint32_t life = 0;  // of the backend, when they were opened
  Micros used = 0;
};

struct ProxyHost {
  std::unique_ptr<Policy> policy;
  int zone = 0;
  std::uint32_t life = 0;
  bool alive = false, drained = false;
  std::deque<Event> events;  // waiting for Handle to be free
  bool handling = false;
  Recognition recognition;
  boost::unordered_flat_map<std::uint32_t, Connections> connections;
  // Discovery.
  std::size_t revision = 0;  // of the change log, up to which it has been told
  bool subscribed = false, news_due = false;
  bool overdue = false;  // it has not asked for so long that all news count as told
  Micros last_call = 0;
  boost::unordered_flat_map<std::uint32_t, Micros> known_start;  // of backends that started: when
};

class State {
 public:
  State(const Scenario& scenario, std::uint64_t seed);

  const Scenario& scenario;
  const Day day;
  Queue queue;
  Network network;
  Observer observer;
  Metrics metrics;
  Random chance;  // of service: noise, errors
  std::vector<Backend> backends;
  std::vector<ProxyHost> proxies;
  std::deque<Try> tries;
  std::vector<std::uint32_t> free_tries;

  Micros now() const { return queue.now(); }
  static TimePoint Time(Micros at) { return TimePoint(kOrigin + Duration(ToMs(at))); }
  TimePoint time() const { return Time(now()); }

  std::uint32_t NewTry();
  // A client's tries of one wish beyond the first.
  int MostRepeats() const { return scenario.clients.retry == Retry::kNone ? 0 : scenario.clients.retries; }
  Try& At(std::uint64_t slot) { return tries[slot]; }
  // The request's id for its proxy: never the same twice.
  static RequestId IdOf(std::uint32_t slot, const Try& t) {
    return static_cast<RequestId>(t.generation) << 32 | slot;
  }
  void Let(std::uint32_t slot);  // one hold less

  // A line of the story of the one request that is traced.
  template <typename... Args>
  void Tell(std::uint32_t slot, fmt::format_string<Args...> text, Args&&... args) {
    if (traced == 0 || IdOf(slot, tries[slot]) != traced) return;
    story.push_back(
        fmt::format("{:12.3f} ms  {}", ToMs(now()), fmt::format(text, std::forward<Args>(args)...)));
  }
  RequestId traced = 0;  // 0: none
  std::optional<ProxyLogs> logs;
  // A line in the log of a proxy.
  void LogOf(std::uint32_t proxy, std::string_view event, std::initializer_list<log::Field> fields) {
    if (logs) logs->Write(proxy, ToMs(now()), event, fields);
  }
  std::vector<std::string> story;

 private:
  static constexpr Duration kOrigin{1e9};  // of the policies' clock: an origin of 0 would mean long ago
};

}  // namespace copperpoint::simulation

#endif  // COPPERPOINT_SIMULATION_WORLD_STATE_H_
