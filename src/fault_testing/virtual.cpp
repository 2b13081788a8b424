// SPDX-License-Identifier: Apache-2.0
#include "fault_testing/virtual.h"

#include <algorithm>
#include <deque>
#include <memory>
#include <unordered_map>
#include <utility>

#include "fault_testing/conditions.h"
#include "fault_testing/links.h"
#include "fault_testing/run_evaluator.h"
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
constexpr double kExchangeRtts = 1.5;          // round trips until the first frame of an exchange arrives
constexpr Micros kReplacementDelay = 300'000;  // from the end of a process to the start of its replacement
constexpr std::size_t kSocketQueueLength =
    200;                        // datagrams that the socket of a paused process holds; more are lost
constexpr int kSubsetSize = 8;  // backends of a proxy; the minimum subset size of src/subsetting

double Seconds(Micros at) { return static_cast<double>(at) / 1e6; }

class VirtualFleet {
 public:
  VirtualFleet(const Plan& plan, const VirtualOptions& options)
      : plan_(plan),
        options_(options),
        random_(options.seed, "network"),
        links_(plan, options.seed),
        conditions_(plan),
        evaluator_(plan, options.seed,
                   static_cast<double>(options.membership_options.contact_timeout.count()) / 1e6),
        nodes_(static_cast<std::size_t>(plan.members)) {}

  Outcome Play();

 private:
  enum Kind : std::uint32_t {
    kWakeup,
    kDatagram,
    kExchangeRequest,
    kExchangeReply,
    kFaultStart,
    kFaultEnd,
    kPauseMember,
    kResumeMember,
    kStartMember,
    kSnapshot
  };
  struct Message {
    int from = 0, to = 0;
    std::uint64_t incarnation = 0;  // of the receiving process; only used for replies
    std::string bytes;
  };
  struct Node {
    std::unique_ptr<membership::Membership> view;
    std::uint64_t incarnation = 0;  // number of processes started so far
    bool paused = false;
    std::deque<std::pair<Kind, std::uint64_t>> queued;  // received while paused
    Micros wakeup_at = simulation::kNeverMicros;
    Micros clock_offset = 0;  // of its clock from virtual time
    subsetting::RingPosition ring_position;
    int first_backend = -1;  // of its subset; negative: not known yet
    std::uint64_t hash = 0;
    bool counted = false;  // whether `members_by_hash_` counts it, under `hash`
    std::uint64_t bytes_out_before = 0, bytes_in_before = 0;
    std::uint64_t sent = 0, received = 0, sent_bytes = 0, received_bytes = 0;  // by earlier processes
  };

  Node& At(int member) { return nodes_[static_cast<std::size_t>(member)]; }
  Time Clock(const Node& node) const { return Time(queue_.now() + node.clock_offset); }
  void Start(int member, bool skip_start_delay = false);
  void End(int member, bool graceful);
  // Starts the run with a fleet in which every member already knows all others.
  void StartWithFullViews();
  void Replace(int member);
  void HandleEvent(const simulation::ScheduledEvent& due);
  void Deliver(Kind kind, std::uint64_t message);
  void ProcessOutput(int member);
  void SendDatagram(int from, const std::string& to, std::string bytes);
  void StartExchange(int from, const std::string& to, std::string bytes);
  Micros Delay() { return FromMs(plan_.network.delay_ms * random_.Lognormal(1, plan_.network.jitter)); }
  std::uint64_t StoreMessage(Message message);
  int MemberAt(const std::string& address) const {
    const auto found = addresses_.find(address);
    return found == addresses_.end() ? -1 : found->second;
  }
  void UpdateAgreement(int member);
  void UpdateSubset(Node& node);
  std::vector<int> ProxiesByBackend() const;  // number of proxies with each backend in their subset
  void StartFault(std::size_t index);
  void EndFault(std::size_t index);
  void TriggerFaults(std::string_view event, std::string_view member = {});
  // Stores the byte counts of all members. With `close`, instead passes the byte rates since the stored
  // counts to the evaluator.
  void Snapshot(bool close);
  std::vector<std::string> Differences() const;  // between views and reality, one line for each view

