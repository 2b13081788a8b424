// SPDX-License-Identifier: Apache-2.0
#include "simulation/world/service.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "decision/client_retry_detector.h"
#include "decision/log_names.h"
#include "log/event_names.h"

namespace copperpoint::simulation {
namespace {

constexpr double kProbeWorkMs = 0.03;  // on a core of speed 1, beside the queue
constexpr double kCrashAfter = 0.5;    // of a poisonous request's work

const char* NameOf(AttemptOutcome outcome) {
  switch (outcome) {
    case AttemptOutcome::kSuccess:
      return "an answer";
    case AttemptOutcome::kServerError:
      return "an error";
    case AttemptOutcome::kBackendRejected:
      return "turned away";
    case AttemptOutcome::kTimeout:
      return "a time-out";
    case AttemptOutcome::kConnectFailure:
      return "no connection";
    case AttemptOutcome::kConnectionReset:
      return "a reset";
    case AttemptOutcome::kNotSent:
      return "not sent";
    default:
      return "something else";
  }
}

bool ProvesItNeverRan(AttemptOutcome outcome) {
  return outcome == AttemptOutcome::kBackendRejected || outcome == AttemptOutcome::kConnectFailure ||
         outcome == AttemptOutcome::kNotSent;
}

std::uint64_t WithLife(std::uint64_t low, std::uint32_t life) {
  return low | static_cast<std::uint64_t>(life) << 32;
}
std::uint32_t Low(std::uint64_t both) { return static_cast<std::uint32_t>(both); }
std::uint32_t High(std::uint64_t both) { return static_cast<std::uint32_t>(both >> 32); }

}  // namespace

Service::Service(State& state, std::function<std::unique_ptr<Policy>(std::uint32_t, std::uint64_t)> make,
                 std::function<void(std::uint32_t)> subscribe)
    : s_(state),
      make_(std::move(make)),
      subscribe_(std::move(subscribe)),
      silent_(state.backends.size()),
      recent_ms_(state.backends.size(), 0) {}

// ---- proxies ------------------------------------------------------------------------------------------

void Service::StartProxy(std::uint32_t proxy, std::vector<Endpoint> known) {
  ProxyHost& p = s_.proxies[proxy];
  ++p.life;
  p.alive = true;
  p.drained = p.subscribed = p.news_due = false;
  p.last_call = s_.now();
  p.events.clear();
  p.connections.clear();
  p.recognition = Recognition();
  Random seeds(s_.day.seed, "proxy", ++lives_);
  p.policy = make_(proxy, seeds.Bits());
  s_.observer.ProxyStarted(proxy);
  Feed(proxy, EndpointUpdate{EndpointUpdateKind::kCached, std::move(known)});
}

void Service::KillProxy(std::uint32_t proxy) {
  ProxyHost& p = s_.proxies[proxy];
  p.alive = false;
  p.subscribed = false;
  p.events.clear();
  for (const auto& [backend, connections] : p.connections) {
    if (connections.life == s_.backends[backend].life()) s_.backends[backend].Disconnect(connections.open);
  }
  p.connections.clear();
  for (std::uint32_t slot = 0; slot < s_.tries.size(); ++slot) {
    Try& t = s_.tries[slot];
    if (t.holds == 0 || !t.taken || t.proxy != proxy || t.proxy_life != p.life || t.final) continue;
    t.final = true;  // there will be none, and nobody is to blame
    s_.Tell(slot, "its proxy dies");
    crowd_->OnFinal(slot, Final::kLost, Duration(0));
  }
}

void Service::Feed(std::uint32_t proxy, Event event) {
  ProxyHost& p = s_.proxies[proxy];
  p.events.push_back(std::move(event));
  if (p.handling) return;
  p.handling = true;
  while (!p.events.empty()) {
    const Event next = std::move(p.events.front());
    p.events.pop_front();
    std::vector<Action> actions = std::exchange(actions_, {});
    actions.clear();
    p.policy->Handle(s_.time(), next, &actions);
    for (const Action& action : actions) std::visit([&](const auto& a) { Do(proxy, a); }, action);
    actions_ = std::move(actions);
  }
  p.handling = false;
}

void Service::OnTimer(std::uint32_t proxy, std::uint64_t token_and_life) {
  const ProxyHost& p = s_.proxies[proxy];
  if (p.alive && p.life == High(token_and_life)) Feed(proxy, TimerFired{Low(token_and_life)});
}

void Service::Do(std::uint32_t proxy, const Log& action) {
  s_.LogOf(proxy, log::events::kDecision, {{log::fields::kText, action.text}});
}

void Service::Do(std::uint32_t proxy, const SetTimer& action) {
  const double in_ms = (action.at - s_.time()).count();
  // Rounded up: a policy that is woken a moment early would not ask again.
  const Micros at = s_.now() + static_cast<Micros>(std::ceil(std::clamp(in_ms * 1000, 0.0, 1e15)));
  s_.queue.Push(at, Rank::kTimeout, kTimer, proxy, WithLife(Low(action.token), s_.proxies[proxy].life));
}

void Service::Do(std::uint32_t proxy, const PollEndpoints&) { subscribe_(proxy); }

void Service::Do(std::uint32_t proxy, const CloseIdleConnections& action) {
  const auto found = s_.proxies[proxy].connections.find(action.backend);
  if (found == s_.proxies[proxy].connections.end()) return;
  Connections& c = found->second;
  if (c.life == s_.backends[action.backend].life()) s_.backends[action.backend].Disconnect(c.idle);
  c.open -= std::exchange(c.idle, 0);
}

// ---- requests -----------------------------------------------------------------------------------------

void Service::Take(std::uint32_t slot) {
  Try& t = s_.At(slot);
  RequestReceived submit;
  submit.request = State::IdOf(slot, t);
  submit.deadline = State::Time(t.due);
  submit.request_class = t.wish.cls;
  submit.tenant = t.wish.account;
  submit.key = t.wish.key;
  submit.has_work_estimate = t.wish.hint_ms > 0;
  submit.estimated_work_ms = t.wish.hint_ms;
  submit.client_retry = s_.scenario.clients.marks_retry && t.tries_left < s_.MostRepeats();
  Recognise(t, submit);
  if (s_.logs) {
    s_.LogOf(t.proxy, log::events::kRequestReceived,
             {{log::fields::kRequest, submit.request},
              {log::fields::kId, log::Hex(submit.request)},
              {log::fields::kFingerprint, log::Hex(FingerprintOf(submit))},
              {"class", submit.request_class},
              {log::fields::kWorkMs, submit.estimated_work_ms}});
  }
  Feed(t.proxy, submit);
}

// On a large fleet a repeat hardly ever meets the same proxy, and the marks of a try hold 64.
bool Service::RecognitionIsMeasured() const { return s_.proxies.size() <= 64; }

void Service::Recognise(Try& t, const RequestReceived& submit) {
  if (!RecognitionIsMeasured()) return;
  const std::uint64_t here = std::uint64_t{1} << t.proxy;
  t.recognised = s_.proxies[t.proxy].recognition.Arrived(s_.time(), submit, t.tries_left < s_.MostRepeats(),
                                                         (t.was_at & here) != 0, &s_.metrics);
  t.was_at |= here;
}

Try* Service::Held(std::uint32_t proxy, RequestId request, std::uint32_t* slot) {
  *slot = Low(request);
  if (*slot >= s_.tries.size()) return nullptr;
  Try& t = s_.tries[*slot];
  const bool same = t.holds > 0 && State::IdOf(*slot, t) == request && t.proxy == proxy &&
                    t.proxy_life == s_.proxies[proxy].life;
  return same ? &t : nullptr;
}

Observer::Attempts Service::Judged(const Try& t) const {
  Observer::Attempts judged;
  judged.unsafe = !s_.scenario.classes[t.wish.cls].safe;
  for (const Attempt& a : t.attempts) judged.may_have_run |= a.out || a.may_have_run;
  return judged;
}

void Service::Conclude(std::uint32_t slot, Final final, const char* why, Duration retry_after) {
  Try& t = s_.At(slot);
  const char* how = final == Final::kServed ? "served" : final == Final::kRefused ? "rejected" : "failed";
  s_.LogOf(t.proxy, log::events::kRequestCompleted,
           {{log::fields::kRequest, State::IdOf(slot, t)},
            {"class", t.wish.cls},
            {log::fields::kResult, how},
            {log::fields::kReason, why},
            {"attempts", static_cast<std::int64_t>(t.attempts.size())},
            {log::fields::kDurationMs, ToMs(s_.now() - t.arrived)},
            {log::fields::kDeadlineMs, ToMs(t.due - t.arrived)}});
  s_.observer.Answered(s_.now(), State::IdOf(slot, t), t.proxy, t.final);
  t.final = true;
  if (RecognitionIsMeasured()) {
    const RequestClass& c = s_.scenario.classes[t.wish.cls];
    const bool may_return = final == Final::kRefused || (final == Final::kFailed && c.safe);
    s_.proxies[t.proxy].recognition.Ended(s_.time(), t.recognised, may_return, Duration(c.deadline_ms));
  }
  s_.Tell(slot, "final answer: {}", how);
  crowd_->OnFinal(slot, final, retry_after);
}

void Service::Do(std::uint32_t proxy, const RejectRequest& action) {
  std::uint32_t slot = 0;
  Try* t = Held(proxy, action.request, &slot);
  if (!t || t->final) return;
  ++s_.metrics.refused;
  s_.observer.Refused(s_.now(), action.request, proxy, Judged(*t));
  Conclude(slot, Final::kRefused, LogName(action.reason), action.retry_after);
}

void Service::Do(std::uint32_t proxy, const FailRequest& action) {
  std::uint32_t slot = 0;
  Try* t = Held(proxy, action.request, &slot);
  if (!t || t->final) return;
  ++s_.metrics.failed;
  Conclude(slot, Final::kFailed, LogName(action.reason), Duration(0));
}

bool Service::OnDue(std::uint32_t slot) {
  Try& t = s_.At(slot);
  if (t.final) return false;
  for (std::uint32_t n = 0; n < t.attempts.size(); ++n) {
    if (t.attempts[n].out) OnTimeout(slot, n);
  }
  return !t.final;
}

void Service::OnSlackOver(std::uint32_t slot) {
  Try& t = s_.At(slot);
  if (t.final) return;
  const RequestId id = State::IdOf(slot, t);
  s_.Tell(slot, "still without a final answer");
  s_.observer.Unanswered(s_.now(), id, t.proxy);
  t.final = true;
  if (s_.proxies[t.proxy].alive && s_.proxies[t.proxy].life == t.proxy_life)
    Feed(t.proxy, ClientDisconnected{id});
}

// ---- attempts -----------------------------------------------------------------------------------------

void Service::Do(std::uint32_t proxy, const StartAttempt& action) {
  std::uint32_t slot = 0;
  Try* t = Held(proxy, action.request, &slot);
  if (!t || action.backend >= s_.backends.size()) return;
  s_.observer.Dispatched(s_.now(), action.request, proxy, action.backend, Judged(*t), t->final);
  const auto n = static_cast<std::uint32_t>(t->attempts.size());
  const bool out =
      std::any_of(t->attempts.begin(), t->attempts.end(), [](const Attempt& a) { return a.out; });
  if (t->final || out || s_.now() >= t->due || static_cast<int>(n) >= s_.scenario.rules.max_attempts) {
    AttemptCompleted end;
    end.request = action.request;
    end.attempt = static_cast<int>(n);
    end.backend = action.backend;
    end.request_completed = t->final;
    end.outcome = AttemptOutcome::kNotSent;
    t->attempts.push_back({action.backend, 0, s_.now(), false, false});
    return Feed(proxy, end);
  }
  ++s_.metrics.attempts;
  s_.metrics.cross_zone += s_.backends[action.backend].zone() != s_.proxies[proxy].zone;
  t->attempts.push_back({action.backend, s_.backends[action.backend].life(), s_.now()});
  s_.Tell(slot, "attempt {} goes to backend {}", n, action.backend);
  s_.LogOf(proxy, log::events::kAttemptStarted,
           {{log::fields::kRequest, action.request},
            {"attempt", n},
            {log::fields::kBackend, action.backend},
            {log::fields::kWorkMs, t->wish.hint_ms}});
  Send(slot, n);
  const Micros until = s_.now() + FromMs(std::max(0.0, action.timeout.count()));
  if (action.timeout.count() != 0 && until < t->due) {
    ++t->holds;
    s_.queue.Push(until, Rank::kTimeout, kTimeout, n, slot);
  }
}

// On an idle connection, or a new one if the backend accepts it. A connection from before the backend's last
// start is found dead on arrival.
void Service::Send(std::uint32_t slot, std::uint32_t n) {
  Try& t = s_.At(slot);
  Attempt& a = t.attempts[n];
  Backend& b = s_.backends[a.backend];
  ProxyHost& p = s_.proxies[t.proxy];
  Connections& c = p.connections[a.backend];
  const Wires& wires = s_.network.wires();
  if (c.idle > 0 && s_.now() - c.used > FromMs(wires.idle_s * 1000)) {
    if (c.life == b.life()) b.Disconnect(c.idle);
    c.open -= std::exchange(c.idle, 0);
  }
  const Micros there = s_.network.Delay(s_.now(), p.zone, b.zone());
  ++t.holds;
  c.used = s_.now();
  if (c.idle > 0) {
    --c.idle;
    a.connected = true;
    a.life = c.life;
    s_.queue.Push(s_.now() + there, Rank::kBackend, kAtBackend, n, slot);
    return;
  }
  const Micros limit = FromMs(wires.connect_timeout_ms);
  const Micros back = s_.network.Delay(s_.now(), b.zone(), p.zone);
  const Micros up = static_cast<Micros>(wires.handshake_rtts * static_cast<double>(there + back));
  if (b.health() == Backend::Health::kSilent || up > limit) {
    s_.queue.Push(s_.now() + limit, Rank::kBackend, kNeverUp, n, slot);
    return;
  }
  if (b.health() == Backend::Health::kDown || !b.Accept()) {
    s_.queue.Push(s_.now() + std::min(limit, there + back), Rank::kBackend, kNeverUp, n, slot);
    return;
  }
  ++s_.metrics.connections;
  s_.LogOf(t.proxy, log::events::kConnectionOpened, {{log::fields::kBackend, a.backend}});
  if (c.life != b.life()) c = {0, 0, b.life(), s_.now()};
  ++c.open;
  a.connected = true;
  a.life = b.life();
  s_.queue.Push(s_.now() + up + there, Rank::kBackend, kAtBackend, n | 0x80000000u, slot);
}

void Service::OnNeverUp(std::uint32_t slot, std::uint32_t n) {
  if (s_.At(slot).attempts[n].out) {
    ++s_.metrics.connect_failed;
    End(slot, n, AttemptOutcome::kConnectFailure);
  }
  s_.Let(slot);
}

void Service::OnAtBackend(std::uint32_t slot, std::uint32_t attempt_and_fresh) {
  const std::uint32_t n = attempt_and_fresh & 0x7fffffffu;
  const bool fresh = attempt_and_fresh != n;
  Try& t = s_.At(slot);
  const Attempt& a = t.attempts[n];
  Backend& b = s_.backends[a.backend];
  if (b.health() == Backend::Health::kSilent) {
    s_.Tell(slot, "backend {} is silent", a.backend);
    silent_[a.backend].emplace_back(slot, n);
    return;
  }
  if (b.health() == Backend::Health::kDown || a.life != b.life())
    return Reply(slot, n, AttemptOutcome::kConnectionReset);
  const RequestClass& c = s_.scenario.classes[t.wish.cls];
  Job job;
  job.try_slot = slot;
  job.attempt = static_cast<std::uint8_t>(n);
  job.work_ms = static_cast<float>(s_.chance.Lognormal(t.wish.work_ms, c.attempt_noise) +
                                   (fresh ? b.machine().handshake_ms : 0));
  job.key = t.wish.key;
  double told_share = 0;
  if (b.Press(s_.now(), job.work_ms, Knew(t.proxy, a.backend), &told_share)) {
    s_.observer.FellOver(s_.now(), a.backend, told_share);
    StopBackend(a.backend, /*silent=*/false);
    return Reply(slot, n, AttemptOutcome::kConnectionReset);
  }
  if (s_.chance.Chance(b.fail_fast())) return Reply(slot, n, AttemptOutcome::kServerError);
  if (resets_ > 0 && s_.chance.Chance(resets_)) return Reply(slot, n, AttemptOutcome::kConnectionReset);
  Backend::Started started;
  switch (b.Arrive(s_.now(), job, &started)) {
    case Backend::Verdict::kStarted:
      return Run(a.backend, started);
    case Backend::Verdict::kWaits:
      return s_.Tell(slot, "waits at backend {}, {} held there", a.backend, b.held());
    case Backend::Verdict::kFull:
      ++s_.metrics.turned_away;
      return Reply(slot, n, AttemptOutcome::kBackendRejected);
  }
}

void Service::Run(std::uint32_t backend, const Backend::Started& started) {
  Backend& b = s_.backends[backend];
  const Job& job = b.job(started.slot);
  Try& t = s_.At(job.try_slot);
  s_.metrics.executed_ms += job.work_ms;
  t.attempts[job.attempt].ran_ms = job.work_ms;
  s_.Tell(job.try_slot, "begins to run at backend {}", backend);
  if (!s_.scenario.classes[t.wish.cls].safe)
    s_.observer.Ran(s_.now(), State::IdOf(job.try_slot, t), backend, ++t.runs);
  Micros ends = started.ends;
  if (poisonous_ && job.key == s_.day.poison)
    ends = s_.now() + static_cast<Micros>(kCrashAfter * static_cast<double>(ends - s_.now()));
  s_.queue.Push(ends, Rank::kBackend, kWorkDone, backend, WithLife(started.slot, b.life()));
}

void Service::OnWorkDone(std::uint32_t backend, std::uint64_t slot_and_life) {
  Backend& b = s_.backends[backend];
  if (b.life() != High(slot_and_life)) return;  // it died meanwhile
  Micros again = 0;
  const auto job = b.End(s_.now(), Low(slot_and_life), &again);
  if (!job) {
    if (again > 0) s_.queue.Push(again, Rank::kBackend, kWorkDone, backend, slot_and_life);
    return;
  }
  if (poisonous_ && job->key != 0 && job->key == s_.day.poison) {
    Reply(job->try_slot, job->attempt, AttemptOutcome::kConnectionReset);
    return on_crash(backend);
  }
  const Try& t = s_.At(job->try_slot);
  const double took = ToMs(s_.now() - t.attempts[job->attempt].sent);
  // What a request takes for each that is there: times those there now, what the next would take.
  recent_ms_[backend] += 0.2 * (took / (b.held() + 1) - recent_ms_[backend]);
  Reply(job->try_slot, job->attempt,
        s_.chance.Chance(b.machine().error_rate) ? AttemptOutcome::kServerError : AttemptOutcome::kSuccess);
  RunNext(backend);
}

void Service::RunNext(std::uint32_t backend) {
  while (const auto next = s_.backends[backend].StartNext(s_.now())) Run(backend, *next);
}

// The hold goes with the answer.
void Service::Reply(std::uint32_t slot, std::uint32_t n, AttemptOutcome outcome) {
  const Try& t = s_.At(slot);
  const Backend& b = s_.backends[t.attempts[n].backend];
  if (outcome == AttemptOutcome::kSuccess && lost_answers_ > 0 && s_.chance.Chance(lost_answers_)) {
    s_.Tell(slot, "the answer is lost");
    return s_.Let(slot);
  }
  const Micros delay = s_.network.Delay(s_.now(), b.zone(), s_.proxies[t.proxy].zone);
  s_.queue.Push(b.SaysAt(s_.now()) + delay, Rank::kBackend, kAnswer,
                n | static_cast<std::uint32_t>(outcome) << 8, slot);
}

void Service::OnAnswer(std::uint32_t slot, std::uint32_t attempt_and_outcome) {
  const std::uint32_t n = attempt_and_outcome & 0xff;
  const auto outcome = static_cast<AttemptOutcome>(attempt_and_outcome >> 8);
  Try& t = s_.At(slot);
  if (t.attempts[n].out && s_.proxies[t.proxy].alive && s_.proxies[t.proxy].life == t.proxy_life) {
    s_.metrics.errors += outcome == AttemptOutcome::kServerError;
    s_.metrics.resets += outcome == AttemptOutcome::kConnectionReset;
    End(slot, n, outcome);
  }
  s_.Let(slot);
}

void Service::OnTimeout(std::uint32_t slot, std::uint32_t n) {
  Try& t = s_.At(slot);
  if (!t.attempts[n].out || !s_.proxies[t.proxy].alive || s_.proxies[t.proxy].life != t.proxy_life) return;
  ++s_.metrics.timeouts;
  const Attempt& a = t.attempts[n];
  if (s_.backends[a.backend].machine().cancelled != "runs_on") {
    ++t.holds;
    const Micros there = s_.network.Delay(s_.now(), s_.proxies[t.proxy].zone, s_.backends[a.backend].zone());
    s_.queue.Push(s_.now() + there, Rank::kBackend, kGivenUp, n, slot);
  }
  End(slot, n, AttemptOutcome::kTimeout);
}

void Service::OnGivenUp(std::uint32_t slot, std::uint32_t n) {
  const Attempt& a = s_.At(slot).attempts[n];
  Backend& b = s_.backends[a.backend];
  if (b.health() == Backend::Health::kUp && a.life == b.life() &&
      b.Cancel(slot, static_cast<std::uint8_t>(n))) {
    s_.Tell(slot, "backend {} drops it", a.backend);
    s_.Let(slot);
    RunNext(a.backend);
  }
  s_.Let(slot);
}

// An attempt ends, as far as its proxy is concerned.
void Service::End(std::uint32_t slot, std::uint32_t n, AttemptOutcome outcome) {
  Try& t = s_.At(slot);
  Attempt& a = t.attempts[n];
  a.out = false;
  a.may_have_run = !ProvesItNeverRan(outcome);
  s_.Tell(slot, "attempt {} ends: {}", n, NameOf(outcome));
  s_.LogOf(t.proxy, log::events::kAttemptCompleted,
           {{log::fields::kRequest, State::IdOf(slot, t)},
            {"attempt", n},
            {log::fields::kBackend, a.backend},
            {log::fields::kOutcome, LogName(outcome)},
            {log::fields::kDurationMs, ToMs(s_.now() - a.sent)}});
  Release(t.proxy, a,
          outcome == AttemptOutcome::kSuccess || outcome == AttemptOutcome::kServerError ||
              outcome == AttemptOutcome::kBackendRejected);
  if (outcome == AttemptOutcome::kSuccess && !t.final) {
    s_.metrics.useful_ms += a.ran_ms;
    Conclude(slot, Final::kServed, "", Duration(0));
  }
  AttemptCompleted end;
  end.request = State::IdOf(slot, t);
  end.attempt = static_cast<int>(n);
  end.backend = a.backend;
  end.request_completed = t.final;
  end.outcome = outcome;
  end.duration = Duration(ToMs(s_.now() - a.sent));
  Feed(t.proxy, end);
}

void Service::Release(std::uint32_t proxy, const Attempt& a, bool reusable) {
  if (!a.connected) return;
  const auto found = s_.proxies[proxy].connections.find(a.backend);
  if (found == s_.proxies[proxy].connections.end() || found->second.life != a.life) return;
  if (reusable) {
    ++found->second.idle;
  } else {
    --found->second.open;
    if (s_.backends[a.backend].life() == a.life) s_.backends[a.backend].Disconnect();
  }
}

// ---- probes -------------------------------------------------------------------------------------------

void Service::Probe(std::uint32_t proxy, std::uint32_t backend) {
  ++s_.metrics.probes;
  const Micros there = s_.network.Delay(s_.now(), s_.proxies[proxy].zone, s_.backends[backend].zone());
  s_.queue.Push(s_.now() + there, Rank::kBackend, kProbe, proxy, WithLife(backend, s_.proxies[proxy].life));
}

// Answered beside the queue, but not by one that is frozen or away: no answer comes then.
void Service::OnProbe(std::uint32_t proxy, std::uint64_t backend_and_life) {
  const std::uint32_t backend = Low(backend_and_life);
  const Backend& b = s_.backends[backend];
  if (b.health() != Backend::Health::kUp || b.frozen(s_.now())) return;
  s_.metrics.executed_ms += kProbeWorkMs;
  s_.metrics.useful_ms += kProbeWorkMs;
  std::uint64_t index = answers_.size();
  if (free_answers_.empty()) {
    answers_.emplace_back();
  } else {
    index = free_answers_.back();
    free_answers_.pop_back();
  }
  answers_[index] = {High(backend_and_life), backend, b.held(), recent_ms_[backend] * (b.held() + 1)};
  const Micros back = s_.network.Delay(s_.now(), b.zone(), s_.proxies[proxy].zone);
  s_.queue.Push(s_.now() + back, Rank::kBackend, kProbeBack, proxy, index);
}

void Service::OnProbeBack(std::uint32_t proxy, std::uint64_t index) {
  const Answer answer = answers_[index];
  free_answers_.push_back(index);
  ProxyHost& p = s_.proxies[proxy];
  if (p.alive && p.life == answer.life)
    p.policy->OnProbe(s_.time(), answer.backend, answer.in_flight, answer.latency_ms);
}

// ---- backends -----------------------------------------------------------------------------------------

void Service::StopBackend(std::uint32_t backend, bool silent) {
  const std::vector<Job> held =
      s_.backends[backend].Die(silent ? Backend::Health::kSilent : Backend::Health::kDown);
  for (const Job& job : held) {
    if (silent) {
      silent_[backend].emplace_back(job.try_slot, job.attempt);
    } else {
      Reply(job.try_slot, job.attempt, AttemptOutcome::kConnectionReset);
    }
  }
}

void Service::StartBackend(std::uint32_t backend) {
  s_.backends[backend].Start(s_.now());
  recent_ms_[backend] = 0;
  // A machine that was silent answers what is still sent to it, or tried again, with a reset.
  for (const auto& [slot, attempt] : std::exchange(silent_[backend], {}))
    Reply(slot, attempt, AttemptOutcome::kConnectionReset);
}

bool Service::Knew(std::uint32_t proxy, std::uint32_t backend) const {
  return s_.proxies[proxy].known_start.contains(backend) &&
         s_.proxies[proxy].known_start.at(backend) == s_.backends[backend].up_since();
}

double Service::AnswerIn(std::uint32_t proxy, BackendId backend, double work, std::uint64_t key) const {
  const Backend& b = s_.backends[backend];
  if (b.health() != Backend::Health::kUp || b.fail_fast() > 0.2) return -1;
  if (poisonous_ && key != 0 && key == s_.day.poison) return -1;
  const int here = s_.proxies[proxy].zone;
  if (s_.network.IsCut(s_.now(), here, b.zone()) || s_.network.IsCut(s_.now(), b.zone(), here)) return -1;
  const double cold = b.Warmth(s_.now());
  const double there = s_.network.Mean(here, b.zone());
  return 2 * there + b.DoneIn(s_.now(), work, key) / std::max(0.2, cold);
}

}  // namespace copperpoint::simulation
