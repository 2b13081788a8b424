// SPDX-License-Identifier: Apache-2.0
#include "simulation/run/run.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "simulation/world/crowd.h"
#include "simulation/world/fates.h"
#include "simulation/world/news.h"
#include "simulation/world/service.h"
#include "simulation/world/state.h"
#include "simulation/world/views.h"

namespace copperpoint::simulation {
namespace {

class Runner {
 public:
  Runner(const Scenario& scenario, const RunOptions& options)
      : options_(options),
        end_(EndOf(scenario)),
        s_(scenario, options.seed),
        service_(
            s_, [this](std::uint32_t proxy, std::uint64_t seed) { return Make(proxy, seed); },
            [this](std::uint32_t proxy) { news_.Call(proxy); }),
        news_(s_, options.seed,
              [this](std::uint32_t proxy, Event event) { service_.Feed(proxy, std::move(event)); }),
        crowd_(s_, options.seed, [this](std::uint32_t slot) { service_.Take(slot); }),
        views_(s_, [this](std::uint32_t proxy, Event event) { service_.Feed(proxy, std::move(event)); }),
        fates_(s_, options.seed, service_, news_, crowd_, views_) {
    service_.SetCrowd(&crowd_);
    s_.traced = options.trace;
    if (!options.logs.empty()) s_.logs.emplace(options.logs, options.log_format, s_.proxies.size());
  }

  RunResult Play() {
    const auto began = std::chrono::steady_clock::now();
    for (std::uint32_t p = 0; p < s_.proxies.size(); ++p) service_.StartProxy(p, news_.List(p));
    views_.Begin();
    fates_.Begin();
    crowd_.Begin();
    // By the end every client has its answer or has left; policies may set timers for ever.
    while (!s_.queue.empty() && s_.now() <= end_) Handle(s_.queue.Take());
    RunResult result;
    result.wall_s = std::chrono::duration<double>(std::chrono::steady_clock::now() - began).count();
    result.events = s_.queue.taken();
    result.broken = s_.observer.count();
    result.goodput = s_.metrics.Goodput();
    result.story = std::move(s_.story);
    result.json = Json();
    for (const Broken& b : s_.observer.broken()) {
      if (result.first_broken == 0) result.first_broken = b.request;
    }
    return result;
  }

 private:
  static Micros EndOf(const Scenario& scenario) {
    double longest = 0;
    for (const RequestClass& c : scenario.classes) longest = std::max(longest, c.deadline_ms);
    return FromMs(scenario.length_s * 1000 + longest + scenario.rules.answer_slack_ms + 1000);
  }

  std::unique_ptr<Policy> Make(std::uint32_t proxy, std::uint64_t seed) {
    PolicyContext context;
    context.settings = SettingsOf(s_.scenario, s_.day, static_cast<int>(proxy));
    context.seed = seed;
    context.truth = &service_;
    context.probe = [this, proxy](BackendId backend) { service_.Probe(proxy, backend); };
    return options_.make(options_.policy, std::move(context));
  }

  void Handle(const Due& due) {
    const auto slot = static_cast<std::uint32_t>(due.b);
    switch (static_cast<DueKind>(due.kind)) {
      case kWish:
        return crowd_.OnWish();
      case kRetry:
        return crowd_.OnRetry(slot);
      case kTryOver:
        if (service_.OnDue(slot)) {
          ++s_.At(slot).holds;
          s_.queue.Push(s_.now() + FromMs(s_.scenario.rules.answer_slack_ms), Rank::kTimeout, kSlackOver, 0,
                        slot);
        }
        crowd_.OnTryOver(slot);
        return s_.Let(slot);
      case kSlackOver:
        service_.OnSlackOver(slot);
        return s_.Let(slot);
      case kAtBackend:
        return service_.OnAtBackend(slot, due.a);
      case kWorkDone:
        return service_.OnWorkDone(due.a, due.b);
      case kAnswer:
        return service_.OnAnswer(slot, due.a);
      case kNeverUp:
        return service_.OnNeverUp(slot, due.a);
      case kTimeout:
        service_.OnTimeout(slot, due.a);
        return s_.Let(slot);
      case kGivenUp:
        return service_.OnGivenUp(slot, due.a);
      case kTimer:
        return service_.OnTimer(due.a, due.b);
      case kProbe:
        return service_.OnProbe(due.a, due.b);
      case kProbeBack:
        return service_.OnProbeBack(due.a, due.b);
      case kNotice:
        return news_.OnNotice(due.b);
      case kNews:
        return news_.OnNews(due.a, due.b);
      case kCalled:
        return news_.OnCalled(due.a, due.b);
      case kShouldHaveAsked:
        return news_.OnShouldHaveAsked(due.a, due.b);
      case kCallFailed:
        return news_.OnCallFailed(due.a, due.b);
      case kTroubleBegins:
        return fates_.OnTrouble(due.b, /*begins=*/true);
      case kTroubleEnds:
        return fates_.OnTrouble(due.b, /*begins=*/false);
      case kPause:
        return fates_.OnPause(due.a, due.b);
      case kDrainBackend:
        return fates_.OnDrainBackend(due.a);
      case kStopBackend:
        return fates_.OnStopBackend(due.a);
      case kStartBackend:
        return fates_.OnStartBackend(due.a);
      case kDrainProxy:
        return fates_.OnDrainProxy(due.a);
      case kStopProxy:
        return fates_.OnStopProxy(due.a, /*killed=*/false);
      case kStartProxy:
        return fates_.OnStartProxy(due.a);
      case kFrontNotices:
        return crowd_.OnFrontNotices(due.a, due.b == 1);
      case kViewTold:
        return views_.OnTold();
      case kSample:
        return views_.OnSample();
    }
  }

  nlohmann::ordered_json Json() const {
    nlohmann::ordered_json json{
        {"scenario", s_.scenario.title}, {"policy", options_.policy}, {"seed", options_.seed}};
    json.update(s_.metrics.Json());
    json["most_open"] = s_.tries.size();  // tries that were open at once, at the most
    json["events"] = s_.queue.taken();
    json["rules_broken"] = s_.observer.count();
    auto& broken = json["broken"] = nlohmann::ordered_json::array();
    for (const Broken& b : s_.observer.broken()) {
      broken.push_back({{"rule", static_cast<int>(b.rule)},
                        {"at_ms", ToMs(b.at)},
                        {"request", b.request},
                        {"proxy", b.proxy},
                        {"backend", b.backend},
                        {"what", b.what}});
    }
    return json;
  }

  const RunOptions& options_;
  const Micros end_;
  State s_;
  Service service_;
  News news_;
  Crowd crowd_;
  Views views_;
  Fates fates_;
};

}  // namespace

RunResult Run(const Scenario& scenario, const RunOptions& options) {
  return Runner(scenario, options).Play();
}

RunResult RunAndTell(const Scenario& scenario, RunOptions options) {
  RunResult result = Run(scenario, options);
  if (result.broken == 0 || result.first_broken == 0 || options.trace != 0) return result;
  options.trace = result.first_broken;
  options.logs.clear();
  result.story = Run(scenario, options).story;
  return result;
}

}  // namespace copperpoint::simulation