  const Plan& plan_;
  const VirtualOptions& options_;
  simulation::Random random_;
  Links links_;
  Conditions conditions_;
  std::vector<std::pair<const Fault*, std::vector<bool>>> delayed_starts_;  // active ones, with their members
  simulation::EventQueue queue_;
  RunEvaluator evaluator_;
  membership::RecordPool records_;
  std::vector<Node> nodes_;
  std::unordered_map<std::string, int> addresses_;
  std::vector<std::string> seeds_;
  std::vector<Message> messages_;
  std::vector<std::uint64_t> free_messages_;
  std::vector<std::vector<int>> fault_members_;  // affected members, by fault
  std::unordered_map<std::uint64_t, int> members_by_hash_;
  int running_ = 0;
  bool starting_with_full_views_ = false;
  bool uses_subsets_ = false;                 // members divide the backends among themselves by their view
  std::uint64_t reassigned_connections_ = 0;  // connections moved to other backends by subset changes
  double measure_from_s_ = 0;
  std::uint64_t events_ = 0, suspicions_ = 0, refutations_ = 0, healed_ = 0;
  nlohmann::ordered_json timeline_ = nlohmann::ordered_json::array();
  std::size_t last_view_count_ = 0;
};

std::uint64_t VirtualFleet::StoreMessage(Message message) {
  if (free_messages_.empty()) {
    messages_.push_back(std::move(message));
    return messages_.size() - 1;
  }
  const std::uint64_t at = free_messages_.back();
  free_messages_.pop_back();
  messages_[at] = std::move(message);
  return at;
}

void VirtualFleet::Start(int member, bool skip_start_delay) {
  Node& node = At(member);
  if (node.view) return;
  for (const auto& [fault, members] : delayed_starts_) {
    if (skip_start_delay || !members[static_cast<std::size_t>(member)]) continue;
    return queue_.Push(queue_.now() + FromMs(fault->amount * 1000), EventPriority::kControl, kStartMember,
                       static_cast<std::uint32_t>(member), 1);
  }
  ++node.incarnation;
  membership::Record self;
  self.set_name(MemberName(member));
  self.set_address(MemberName(member) + ":1");
  self.set_zone(ZoneName(plan_, member));
  self.set_program("0.1.0");
  self.set_state(static_cast<std::uint32_t>(membership::MemberState::kServing));
  simulation::Random draw(options_.seed, "member",
                          static_cast<std::uint64_t>(member) << 20 | node.incarnation);
  node.view =
      std::make_unique<membership::Membership>(options_.membership_options, peers::FrameCodec(kCluster, kKey),
                                               std::move(self), draw.Bits(), Clock(node), &records_);
  node.paused = false;
  node.wakeup_at = simulation::kNeverMicros;
  node.ring_position = subsetting::RingPosition();
  node.first_backend = -1;
  ++running_;
  evaluator_.OnStarted(Seconds(queue_.now()), member);
  if (starting_with_full_views_) return;
  node.view->Join(Clock(node), seeds_);
  ProcessOutput(member);
}

void VirtualFleet::StartWithFullViews() {
  std::vector<std::shared_ptr<const membership::Record>> all;
  for (const Node& node : nodes_)
    if (node.view) all.push_back(std::make_shared<membership::Record>(node.view->self()));
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    if (!nodes_[i].view) continue;
    nodes_[i].view->Settle(Time(0), all);
    nodes_[i].view->Join(Time(0), seeds_);
  }
  for (std::size_t i = 0; i < nodes_.size(); ++i)
    if (nodes_[i].view) ProcessOutput(static_cast<int>(i));
}

void VirtualFleet::End(int member, bool graceful) {
  Node& node = At(member);
  if (!node.view) return;
  if (graceful) {
    node.view->Leave(Clock(node));
    for (auto& datagram : node.view->Take().datagrams)
      SendDatagram(member, datagram.to, std::move(datagram.bytes));
  }
  const membership::Counters& counters = node.view->counters();
  node.sent += counters.sent;
  node.received += counters.received;
  node.sent_bytes += counters.sent_bytes;
  node.received_bytes += counters.received_bytes;
  for (std::size_t i = 1; i < counters.rejected.size(); ++i)
    evaluator_.AddRejectedDatagrams(counters.rejected[i]);
  node.view.reset();
  for (const auto& [kind, message] : node.queued) free_messages_.push_back(message);
  node.queued.clear();
  --running_;
  UpdateAgreement(member);
  evaluator_.OnEnded(Seconds(queue_.now()), member, graceful);
}

