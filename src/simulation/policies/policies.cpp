// SPDX-License-Identifier: Apache-2.0
//
// The policies by name: the program's own module; rivals with their ways of repeating; the oracle.
#include <algorithm>
#include <map>
#include <stdexcept>
#include <unordered_map>
#include <utility>

#include "simulation/policies/gates.h"
#include "simulation/policies/pickers.h"
#include "simulation/policies/policy.h"

namespace copperpoint::simulation {
namespace {

class Ours : public Policy {
 public:
  explicit Ours(PolicyContext context) : balancer_(std::move(context.settings), context.seed) {}
  void Handle(TimePoint now, const Event& event, std::vector<Action>* actions) override {
    balancer_.Handle(now, event, actions);
  }

 private:
  Balancer balancer_;
};

// What all but our own module share: the list of backends and the requests open.
class Listing : public Policy {
 public:
  explicit Listing(PolicyContext context) : context_(std::move(context)) {}

  void Handle(TimePoint now, const Event& event, std::vector<Action>* actions) override {
    now_ = now;
    out_ = actions;
    std::visit([this](const auto& e) { On(e); }, event);
    out_ = nullptr;
  }

 protected:
  struct Open {
    RequestReceived submit;
    std::vector<int> tried;  // indices
    bool may_have_run = false, out = false;
  };

  virtual int Pick(const Open& open) = 0;
  virtual bool MayRepeat() { return false; }
  virtual bool Admits(const RequestReceived&) { return true; }
  virtual void Answered(const Open&, double) {}
  virtual void First() {}
  virtual void Grown(std::size_t) {}
  virtual void Sent(int) {}
  virtual void Ended(int, bool, double) {}

  void On(const EndpointUpdate& e) {
    if (context_.settings.polls_endpoints &&
        (e.kind == EndpointUpdateKind::kCached || e.kind == EndpointUpdateKind::kFailed)) {
      // Jitter keeps proxies from calling in step.
      const Duration wait(
          e.kind == EndpointUpdateKind::kCached ? 0 : 100 + static_cast<double>(context_.seed % 900));
      out_->push_back(SetTimer{now_ + wait, kAsk});
    }
    if (e.kind == EndpointUpdateKind::kFailed) return;
    if (e.kind != EndpointUpdateKind::kIncremental) {
      for (Candidate& c : all_) c.listed = false;
    }
    for (const Endpoint& entry : e.endpoints) {
      const auto [found, added] = index_.try_emplace(entry.backend, static_cast<int>(all_.size()));
      if (added) all_.push_back({entry.backend, false, 0});
      all_[found->second].listed = entry.state == EndpointState::kReady;
    }
    Grown(all_.size());
    listed_.clear();
    for (std::size_t i = 0; i < all_.size(); ++i) {
      if (all_[i].listed) listed_.push_back(static_cast<int>(i));
    }
  }

  void On(const RequestReceived& e) {
    if (!Admits(e)) {
      // The advice of our own module: to stay away for as long as the client would come back.
      const Settings& s = context_.settings;
      const Duration deadline = s.classes[static_cast<std::size_t>(e.request_class)].deadline;
      out_->push_back(RejectRequest{e.request, std::min(s.max_retry_after, deadline)});
      return;
    }
    First();
    Open& open = open_[e.request];
    open.submit = e;
    Send(open);
  }

  void On(const AttemptCompleted& e) {
    const auto found = open_.find(e.request);
    const auto at = index_.find(e.backend);
    if (at != index_.end()) {
      --all_[at->second].in_flight;
      --out_now_;
      if (e.outcome != AttemptOutcome::kNotSent && e.outcome != AttemptOutcome::kCancelled)
        Ended(at->second, e.outcome == AttemptOutcome::kSuccess, e.duration.count());
    }
    if (found == open_.end()) return;
    Open& open = found->second;
    open.out = false;
    if (e.outcome == AttemptOutcome::kSuccess || e.outcome == AttemptOutcome::kTimeout)
      Answered(open, e.duration.count());
    if (e.request_completed) {
      open_.erase(found);
      return;
    }
    open.may_have_run |= e.outcome != AttemptOutcome::kBackendRejected &&
                         e.outcome != AttemptOutcome::kConnectFailure &&
                         e.outcome != AttemptOutcome::kNotSent;
    const bool allowed = Safe(open) || !open.may_have_run;
    if (allowed && now_ < open.submit.deadline &&
        static_cast<int>(open.tried.size()) < context_.settings.max_attempts && MayRepeat())
      return Send(open);
    End(open);
  }

  void On(const ClientDisconnected& e) { open_.erase(e.request); }
  void On(const TimerFired& e) {
    if (e.token == kAsk) out_->push_back(PollEndpoints{});
  }
  void On(const ResponseStarted&) {}
  void On(const StateRestored&) {}
  void On(const SubsetPosition&) {}

  bool Safe(const Open& open) const {
    return context_.settings.classes[open.submit.request_class].idempotency == Idempotency::kIdempotent;
  }
  void Send(Open& open) {
    const int index = Pick(open);
    if (index < 0) return End(open);
    open.tried.push_back(index);
    open.out = true;
    ++all_[index].in_flight;
    ++out_now_;
    Sent(index);
    out_->push_back(StartAttempt{open.submit.request, all_[index].id, Duration(0)});
  }
  void End(Open& open) {
    const RequestId id = open.submit.request;
    if (Safe(open) || !open.may_have_run) {
      out_->push_back(RejectRequest{id, Duration(0)});
    } else {
      out_->push_back(FailRequest{id});
    }
    open_.erase(id);
  }

