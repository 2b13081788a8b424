// SPDX-License-Identifier: Apache-2.0
//
// One member's view of the fleet, kept by talk with the others alone (docs/view.md). No I/O, no clock, no
// thread: time and messages come in, messages, exchanges and events go out. The proxy, the rig and the
// laboratory host the same object.
//
// Sources: SWIM (Das, Gupta, Motivala 2002) for probes, suspicion, refutation numbers and piggyback;
// Lifeguard (Dadgar, Phillips, Currey 2018) for confirmations and telling a suspect first; push-pull
// anti-entropy (Demers and others 1987), here by hashes of buckets.
#ifndef COPPERPOINT_MEMBERSHIP_MEMBERSHIP_H_
#define COPPERPOINT_MEMBERSHIP_MEMBERSHIP_H_

#include <array>
#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <unordered_set>
#include <vector>

#include "membership/document_store.h"
#include "membership/gossip_queue.h"
#include "membership/member_table.h"
#include "membership/options.h"
#include "membership/probes.h"
#include "membership/suspicion_table.h"
#include "peers/frame.h"

namespace copperpoint::membership {

// Bytes for an address. An exchange is one frame there and one back, over TCP.
struct OutgoingFrame {
  std::string to, bytes;
};

struct Event {
  enum class Kind {
    kJoined,  // a member that was not known, or a new process of one that was
    kSuspected,
    kRefuted,  // a suspect has answered
    kDead,
    kLeft,
    kHealed,     // one thought dead lives, in the same process
    kNameTaken,  // another process has this member's name, and this one keeps silent from here on
    kTooNew,     // a message in a format that this program cannot read
  };
  Kind kind = Kind::kJoined;
  std::string name;           // kTooNew: the address
  std::string reported_by;    // who said so, where somebody did
  Time time_since_contact{};  // kDead: since the last contact
};
const char* NameOf(Event::Kind kind);

// From another member, for a part of the program.
struct ApplicationMessage {
  std::string from;
  Topic topic = 0;
  std::string body;
};

struct Output {
  std::vector<OutgoingFrame> datagrams, exchanges;
  std::vector<Event> events;
  std::vector<ApplicationMessage> messages;
  std::vector<Topic> documents;  // of which a later version is held now
};

struct Counters {
  std::uint64_t sent = 0, sent_bytes = 0, received = 0, received_bytes = 0;  // datagrams
  std::uint64_t exchanges = 0, exchanged_bytes = 0;                          // frames, both ways
  std::array<std::uint64_t, peers::kFrameErrors> rejected{};                 // by peers::FrameError
  std::uint64_t replays = 0, older_incarnations = 0, misaddressed = 0, oversized = 0;
};

class Membership {
 public:
  // `self` has name, address, zone and versions; incarnation and refutation number are drawn here from
  // `seed`, which must be another one in each process. Throws std::invalid_argument if a field is too large
  // for a message.
  Membership(const Options& options, peers::FrameCodec codec, Record self, std::uint64_t seed, Time now,
             RecordPool* shared = nullptr);
  // In virtual time: begins as one that has long been there, among `others`.
  void Settle(Time now, const std::vector<std::shared_ptr<const Record>>& others);

  Membership(const Membership&) = delete;
  Membership& operator=(const Membership&) = delete;

  // Addresses of members to begin with; those that do not answer are asked again from time to time.
  void Join(Time now, std::vector<std::string> seeds);
  void OnDatagram(Time now, const std::string& from, std::string_view bytes);
  std::string OnExchange(Time now, std::string_view frame);  // its answer; empty: none
  void OnReply(Time now, std::string_view frame);            // to an exchange that this member began
  void OnTick(Time now);
  Time next() const;  // when OnTick is due, in the host's time

  void SetState(Time now, MemberState state);
  // A value that this member publishes. False where it would not fit: the metadata is bounded.
  bool Publish(Time now, const std::string& key, const std::string& value);
  // A letter to a member: one datagram, lost as any other. False: nobody living has that name, or it is too
  // large.
  bool SendMessage(Time now, const std::string& to, Topic topic, std::string body);
  // From here on all members are to hold this version; empty: a mark. False: a later one is held.
  bool PublishDocument(Time now, Topic topic, std::uint64_t version, std::string body);
  const Document* document(Topic topic) const { return documents_.Find(topic); }
  void SetDocumentFilter(DocumentStore::Filter gate) { documents_.SetFilter(std::move(gate)); }
  // Says goodbye. From here on this member is silent.
  void Leave(Time now);

  // What is to be sent and told. To be called after each of the above, and before next().
  Output Take();