// Updates the number of distinct views among the running members, and whether all agree on the true
// membership.
void VirtualFleet::UpdateAgreement(int member) {
  Node& node = At(member);
  const bool counts = node.view != nullptr;
  const std::uint64_t hash = counts ? node.view->members().hash() : 0;
  if (node.counted == counts && node.hash == hash) return;
  if (node.counted && --members_by_hash_[node.hash] == 0) members_by_hash_.erase(node.hash);
  if (counts) ++members_by_hash_[hash];
  node.counted = counts;
  node.hash = hash;
  const bool agreed = members_by_hash_.size() == 1 && counts &&
                      node.view->members().living().size() == static_cast<std::size_t>(running_);
  evaluator_.OnAgreement(Seconds(queue_.now()), agreed);
  if (agreed && running_ == plan_.members) TriggerFaults("settled");
  if (options_.record_timeline && members_by_hash_.size() != last_view_count_) {
    last_view_count_ = members_by_hash_.size();
    timeline_.push_back({Seconds(queue_.now()), last_view_count_});
  }
}

void VirtualFleet::ProcessOutput(int member) {
  Node& node = At(member);
  membership::Output output = node.view->Take();
  for (auto& datagram : output.datagrams) SendDatagram(member, datagram.to, std::move(datagram.bytes));
  for (auto& exchange : output.exchanges) StartExchange(member, exchange.to, std::move(exchange.bytes));
  for (const membership::Event& event : output.events) {
    ++events_;
    suspicions_ += event.kind == membership::Event::Kind::kSuspected;
    refutations_ += event.kind == membership::Event::Kind::kRefuted;
    healed_ += event.kind == membership::Event::Kind::kHealed;
    TriggerFaults(std::string("fleet_") + membership::NameOf(event.kind), event.name);
    if (event.kind == membership::Event::Kind::kDead)
      evaluator_.OnDeclaredDead(Seconds(queue_.now()), member, MemberAt(event.name + ":1"));
  }
  UpdateAgreement(member);
  if (uses_subsets_) UpdateSubset(node);
  const Time next = std::min(node.view->next(), node.ring_position.next());
  if (next < Time(simulation::kNeverMicros / 4) && next.count() - node.clock_offset < node.wakeup_at) {
    node.wakeup_at = std::max<Micros>(next.count() - node.clock_offset, queue_.now() + 1);
    queue_.Push(node.wakeup_at, EventPriority::kTimeout, kWakeup, static_cast<std::uint32_t>(member),
                node.incarnation);
  }
}

void VirtualFleet::UpdateSubset(Node& node) {
  const std::optional<double> position = node.ring_position.Update(*node.view, Clock(node));
  if (!position) return;
  const int backends = plan_.service.backends;
  const int before = std::exchange(node.first_backend, static_cast<int>(*position * backends));
  if (before < 0) return;
  const int distance = std::abs(node.first_backend - before);
  reassigned_connections_ += static_cast<std::uint64_t>(
      std::min({kSubsetSize, distance, backends - distance, std::max(0, backends - kSubsetSize)}));
}

std::vector<int> VirtualFleet::ProxiesByBackend() const {
  std::vector<int> proxies(static_cast<std::size_t>(plan_.service.backends));
  for (const Node& node : nodes_) {
    if (!node.view || node.first_backend < 0) continue;
    for (int k = 0; k < std::min(kSubsetSize, plan_.service.backends); ++k)
      ++proxies[static_cast<std::size_t>(node.first_backend + k) % proxies.size()];
  }
  return proxies;
}

void VirtualFleet::SendDatagram(int from, const std::string& to, std::string bytes) {
  const int target = MemberAt(to);
  if (target < 0 || random_.Chance(plan_.network.loss)) return;
  const Links::Delivery delivery =
      links_.Transmit(Seconds(queue_.now()), from, target, /*stream=*/false, &bytes);
  if (!delivery.delivered) return;
  for (int i = 0; i < delivery.copies; ++i)
    queue_.Push(queue_.now() + Delay() + FromMs(delivery.extra_delay_ms), EventPriority::kClient, kDatagram,
                0, StoreMessage({from, target, 0, bytes}));
}