  static constexpr std::uint64_t kAsk = 1;
  PolicyContext context_;
  TimePoint now_{};
  std::vector<Action>* out_ = nullptr;
  int out_now_ = 0;  // attempts
  std::vector<Candidate> all_;
  std::vector<int> listed_;
  std::unordered_map<BackendId, int> index_;
  std::unordered_map<RequestId, Open> open_;
};

// How often a rival repeats: up to `most` times, or within a budget that first sends earn (a fifth of them,
// as in Finagle and Linkerd).
struct Repeats {
  int most = 0;
  bool budget = false;
};
constexpr Repeats kBudget{0, true};

class Rival : public Listing {
 public:
  Rival(const std::string& picker, Repeats repeats, std::unique_ptr<Gate> gate, PolicyContext context)
      : Listing(std::move(context)), repeats_(repeats), gate_(std::move(gate)) {
    picker_ = MakePicker(picker, context_.seed, [this](int i) {
      if (context_.probe) context_.probe(all_[i].id);
    });
  }
  void OnProbe(TimePoint now, BackendId server, int in_flight, double latency_ms) override {
    const auto found = index_.find(server);
    if (found != index_.end()) picker_->Probed(now, found->second, in_flight, latency_ms);
  }

 private:
  int Pick(const Open& open) override {
    repeated_ = static_cast<int>(open.tried.size());
    return picker_->Pick(now_, all_, listed_, open.tried);
  }
  bool MayRepeat() override {
    if (repeats_.budget) {
      if (tokens_ < 1) return false;
      tokens_ -= 1;
      return true;
    }
    return repeats_.most > 0 && repeated_ < repeats_.most;
  }
  bool Admits(const RequestReceived& e) override { return !gate_ || gate_->Admits(now_, e, out_now_); }
  void Answered(const Open& open, double took) override {
    if (gate_) gate_->Answered(now_, took, open.submit.estimated_work_ms, out_now_);
  }
  void First() override { tokens_ = std::min(100.0, tokens_ + 0.2); }
  void Grown(std::size_t n) override { picker_->Resize(n); }
  void Sent(int index) override { picker_->Sent(now_, index); }
  void Ended(int index, bool ok, double took) override { picker_->Ended(now_, index, ok, took); }

  Repeats repeats_;
  std::unique_ptr<Picker> picker_;
  std::unique_ptr<Gate> gate_;  // none: all are admitted
  double tokens_ = 10;
  int repeated_ = 0;
};

// Sees the truth: sends to the backend whose answer would be back first, and refuses at once what no backend
// can answer in time. It can't undo what was sent, and does not know what comes next: a strong figure to hold
// others against, not a proof of the best. On large fleets it looks at a sample.
class Oracle : public Listing {
 public:
  explicit Oracle(PolicyContext context) : Listing(std::move(context)), random_(context_.seed, "oracle") {}

 private:
  static constexpr std::size_t kMostLooked = 64;
  int Pick(const Open& open) override {
    if (listed_.empty()) return -1;
    const bool sample = listed_.size() > kMostLooked;
    const std::size_t looks = sample ? kMostLooked : listed_.size();
    const ClassSettings& c = context_.settings.classes[open.submit.request_class];
    const auto me = static_cast<std::uint32_t>(context_.settings.proxy_index);
    int best = -1;
    double best_in = 0;
    for (std::size_t k = 0; k < looks; ++k) {
      const int i = sample ? listed_[random_.Below(listed_.size())] : listed_[k];
      const double in =
          context_.truth->AnswerIn(me, all_[i].id, open.submit.estimated_work_ms, open.submit.key);
      if (in < 0 || (best >= 0 && in >= best_in)) continue;
      best = i;
      best_in = in;
    }
    return best >= 0 && best_in > c.latency_objective.count() ? -1 : best;
  }
  bool MayRepeat() override { return true; }
  Random random_;
};

std::invalid_argument Unknown(const std::string& name) {
  std::string known = "ours, oracle";
  for (const std::string& rival : RivalNames()) known += ", " + rival;
  return std::invalid_argument(
      "no policy is named '" + name + "'; known: " + known +
      "; rivals also with +3 or +budget for their repeats, or a gate and that budget: "
      "+gradient, +codel, +dagor, +breakwater");
}

}  // namespace

std::unique_ptr<Policy> MakePolicy(const std::string& name, PolicyContext context) {
  if (name == "ours") return std::make_unique<Ours>(std::move(context));
  if (name == "oracle") return std::make_unique<Oracle>(std::move(context));
  const std::size_t plus = name.find('+');
  const std::string picker = name.substr(0, plus),
                    suffix = plus == std::string::npos ? "" : name.substr(plus);
  static const std::map<std::string, Repeats> kSuffixes = {
      {"", {0, false}}, {"+3", {3, false}}, {"+budget", kBudget}};
  const auto names = RivalNames();
  if (std::find(names.begin(), names.end(), picker) == names.end()) throw Unknown(name);
  const auto repeats = kSuffixes.find(suffix);
  if (repeats != kSuffixes.end())
    return std::make_unique<Rival>(picker, repeats->second, nullptr, std::move(context));
  const auto gates = GateNames();
  if (std::find(gates.begin(), gates.end(), suffix.substr(1)) == gates.end()) throw Unknown(name);
  auto gate = MakeGate(suffix.substr(1), context.settings);
  return std::make_unique<Rival>(picker, kBudget, std::move(gate), std::move(context));
}

std::vector<std::string> RivalNames() { return PickerNames(); }

}  // namespace copperpoint::simulation
