// SPDX-License-Identifier: Apache-2.0
//
// A member's part in rolling changes (docs/rollout.md): holds the change and how far it has gone, changes
// when it is this member's turn, goes back when the change was stopped, answers the leader, and leads where
// it is the one. No I/O, no clock: time, letters and documents in, the same and commands out. A change of the
// program or of the operator's file is one of the process, which the host has its keeper carry out.
#ifndef COPPERPOINT_ROLLOUT_AGENT_H_
#define COPPERPOINT_ROLLOUT_AGENT_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "rollout.pb.h"
#include "rollout/leader.h"
#include "rollout/plan.h"
#include "rollout/progress.h"

namespace copperpoint::rollout {

// Topics of the view.
constexpr std::uint32_t kPlanTopic = 1, kProgressTopic = 2, kHistoryTopic = 3, kMessageTopic = 4,
                        kFinalProgressTopic = 5;  // the mark of the last change that began and has ended

struct Event {
  std::string name;  // as in the log, without "rollout_"
  std::string change, why;
  std::uint32_t admitted_members = 0;
};

class Agent {
 public:
  struct Identity {
    std::string name;
    std::string
        version;  // that this process is, as its keeper knows it; empty: no keeper, it cannot be changed
    std::uint64_t incarnation = 0;
    // What its keeper remembers of the processes before: the last mark that they held, and what it took back.
    std::uint64_t progress = 0;
    std::string failed_version, failure;
  };
  // Whether a member of that name lives, by the view.
  using Lives = std::function<bool(const std::string& name)>;
  // What this process has counted so far; version, life and keeper are filled in here.
  using Counted = std::function<wire::MemberReport()>;

  Agent(Identity self, Lives lives, Counted counted);

  // ---- what happens ----
  // Before the view takes a later document from others: false while this member is busy with another change.
  bool AcceptsDocument(std::uint32_t topic, std::uint64_t version) const;
  void OnDocument(Time now, std::uint32_t topic, std::uint64_t version, const std::string& body);
  void OnMessage(Time now, const std::string& from, std::string_view body);
  void OnTick(Time now);
  // Never without a change: a fleet at rest is not woken for it.
  Time next_tick_at() const { return plan_ ? next_ : Time::max() / 2; }
  // Its keeper took a version back.
  void OnVersionFailed(const std::string& version, const std::string& why);

  // ---- what an operator says, at any member ----
  // Begins a change of these members. Empty, or why not.
  std::string Start(Time now, const Plan& plan, std::vector<MemberInfo> members);
  std::string Abort(Time now);
  std::string Pause(Time now, bool pause);
  std::string Status(Time now) const;   // JSON
  std::string History(Time now) const;  // JSON: the steps of the last change

  struct Output {
    struct Message {
      std::string to, body;
    };
    struct Document {
      std::uint32_t topic = 0;
      std::uint64_t version = 0;
      std::string body;
    };
    std::vector<Message> messages;
    std::vector<Document> documents;
    std::vector<Event> events;
    std::optional<std::string> requested_version;  // the version that this member is to be from now on
    std::uint64_t progress = 0;                    // for its keeper to remember; 0: nothing new
  };
  Output TakeOutput();

  // For tests and the emulator.
  const Progress& progress() const { return progress_; }
  bool is_leader() const { return leader_ != nullptr; }
  // With a change that is under way, or that this member has still to go back from.
  bool busy() const {
    if (!plan_) return known_.admitted_members > 0 && !known_.ended();
    return (!progress_.ended() && !expired_) ||
           (progress_.requires_rollback() && running_ == plan_->new_version);
  }

 private:
  void Hold(Time now, std::uint64_t version, const std::string& body);
  void SetProgress(Time now, const Progress& mark);
  void PublishProgress();  // the mark
  void Say(const std::string& name, const std::string& why);
  void AddStep(Time now, const std::string& what, const std::string& why);
  void LookAtTurn(Time now);
  void LookAtLead(Time now);
  void LookAround(Time now);  // who lives, and so who leads
  wire::MemberReport Report() const;
  wire::AgentMessage Begin() const;
  void Run(const std::string& version, const std::string& why);

  Identity self_;
  Lives lives_;
  Counted counted_;
  std::string failure_, failed_version_;
  // The change that is held; plan_ is null without one.
  std::unique_ptr<Plan> plan_;
  UpgradeOrder order_;
  std::uint64_t version_ = 0, key_ = 0;
  std::uint32_t last_epoch_ = 0;
  std::string by_;
  int rank_ = -1;
  Time held_since_{}, majority_at_{}, back_at_{}, next_around_{};
  std::vector<std::uint64_t> lead_ranks_;  // of the members of the change
  int living_ = 0;
  bool expired_ = false;   // it had not begun in time, as far as this member knows
  bool first_ = false;     // of those that live this one leads
  bool majority_ = false;  // of the members of the change lives
  std::string running_;    // that was asked for last
  Progress progress_;
  Progress known_;                              // by its keeper, from the process before
  std::uint64_t seen_mark_ = 0, seen_end_ = 0;  // the greatest that came, of whichever change
  std::unique_ptr<Leader> leader_;
  wire::History story_;
  std::uint64_t story_version_ = 0;
  Time next_{}, next_ask_{};
  std::uint32_t asked_ = 0;    // questions of this leader
  std::deque<Time> asked_at_;  // of the last of them
  Output output_;
};

}  // namespace copperpoint::rollout

#endif  // COPPERPOINT_ROLLOUT_AGENT_H_
