// SPDX-License-Identifier: Apache-2.0
#include "fault_testing/virtual.h"

#include <algorithm>
#include <deque>
#include <memory>
#include <unordered_map>
#include <utility>

#include "fault_testing/conditions.h"
#include "fault_testing/judge.h"
#include "fault_testing/links.h"
#include "membership/membership.h"
#include "simulation/core/event_queue.h"
#include "simulation/core/random.h"
#include "subsetting/ring_position.h"

namespace copperpoint::fault_testing {
namespace {

using membership::Time;
using simulation::EventPriority;
using simulation::FromMs;
using simulation::Micros;

constexpr char kCluster[] = "rig", kKey[] = "a key that only the rig has";
constexpr double kExchangeRtts = 1.5;      // before the first frame is there
constexpr Micros kReplaceTakes = 300'000;  // from one process's end to the next one's start
constexpr std::size_t kSocketHolds = 200;  // datagrams that wait for a process that stands still
constexpr int kSubset = 8;                 // backends that a proxy keeps to, as the module's least

double Seconds(Micros at) { return static_cast<double>(at) / 1e6; }

class VirtualFleet {
 public:
  VirtualFleet(const Plan& plan, const VirtualOptions& options)
      : plan_(plan),
        options_(options),
        random_(options.seed, "network"),
        links_(plan, options.seed),
        conditions_(plan),
        judge_(plan, options.seed,
               static_cast<double>(options.membership_options.contact_timeout.count()) / 1e6),
        nodes_(static_cast<std::size_t>(plan.members)) {}

  Outcome Play();

 private:
  enum Kind : std::uint32_t {
    kWake,
    kDatagram,
    kAsked,
    kAnswered,
    kBegin,
    kEnd,
    kStop,
    kContinue,
    kStart,
    kSnapshot
  };
  struct Message {
    int from = 0, to = 0;
    std::uint64_t life = 0;  // of the process that it is for, where it is an answer
    std::string bytes;
  };
  struct Node {
    std::unique_ptr<membership::Membership> view;
    std::uint64_t life = 0;  // counts processes
    bool stopped = false;
    std::deque<std::pair<Kind, std::uint64_t>> waiting;  // what came while it stood still
    Micros wake = simulation::kNeverMicros;
    Micros ahead = 0;  // its clock, of virtual time
    subsetting::RingPosition positions;
    int first = -1;  // backend of its subset; below 0: not known yet
    std::uint64_t hash = 0;
    bool counted = false;  // in `hashes_`
    std::uint64_t out_before = 0, in_before = 0;
    std::uint64_t sent = 0, received = 0, sent_bytes = 0, received_bytes = 0;  // of lives that are over
  };

  Node& At(int member) { return nodes_[static_cast<std::size_t>(member)]; }
  Time Clock(const Node& node) const { return Time(queue_.now() + node.ahead); }
  void Start(int member, bool at_once = false);
  void End(int member, bool with_a_word);
  void Settle();
  void Replace(int member);
  void Run(const simulation::ScheduledEvent& due);
  void Deliver(Kind kind, std::uint64_t message);
  void After(int member);
  void Datagram(int from, const std::string& to, std::string bytes);
  void Exchange(int from, const std::string& to, std::string bytes);
  Micros Delay() { return FromMs(plan_.network.delay_ms * random_.Lognormal(1, plan_.network.jitter)); }
  std::uint64_t Keep(Message message);
  int MemberAt(const std::string& address) const {
    const auto found = addresses_.find(address);
    return found == addresses_.end() ? -1 : found->second;
  }
  void Recount(int member);
  void Place(Node& node);
  std::vector<int> Holders() const;  // by backend, how many keep to it
  void BeginFault(std::size_t index);
  void EndFault(std::size_t index);
  void Meet(std::string_view event, std::string_view member = {});
  void Snapshot(bool close);
  std::vector<std::string> Differences() const;  // of views from the truth, a line each