  const MemberTable& members() const { return members_; }
  const Record& self() const { return *members_[me_].record; }
  bool established() const { return established_; }  // has met another, or found that it is alone
  bool stopped() const { return stopped_; }
  // Nobody is suspected, and the last members heard from, up to four of them, had the same view.
  bool converged() const {
    return established_ && !stopped_ && suspicions_.size() == 0 && agreed_ >= Agreement();
  }
  const Counters& counters() const { return counters_; }
  std::size_t gossip_dropped() const { return queue_.dropped(); }
  const Suspicion* suspicion(int at) const { return const_cast<SuspicionTable&>(suspicions_).Find(at); }
  Time ToLocalTime(Time now) const { return now - away_; }  // the time that `since` and `heard` are in

 private:
  struct Relay {  // a probe made for another
    std::uint32_t id = 0, asker_probe = 0;
    std::string asker, asker_address, target;
    Time until{};
  };

  Time Enter(Time now);
  int Agreement() const { return static_cast<int>(std::min<std::size_t>(4, members_.living().size() - 1)); }
  void Change(std::shared_ptr<Record> self, Time now);  // of this member's own record
  void Refute(std::uint32_t above, Time now);
  void Stop();

  // ---- view_messages.cpp ----
  wire::Message Begin(wire::Kind kind);
  peers::FrameError Open(std::string_view bytes, wire::Message* message);  // and counts what is refused
  void Send(wire::Message message, const std::string& to, int at, Time now);
  std::size_t Allowance(Time now);  // bytes of claims that may be told now
  void Gossip(Time now);
  bool Admit(const wire::Message& message, const std::string& from, Time now);  // false: dropped
  void OnRival(const wire::Message& message, const std::string& from, Time now);
  void OnMessage(const wire::Message& message, const std::string& from, Time now);
  void OnAck(const wire::Message& message, Time now);
  void OnPingFor(const wire::Message& message, const std::string& from, Time now);
  void Compare(const wire::Message& message, int at, Time now);

  // ---- view_claims.cpp ----
  void TakeClaims(const wire::Message& message, bool whole, Time now);
  void Merge(const wire::Claim& claim, const std::string& from, bool whole, Time now);
  void MergeAlive(const wire::Claim& claim, int at, Time now);
  void MergeGone(const wire::Claim& claim, const std::string& by, bool whole, int at, Time now);
  void OnOwnName(const wire::Claim& claim, Time now);
  void Accuse(int at, const std::string& by, Time since, Time now);
  void Heard(int at, Time when, Time now);
  void Bury(int at, MemberStatus status, const std::string& by, std::uint32_t age_ms, Time now);
  void Revive(int at, std::shared_ptr<const Record> record, Time now);
  bool IsConfirmer(int at) const;
  wire::Claim ClaimOf(int at, Time now) const;
  wire::LastContact HeardOf(int at, Time when, Time now) const;
  bool Fits(const Record& record) const;
  void EndIncarnation(std::uint64_t incarnation);
  void Tell(Event::Kind kind, const std::string& name, const std::string& by = "", Time silent = {});

  // ---- view_parts.cpp ----
  void TakeHeads(const wire::Message& message, const std::string& address, Time now);
  std::string AnswerFetch(const wire::Message& message);
  void TakeDocument(const wire::Message& message);

  // ---- view_sync.cpp ----
  void Exchange(const std::string& address, const wire::Message& message);
  void Sync(const std::string& address, Time now);
  std::string AnswerSync(const wire::Message& message, Time now);

  // ---- view_probes.cpp ----
  void ProbeNext(Time now);
  std::uint32_t Ask(int at, bool confirming, Time now);  // the probe's id
  void AskThrough(int helpers, std::uint32_t probe, const std::string& target, Time now);
  void LookAfterProbes(Time now);
  void Judge(Time now);
  void AskTheDead(Time now);
  void AskSeeds(Time now);
  void ForgetOld(Time now);

  const Options options_;
  peers::FrameCodec codec_;
  RandomSource random_;
  MemberTable members_;
  int me_;
  std::uint64_t incarnation_;
  GossipQueue queue_;
  DocumentStore documents_;
  Prober prober_;
  SuspicionTable suspicions_;
  std::vector<Relay> relays_;
  std::vector<std::string> seeds_;
  std::deque<std::uint64_t> ended_order_;
  std::unordered_set<std::uint64_t> ended_;  // incarnations that have ended: nothing more is taken from them
  bool established_ = false, stopped_ = false;
  int agreed_ = 0;
  std::uint32_t sequence_ = 0;
  double allowance_;  // bytes, at `allowed_at_`
  Time allowed_at_;
  Time away_{};  // for which this process stood still, all told
  Time next_probe_, next_gossip_, next_retry_, next_seed_, next_sweep_, next_sync_, next_refusal_,
      next_judgement_, next_fetch_, changed_, last_agreed_;
  Time alone_at_;            // without an answer of any seed by then, this member is the first
  Time entered_, expected_;  // in the host's time: the last call, and the wake that is due next
  Time rival_until_{};       // 0: no other process is said to have this name
  std::uint32_t rival_refutation_number_ = 0;
  Output output_;
  Counters counters_;
};

}  // namespace copperpoint::membership

#endif  // COPPERPOINT_MEMBERSHIP_MEMBERSHIP_H_