void VirtualFleet::StartExchange(int from, const std::string& to, std::string bytes) {
  const int target = MemberAt(to);
  if (target < 0) return;
  const Links::Delivery request =
      links_.Transmit(Seconds(queue_.now()), from, target, /*stream=*/true, &bytes);
  const Links::Delivery reply = links_.Transmit(Seconds(queue_.now()), target, from, /*stream=*/true, &bytes);
  if (!request.delivered || !reply.delivered) return;
  const auto delay = static_cast<Micros>(2 * kExchangeRtts * static_cast<double>(Delay()));
  queue_.Push(queue_.now() + delay + FromMs(request.extra_delay_ms + reply.extra_delay_ms),
              EventPriority::kClient, kExchangeRequest, 0,
              StoreMessage({from, target, At(from).incarnation, std::move(bytes)}));
}

void VirtualFleet::Deliver(Kind kind, std::uint64_t at) {
  Message& message = messages_[at];
  const int member = message.to;
  Node& node = At(member);
  if (!node.view) return free_messages_.push_back(at);
  if (node.paused) {
    if (kind == kDatagram && node.queued.size() >= kSocketQueueLength) return free_messages_.push_back(at);
    node.queued.emplace_back(kind, at);
    return;
  }
  const Time now = Clock(node);
  if (kind == kDatagram) {
    node.view->OnDatagram(now, MemberName(message.from) + ":1", message.bytes);
  } else if (kind == kExchangeRequest) {
    std::string answer = node.view->OnExchange(now, message.bytes);
    const int requester = message.from;
    const std::uint64_t incarnation = message.incarnation;
    if (!answer.empty())
      queue_.Push(queue_.now() + Delay(), EventPriority::kClient, kExchangeReply, 0,
                  StoreMessage({member, requester, incarnation, std::move(answer)}));
  } else if (message.incarnation == node.incarnation) {
    node.view->OnReply(now, message.bytes);
  }
  messages_[at].bytes.clear();
  free_messages_.push_back(at);
  ProcessOutput(member);
}

void VirtualFleet::Replace(int member) {
  End(member, /*graceful=*/true);
  queue_.Push(queue_.now() + kReplacementDelay, EventPriority::kControl, kStartMember,
              static_cast<std::uint32_t>(member), 0);
}

void VirtualFleet::StartFault(std::size_t index) {
  const Fault& fault = plan_.faults[index];
  const std::vector<int>& members = fault_members_[index];
  if (!fault.when.empty()) {
    evaluator_.OnFaultTriggered(Seconds(queue_.now()), fault);
    if (fault.for_s > 0 && fault.kind != FaultKind::kStop && fault.kind != FaultKind::kStarve)
      queue_.Push(queue_.now() + FromMs(fault.for_s * 1000), EventPriority::kControl, kFaultEnd, 0, index);
  }
  if (fault.kind == FaultKind::kSlowStart) {
    std::vector<bool> selected(nodes_.size());
    for (const int member : members) selected[static_cast<std::size_t>(member)] = true;
    delayed_starts_.emplace_back(&fault, std::move(selected));
    return;
  }
  if (fault.AffectsLinks()) return links_.AddFault(fault);
  if (fault.AffectsService()) return;  // virtual time has no backends
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
        queue_.Push(queue_.now(), EventPriority::kControl, kPauseMember, static_cast<std::uint32_t>(member),
                    0);
        if (fault.for_s > 0)
          queue_.Push(queue_.now() + FromMs(fault.for_s * 1000), EventPriority::kControl, kResumeMember,
                      static_cast<std::uint32_t>(member), 0);
        break;
      case FaultKind::kJump:
        At(member).clock_offset += FromMs(fault.amount * 1000);
        At(member).wakeup_at = simulation::kNeverMicros;
        if (At(member).view && !At(member).paused) ProcessOutput(member);
        break;
      case FaultKind::kChange:
      case FaultKind::kAbort:
        break;  // in virtual time, `rollout simulate` covers rollouts
      case FaultKind::kReload:
        break;  // virtual time has no discovery
      default:  // starve
        Fault from_now = fault;
        from_now.at_s = Seconds(queue_.now());
        for (const auto& [from, to] : PauseIntervals(plan_, from_now, random_)) {
          queue_.Push(FromMs(from * 1000), EventPriority::kControl, kPauseMember,
                      static_cast<std::uint32_t>(member), 0);
          queue_.Push(FromMs(to * 1000), EventPriority::kControl, kResumeMember,
                      static_cast<std::uint32_t>(member), 0);
        }
    }
  }
}