  const Plan& plan_;
  const VirtualOptions& options_;
  simulation::Random random_;
  Links links_;
  Conditions conditions_;
  std::vector<std::pair<const Fault*, std::vector<bool>>> slow_starts_;  // in force
  simulation::EventQueue queue_;
  Judge judge_;
  membership::RecordPool records_;
  std::vector<Node> nodes_;
  std::unordered_map<std::string, int> addresses_;
  std::vector<std::string> seeds_;
  std::vector<Message> messages_;
  std::vector<std::uint64_t> free_;
  std::vector<std::vector<int>> befalls_;  // by fault
  std::unordered_map<std::uint64_t, int> hashes_;
  int up_ = 0;
  bool settling_ = false;
  bool divides_ = false;            // the backends, by the view
  std::uint64_t changed_over_ = 0;  // connections that members changed to other backends
  double rest_from_ = 0;
  std::uint64_t events_ = 0, suspicions_ = 0, refutations_ = 0, healed_ = 0;
  nlohmann::ordered_json timeline_ = nlohmann::ordered_json::array();
  std::size_t last_views_ = 0;
};

std::uint64_t VirtualFleet::Keep(Message message) {
  if (free_.empty()) {
    messages_.push_back(std::move(message));
    return messages_.size() - 1;
  }
  const std::uint64_t at = free_.back();
  free_.pop_back();
  messages_[at] = std::move(message);
  return at;
}

void VirtualFleet::Start(int member, bool at_once) {
  Node& node = At(member);
  if (node.view) return;
  for (const auto& [fault, whom] : slow_starts_) {
    if (at_once || !whom[static_cast<std::size_t>(member)]) continue;
    return queue_.Push(queue_.now() + FromMs(fault->amount * 1000), EventPriority::kControl, kStart,
                       static_cast<std::uint32_t>(member), 1);
  }
  ++node.life;
  membership::Record self;
  self.set_name(MemberName(member));
  self.set_address(MemberName(member) + ":1");
  self.set_zone(ZoneName(plan_, member));
  self.set_program("0.1.0");
  self.set_state(static_cast<std::uint32_t>(membership::MemberState::kServing));
  simulation::Random draw(options_.seed, "member", static_cast<std::uint64_t>(member) << 20 | node.life);
  node.view =
      std::make_unique<membership::Membership>(options_.membership_options, peers::FrameCodec(kCluster, kKey),
                                               std::move(self), draw.Bits(), Clock(node), &records_);
  node.stopped = false;
  node.wake = simulation::kNeverMicros;
  node.positions = subsetting::RingPosition();
  node.first = -1;
  ++up_;
  judge_.Started(Seconds(queue_.now()), member);
  if (settling_) return;
  node.view->Join(Clock(node), seeds_);
  After(member);
}

void VirtualFleet::Settle() {
  std::vector<std::shared_ptr<const membership::Record>> all;
  for (const Node& node : nodes_)
    if (node.view) all.push_back(std::make_shared<membership::Record>(node.view->self()));
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    if (!nodes_[i].view) continue;
    nodes_[i].view->Settle(Time(0), all);
    nodes_[i].view->Join(Time(0), seeds_);
  }
  for (std::size_t i = 0; i < nodes_.size(); ++i)
    if (nodes_[i].view) After(static_cast<int>(i));
}

void VirtualFleet::End(int member, bool with_a_word) {
  Node& node = At(member);
  if (!node.view) return;
  if (with_a_word) {
    node.view->Leave(Clock(node));
    for (auto& datagram : node.view->Take().datagrams)
      Datagram(member, datagram.to, std::move(datagram.bytes));
  }
  const membership::Counters& counters = node.view->counters();
  node.sent += counters.sent;
  node.received += counters.received;
  node.sent_bytes += counters.sent_bytes;
  node.received_bytes += counters.received_bytes;
  for (std::size_t i = 1; i < counters.rejected.size(); ++i) judge_.Refusals(counters.rejected[i]);
  node.view.reset();
  for (const auto& [kind, message] : node.waiting) free_.push_back(message);
  node.waiting.clear();
  --up_;
  Recount(member);
  judge_.Ended(Seconds(queue_.now()), member, with_a_word);
}

// How many views there are among the living, and whether the one is true.
void VirtualFleet::Recount(int member) {
  Node& node = At(member);
  const bool counts = node.view != nullptr;
  const std::uint64_t hash = counts ? node.view->members().hash() : 0;
  if (node.counted == counts && node.hash == hash) return;
  if (node.counted && --hashes_[node.hash] == 0) hashes_.erase(node.hash);
  if (counts) ++hashes_[hash];
  node.counted = counts;
  node.hash = hash;
  const bool one =
      hashes_.size() == 1 && counts && node.view->members().living().size() == static_cast<std::size_t>(up_);
  judge_.Agreed(Seconds(queue_.now()), one);
  if (one && up_ == plan_.members) Meet("settled");
  if (options_.record_timeline && hashes_.size() != last_views_) {
    last_views_ = hashes_.size();
    timeline_.push_back({Seconds(queue_.now()), last_views_});
  }
}

void VirtualFleet::After(int member) {
  Node& node = At(member);
  membership::Output output = node.view->Take();
  for (auto& datagram : output.datagrams) Datagram(member, datagram.to, std::move(datagram.bytes));
  for (auto& exchange : output.exchanges) Exchange(member, exchange.to, std::move(exchange.bytes));
  for (const membership::Event& event : output.events) {
    ++events_;
    suspicions_ += event.kind == membership::Event::Kind::kSuspected;
    refutations_ += event.kind == membership::Event::Kind::kRefuted;
    healed_ += event.kind == membership::Event::Kind::kHealed;
    Meet(std::string("fleet_") + membership::NameOf(event.kind), event.name);
    if (event.kind == membership::Event::Kind::kDead)
      judge_.SaidDead(Seconds(queue_.now()), member, MemberAt(event.name + ":1"));
  }
  Recount(member);
  if (divides_) Place(node);
  const Time next = std::min(node.view->next(), node.positions.next());
  if (next < Time(simulation::kNeverMicros / 4) && next.count() - node.ahead < node.wake) {
    node.wake = std::max<Micros>(next.count() - node.ahead, queue_.now() + 1);
    queue_.Push(node.wake, EventPriority::kTimeout, kWake, static_cast<std::uint32_t>(member), node.life);
  }
}

void VirtualFleet::Place(Node& node) {
  const std::optional<double> turn = node.positions.Update(*node.view, Clock(node));
  if (!turn) return;
  const int backends = plan_.service.backends;
  const int before = std::exchange(node.first, static_cast<int>(*turn * backends));
  if (before < 0) return;
  const int apart = std::abs(node.first - before);
  changed_over_ += static_cast<std::uint64_t>(
      std::min({kSubset, apart, backends - apart, std::max(0, backends - kSubset)}));
}

std::vector<int> VirtualFleet::Holders() const {
  std::vector<int> holders(static_cast<std::size_t>(plan_.service.backends));
  for (const Node& node : nodes_) {
    if (!node.view || node.first < 0) continue;
    for (int k = 0; k < std::min(kSubset, plan_.service.backends); ++k)
      ++holders[static_cast<std::size_t>(node.first + k) % holders.size()];
  }
  return holders;
}

void VirtualFleet::Datagram(int from, const std::string& to, std::string bytes) {
  const int target = MemberAt(to);
  if (target < 0 || random_.Chance(plan_.network.loss)) return;
  const Links::Passage passage = links_.Pass(Seconds(queue_.now()), from, target, /*stream=*/false, &bytes);
  if (!passage.passes) return;
  for (int i = 0; i < passage.copies; ++i)
    queue_.Push(queue_.now() + Delay() + FromMs(passage.more_ms), EventPriority::kClient, kDatagram, 0,
                Keep({from, target, 0, bytes}));
}

void VirtualFleet::Exchange(int from, const std::string& to, std::string bytes) {
  const int target = MemberAt(to);
  if (target < 0) return;
  const Links::Passage there = links_.Pass(Seconds(queue_.now()), from, target, /*stream=*/true, &bytes);
  const Links::Passage back = links_.Pass(Seconds(queue_.now()), target, from, /*stream=*/true, &bytes);
  if (!there.passes || !back.passes) return;
  const auto delay = static_cast<Micros>(2 * kExchangeRtts * static_cast<double>(Delay()));
  queue_.Push(queue_.now() + delay + FromMs(there.more_ms + back.more_ms), EventPriority::kClient, kAsked, 0,
              Keep({from, target, At(from).life, std::move(bytes)}));
}

void VirtualFleet::Deliver(Kind kind, std::uint64_t at) {
  Message& message = messages_[at];
  const int member = message.to;
  Node& node = At(member);
  if (!node.view) return free_.push_back(at);
  if (node.stopped) {
    if (kind == kDatagram && node.waiting.size() >= kSocketHolds) return free_.push_back(at);
    node.waiting.emplace_back(kind, at);
    return;
  }
  const Time now = Clock(node);
  if (kind == kDatagram) {
    node.view->OnDatagram(now, MemberName(message.from) + ":1", message.bytes);
  } else if (kind == kAsked) {
    std::string answer = node.view->OnExchange(now, message.bytes);
    const int asker = message.from;
    const std::uint64_t life = message.life;
    if (!answer.empty())
      queue_.Push(queue_.now() + Delay(), EventPriority::kClient, kAnswered, 0,
                  Keep({member, asker, life, std::move(answer)}));
  } else if (message.life == node.life) {
    node.view->OnReply(now, message.bytes);
  }
  messages_[at].bytes.clear();
  free_.push_back(at);
  After(member);
}

void VirtualFleet::Replace(int member) {
  End(member, /*with_a_word=*/true);
  queue_.Push(queue_.now() + kReplaceTakes, EventPriority::kControl, kStart,
              static_cast<std::uint32_t>(member), 0);
}

void VirtualFleet::BeginFault(std::size_t index) {
  const Fault& fault = plan_.faults[index];
  const std::vector<int>& members = befalls_[index];
  if (!fault.when.empty()) {
    judge_.Begun(Seconds(queue_.now()), fault);
    if (fault.for_s > 0 && fault.kind != FaultKind::kStop && fault.kind != FaultKind::kStarve)
      queue_.Push(queue_.now() + FromMs(fault.for_s * 1000), EventPriority::kControl, kEnd, 0, index);
  }
  if (fault.kind == FaultKind::kSlowStart) {
    std::vector<bool> whom(nodes_.size());
    for (const int member : members) whom[static_cast<std::size_t>(member)] = true;
    slow_starts_.emplace_back(&fault, std::move(whom));
    return;
  }
  if (fault.OnLinks()) return links_.Begin(fault);
  if (fault.OnService()) return;  // there are no backends in virtual time
  for (const int member : members) {
    switch (fault.kind) {
      case FaultKind::kKill:
        End(member, false);
        break;
      case FaultKind::kLeave:
        End(member, true);
        break;
      case FaultKind::kReplace:
        if (fault.at_s <= 0) break;
        Replace(member);
        break;
      case FaultKind::kStart:
        Start(member);
        break;
      case FaultKind::kStop:
        queue_.Push(queue_.now(), EventPriority::kControl, kStop, static_cast<std::uint32_t>(member), 0);
        if (fault.for_s > 0)
          queue_.Push(queue_.now() + FromMs(fault.for_s * 1000), EventPriority::kControl, kContinue,
                      static_cast<std::uint32_t>(member), 0);
        break;
      case FaultKind::kJump:
        At(member).ahead += FromMs(fault.amount * 1000);
        At(member).wake = simulation::kNeverMicros;
        if (At(member).view && !At(member).stopped) After(member);
        break;
      case FaultKind::kChange:
      case FaultKind::kAbort:
        break;  // rollout simulate plays them in virtual time
      default:  // starve
        Fault from_now = fault;
        from_now.at_s = Seconds(queue_.now());
        for (const auto& [from, to] : StopsOf(plan_, from_now, random_)) {
          queue_.Push(FromMs(from * 1000), EventPriority::kControl, kStop, static_cast<std::uint32_t>(member),
                      0);
          queue_.Push(FromMs(to * 1000), EventPriority::kControl, kContinue,
                      static_cast<std::uint32_t>(member), 0);
        }
    }
  }
}

void VirtualFleet::EndFault(std::size_t index) {
  const Fault& fault = plan_.faults[index];
  if (fault.OnLinks()) return links_.End(fault);
  if (fault.kind == FaultKind::kSlowStart)
    std::erase_if(slow_starts_, [&](const auto& one) { return one.first == &fault; });
  if (fault.kind == FaultKind::kReplace) {
    for (const int member : befalls_[index]) Replace(member);
  }
  if (fault.kind == FaultKind::kKill || fault.kind == FaultKind::kLeave)
    for (const int member : befalls_[index]) Start(member);
}

void VirtualFleet::Meet(std::string_view event, std::string_view member) {
  for (const std::size_t index : conditions_.Met(event, member))
    queue_.Push(queue_.now() + FromMs(plan_.faults[index].at_s * 1000), EventPriority::kControl, kBegin, 0,
                index);
}

void VirtualFleet::Snapshot(bool close) {
  for (Node& node : nodes_) {
    const membership::Counters now = node.view ? node.view->counters() : membership::Counters();
    const std::uint64_t out = node.sent_bytes + now.sent_bytes + 28 * (node.sent + now.sent);
    const std::uint64_t in = node.received_bytes + now.received_bytes + 28 * (node.received + now.received);
    if (!close) {
      node.out_before = out;
      node.in_before = in;
    } else if (const double span = plan_.length_s - rest_from_; span > 0) {
      judge_.Bytes(static_cast<double>(out - node.out_before) / span,
                   static_cast<double>(in - node.in_before) / span);
    }
  }
}

void VirtualFleet::Run(const simulation::ScheduledEvent& due) {
  const auto member = static_cast<int>(due.target);
  switch (due.kind) {
    case kWake: {
      Node& node = At(member);
      if (!node.view || node.life != due.argument || node.wake != due.at) return;
      if (node.stopped) return;  // it looks at its timers when it goes on
      node.wake = simulation::kNeverMicros;
      if (node.view->next() <= Clock(node)) node.view->OnTick(Clock(node));
      return After(member);
    }
    case kDatagram:
    case kAsked:
    case kAnswered:
      return Deliver(static_cast<Kind>(due.kind), due.argument);
    case kBegin:
      return BeginFault(due.argument);
    case kEnd:
      return EndFault(due.argument);
    case kStart:
      return Start(member, /*at_once=*/due.argument != 0);
    case kStop:
      if (At(member).view && !std::exchange(At(member).stopped, true))
        judge_.Stopped(Seconds(due.at), member);
      return;
    case kContinue: {
      Node& node = At(member);
      if (!node.view || !std::exchange(node.stopped, false)) return;
      judge_.Continued(Seconds(due.at), member);
      // Timers and sockets are due at once, and a loop may look at either first. What waits comes oldest
      // first.
      if (random_.Chance(0.5)) {
        node.view->OnTick(Clock(node));
        After(member);
      }
      auto waiting = std::exchange(node.waiting, {});
      for (const auto& [kind, message] : waiting) {
        if (node.view) Deliver(kind, message);
      }
      node.wake = simulation::kNeverMicros;
      node.view->OnTick(Clock(node));
      return After(member);
    }
    default:
      return Snapshot(/*close=*/false);
  }
}

// What views differ in from the truth, for the story of a run that did not settle.
std::vector<std::string> VirtualFleet::Differences() const {
  constexpr std::size_t kMostLines = 12;
  std::vector<std::string> lines;
  for (const Node& node : nodes_) {
    if (!node.view) continue;
    std::string wrong;
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      const membership::MemberTable& members = node.view->members();
      const std::string name = MemberName(static_cast<int>(i));
      const int at = members.Find(name);
      const bool thinks = at >= 0 && members[at].living(), lives = nodes_[i].view != nullptr;
      if (thinks != lives) {
        wrong += " " + name + (lives ? (at < 0 ? " is unknown," : " is gone,") : " lives,");
      } else if (lives && members[at].record->incarnation() != nodes_[i].view->self().incarnation()) {
        wrong += " " + name + " is an older process,";
      } else if (lives &&
                 members[at].record->refutation_number() != nodes_[i].view->self().refutation_number()) {
        wrong += " " + name + " has another incarnation,";
      }
    }
    if (wrong.empty()) continue;
    wrong.pop_back();
    lines.push_back("to " + node.view->self().name() + (node.view->stopped() ? " (silent)" : "") + wrong);
    if (lines.size() >= kMostLines) break;
  }
  return lines;
}