void VirtualFleet::EndFault(std::size_t index) {
  const Fault& fault = plan_.faults[index];
  if (fault.AffectsLinks()) return links_.RemoveFault(fault);
  if (fault.kind == FaultKind::kSlowStart)
    std::erase_if(delayed_starts_, [&](const auto& one) { return one.first == &fault; });
  if (fault.kind == FaultKind::kReplace) {
    for (const int member : fault_members_[index]) Replace(member);
  }
  if (fault.kind == FaultKind::kKill || fault.kind == FaultKind::kLeave)
    for (const int member : fault_members_[index]) Start(member);
}

void VirtualFleet::TriggerFaults(std::string_view event, std::string_view member) {
  for (const std::size_t index : conditions_.TakeTriggered(event, member))
    queue_.Push(queue_.now() + FromMs(plan_.faults[index].at_s * 1000), EventPriority::kControl, kFaultStart,
                0, index);
}

void VirtualFleet::Snapshot(bool close) {
  for (Node& node : nodes_) {
    const membership::Counters now = node.view ? node.view->counters() : membership::Counters();
    const std::uint64_t out = node.sent_bytes + now.sent_bytes + 28 * (node.sent + now.sent);
    const std::uint64_t in = node.received_bytes + now.received_bytes + 28 * (node.received + now.received);
    if (!close) {
      node.bytes_out_before = out;
      node.bytes_in_before = in;
    } else if (const double span = plan_.length_s - measure_from_s_; span > 0) {
      evaluator_.AddByteRates(static_cast<double>(out - node.bytes_out_before) / span,
                              static_cast<double>(in - node.bytes_in_before) / span);
    }
  }
}

void VirtualFleet::HandleEvent(const simulation::ScheduledEvent& due) {
  const auto member = static_cast<int>(due.target);
  switch (due.kind) {
    case kWakeup: {
      Node& node = At(member);
      if (!node.view || node.incarnation != due.argument || node.wakeup_at != due.at) return;
      if (node.paused) return;  // its timers are checked when it resumes
      node.wakeup_at = simulation::kNeverMicros;
      if (node.view->next() <= Clock(node)) node.view->OnTick(Clock(node));
      return ProcessOutput(member);
    }
    case kDatagram:
    case kExchangeRequest:
    case kExchangeReply:
      return Deliver(static_cast<Kind>(due.kind), due.argument);
    case kFaultStart:
      return StartFault(due.argument);
    case kFaultEnd:
      return EndFault(due.argument);
    case kStartMember:
      return Start(member, /*skip_start_delay=*/due.argument != 0);
    case kPauseMember:
      if (At(member).view && !std::exchange(At(member).paused, true))
        evaluator_.OnPaused(Seconds(due.at), member);
      return;
    case kResumeMember: {
      Node& node = At(member);
      if (!node.view || !std::exchange(node.paused, false)) return;
      evaluator_.OnResumed(Seconds(due.at), member);
      // Timers and sockets are ready at once, and an event loop may process either first. Queued datagrams
      // are delivered oldest first.
      if (random_.Chance(0.5)) {
        node.view->OnTick(Clock(node));
        ProcessOutput(member);
      }
      auto queued = std::exchange(node.queued, {});
      for (const auto& [kind, message] : queued) {
        if (node.view) Deliver(kind, message);
      }
      node.wakeup_at = simulation::kNeverMicros;
      node.view->OnTick(Clock(node));
      return ProcessOutput(member);
    }
    default:
      return Snapshot(/*close=*/false);
  }
}

// Describes how the views differ from the true membership, for a run that does not hold.
std::vector<std::string> VirtualFleet::Differences() const {
  constexpr std::size_t kMaxLines = 12;
  std::vector<std::string> lines;
  for (const Node& node : nodes_) {
    if (!node.view) continue;
    std::string differences;
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      const membership::MemberTable& members = node.view->members();
      const std::string name = MemberName(static_cast<int>(i));
      const int at = members.Find(name);
      const bool considered_alive = at >= 0 && members[at].living(), is_running = nodes_[i].view != nullptr;
      if (considered_alive != is_running) {
        differences +=
            " " + name +
            (is_running ? (at < 0 ? " is unknown," : " is considered dead,") : " is considered alive,");
      } else if (is_running && members[at].record->incarnation() != nodes_[i].view->self().incarnation()) {
        differences += " " + name + " has an outdated incarnation,";
      } else if (is_running &&
                 members[at].record->refutation_number() != nodes_[i].view->self().refutation_number()) {
        differences += " " + name + " has another refutation number,";
      }
    }
    if (differences.empty()) continue;
    differences.pop_back();
    lines.push_back("view of " + node.view->self().name() + (node.view->stopped() ? " (stopped)" : "") + ":" +
                    differences);
    if (lines.size() >= kMaxLines) break;
  }
  return lines;
}

Outcome VirtualFleet::Play() {
  for (int i = 0; i < plan_.members; ++i) addresses_[MemberName(i) + ":1"] = i;
  for (int i = 0; i < std::min(plan_.seeds, plan_.members); ++i) seeds_.push_back(MemberName(i) + ":1");
  std::vector<bool> started_by_fault(nodes_.size());
  for (std::size_t i = 0; i < plan_.faults.size(); ++i) {
    const Fault& fault = plan_.faults[i];
    fault_members_.push_back(fault.AffectsService() ? std::vector<int>()
                                                    : SelectMembers(plan_, fault.who, options_.seed));
    if (fault.kind == FaultKind::kStart)
      for (const int member : fault_members_[i]) started_by_fault[static_cast<std::size_t>(member)] = true;
    if (!fault.when.empty()) continue;
    queue_.Push(FromMs(fault.at_s * 1000), EventPriority::kControl, kFaultStart, 0, i);
    if (fault.for_s > 0 && fault.kind != FaultKind::kStop && fault.kind != FaultKind::kStarve)
      queue_.Push(FromMs((fault.at_s + fault.for_s) * 1000), EventPriority::kControl, kFaultEnd, 0, i);
  }
  for (int i = 0; i < plan_.members; ++i) {
    if (started_by_fault[static_cast<std::size_t>(i)]) continue;
    if (options_.settled) {
      starting_with_full_views_ = true;
      Start(i);
    } else {
      queue_.Push(FromMs(random_.Between(0, plan_.start_spread_s) * 1000), EventPriority::kControl,
                  kStartMember, static_cast<std::uint32_t>(i), 0);
    }
  }
  if (std::exchange(starting_with_full_views_, false)) StartWithFullViews();
  measure_from_s_ = LastFaultEnd(plan_);
  for (const Property& property : plan_.properties) {
    if (property.kind == PropertyKind::kBytesAtMost && property.after_s >= 0)
      measure_from_s_ = property.after_s;
    uses_subsets_ |= property.kind == PropertyKind::kHoldersEven;
  }
  queue_.Push(FromMs(measure_from_s_ * 1000), EventPriority::kControl, kSnapshot, 0, 0);

  const Micros end = FromMs(plan_.length_s * 1000);
  while (!queue_.empty()) {
    const simulation::ScheduledEvent due = queue_.PopNext();
    if (due.at > end) break;
    HandleEvent(due);
  }
  Snapshot(/*close=*/true);
  for (const std::string& when : conditions_.untriggered()) evaluator_.OnFaultNotTriggered(when);
  std::uint64_t dropped = 0;
  for (const Node& node : nodes_) {
    if (!node.view) continue;
    dropped += node.view->gossip_dropped();
    const auto& rejected = node.view->counters().rejected;
    for (std::size_t i = 1; i < rejected.size(); ++i) evaluator_.AddRejectedDatagrams(rejected[i]);
  }
  if (uses_subsets_) evaluator_.SetConnectedProxies(ProxiesByBackend());
  RunEvaluator::Evaluation evaluation =
      evaluator_.Evaluate(plan_.length_s, /*with_process_properties=*/false);
  Outcome outcome{evaluation.holds, std::move(evaluation.json), std::move(evaluation.failures)};
  if (!outcome.holds)
    for (std::string& line : Differences()) outcome.failures.push_back(std::move(line));
  outcome.json["seed"] = options_.seed;
  outcome.json["members"] = plan_.members;
  outcome.json["suspicions"] = suspicions_;
  outcome.json["refutations"] = refutations_;
  outcome.json["healed"] = healed_;
  outcome.json["news_shed"] = dropped;
  if (uses_subsets_) outcome.json["changed_over"] = reassigned_connections_;
  outcome.json["events"] = queue_.processed();
  if (options_.record_timeline) {
    outcome.json["views"] = std::move(timeline_);
    outcome.json["spread"] = evaluator_.DetectionDelays();
  }
  return outcome;
}

}  // namespace

Outcome PlayVirtual(const Plan& plan, const VirtualOptions& options) {
  return VirtualFleet(plan, options).Play();
}

}  // namespace copperpoint::fault_testing