Outcome VirtualFleet::Play() {
  for (int i = 0; i < plan_.members; ++i) addresses_[MemberName(i) + ":1"] = i;
  for (int i = 0; i < std::min(plan_.seeds, plan_.members); ++i) seeds_.push_back(MemberName(i) + ":1");
  std::vector<bool> late(nodes_.size());
  for (std::size_t i = 0; i < plan_.faults.size(); ++i) {
    const Fault& fault = plan_.faults[i];
    befalls_.push_back(fault.OnService() ? std::vector<int>() : Chosen(plan_, fault.who, options_.seed));
    if (fault.kind == FaultKind::kStart)
      for (const int member : befalls_[i]) late[static_cast<std::size_t>(member)] = true;
    if (!fault.when.empty()) continue;
    queue_.Push(FromMs(fault.at_s * 1000), EventPriority::kControl, kBegin, 0, i);
    if (fault.for_s > 0 && fault.kind != FaultKind::kStop && fault.kind != FaultKind::kStarve)
      queue_.Push(FromMs((fault.at_s + fault.for_s) * 1000), EventPriority::kControl, kEnd, 0, i);
  }
  for (int i = 0; i < plan_.members; ++i) {
    if (late[static_cast<std::size_t>(i)]) continue;
    if (options_.settled) {
      settling_ = true;
      Start(i);
    } else {
      queue_.Push(FromMs(random_.Between(0, plan_.start_spread_s) * 1000), EventPriority::kControl, kStart,
                  static_cast<std::uint32_t>(i), 0);
    }
  }
  if (std::exchange(settling_, false)) Settle();
  rest_from_ = LastFaultOver(plan_);
  for (const Property& property : plan_.properties) {
    if (property.kind == PropertyKind::kBytesAtMost && property.after_s >= 0) rest_from_ = property.after_s;
    divides_ |= property.kind == PropertyKind::kHoldersEven;
  }
  queue_.Push(FromMs(rest_from_ * 1000), EventPriority::kControl, kSnapshot, 0, 0);

  const Micros end = FromMs(plan_.length_s * 1000);
  while (!queue_.empty()) {
    const simulation::ScheduledEvent due = queue_.PopNext();
    if (due.at > end) break;
    Run(due);
  }
  Snapshot(/*close=*/true);
  for (const std::string& when : conditions_.unmet()) judge_.Unmet(when);
  std::uint64_t shed = 0;
  for (const Node& node : nodes_) {
    if (!node.view) continue;
    shed += node.view->gossip_dropped();
    const auto& refused = node.view->counters().rejected;
    for (std::size_t i = 1; i < refused.size(); ++i) judge_.Refusals(refused[i]);
  }
  if (divides_) judge_.Holders(Holders());
  Judge::Verdict verdict = judge_.Close(plan_.length_s, /*with_service=*/false);
  Outcome outcome{verdict.holds, std::move(verdict.json), std::move(verdict.story)};
  if (!outcome.holds)
    for (std::string& line : Differences()) outcome.failures.push_back(std::move(line));
  outcome.json["seed"] = options_.seed;
  outcome.json["members"] = plan_.members;
  outcome.json["suspicions"] = suspicions_;
  outcome.json["refutations"] = refutations_;
  outcome.json["healed"] = healed_;
  outcome.json["news_shed"] = shed;
  if (divides_) outcome.json["changed_over"] = changed_over_;
  outcome.json["events"] = queue_.processed();
  if (options_.record_timeline) {
    outcome.json["views"] = std::move(timeline_);
    outcome.json["spread"] = judge_.Spread();
  }
  return outcome;
}

}  // namespace

Outcome PlayVirtual(const Plan& plan, const VirtualOptions& options) {
  return VirtualFleet(plan, options).Play();
}

}  // namespace copperpoint::fault_testing
