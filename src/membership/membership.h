// SPDX-License-Identifier: Apache-2.0
//
// One member's knowledge of the fleet, from messages of the other members only (docs/membership.md). No I/O,
// no clock, no thread: time and frames come in, frames and events go out. The proxy and the fault tests host
// the same class.
#ifndef COPPERPOINT_MEMBERSHIP_MEMBERSHIP_H_
#define COPPERPOINT_MEMBERSHIP_MEMBERSHIP_H_

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "membership/anti_entropy.h"
#include "membership/claim_builder.h"
#include "membership/claim_merger.h"
#include "membership/convergence_tracker.h"
#include "membership/document_exchange.h"
#include "membership/document_store.h"
#include "membership/ended_incarnations.h"
#include "membership/failure_detector.h"
#include "membership/gossip_queue.h"
#include "membership/gossiper.h"
#include "membership/local_clock.h"
#include "membership/local_member.h"
#include "membership/member_lifecycle.h"
#include "membership/member_table.h"
#include "membership/message_filter.h"
#include "membership/message_sender.h"
#include "membership/name_conflict.h"
#include "membership/options.h"
#include "membership/output.h"
#include "membership/probe_relay.h"
#include "membership/probes.h"
#include "membership/random_source.h"
#include "membership/reply_limiter.h"
#include "membership/seed_contact.h"
#include "membership/suspicion_table.h"
#include "peers/frame.h"

namespace copperpoint::membership {

// Owns all state of one member, and passes each event to the class that is responsible for it. All times are
// the host's.
//
// Sources: SWIM (Das, Gupta, Motivala 2002) for probes, suspicion, refutation and piggybacked claims;
// Lifeguard (Dadgar, Phillips, Currey 2018) for confirmations, delayed wake-ups and notifying a suspect
// first; Demers and others (1987) for push-pull anti-entropy, here by hashes of buckets.
class Membership {
 public:
  // `self` has name, address, zone and versions; the incarnation is drawn from `seed`, which must differ from
  // that of every other process. `pool` may be nullptr, and must outlive this object. Throws
  // std::invalid_argument if a field is too large for a message.
  Membership(const Options& options, peers::FrameCodec codec, Record self, std::uint64_t seed, Time now,
             RecordPool* pool = nullptr);
  Membership(const Membership&) = delete;
  Membership& operator=(const Membership&) = delete;

  // For virtual time: starts as one that has long known `others`.
  void Settle(Time now, const std::vector<std::shared_ptr<const Record>>& others);
  // Addresses of members to contact first; those that do not answer are contacted again from time to time.
  void Join(Time now, std::vector<std::string> seeds);

  // `from` is the sender's address.
  void OnDatagram(Time now, const std::string& from, std::string_view bytes);
  // A frame that opens an exchange. The frame to reply; empty: none.
  std::string OnExchange(Time now, std::string_view frame);
  // The reply to an exchange that this member opened.
  void OnReply(Time now, std::string_view frame);
  void OnTick(Time now);
  Time next() const;  // when OnTick is due; kNever after it has stopped

  void SetState(Time now, MemberState state);
  // Publishes a value in this member's metadata. False: a limit does not allow it.
  bool Publish(Time now, const std::string& key, const std::string& value);
  // Sends one datagram, which may be lost, to a member. False: no living member has that name, or the body is
  // over the limit.
  bool SendMessage(Time now, const std::string& to, Topic topic, std::string body);
  // Disseminates a version of a document to all members; an empty body: of a mark. False: a later one is
  // stored.
  bool PublishDocument(Time now, Topic topic, std::uint64_t version, std::string body);
  const Document* document(Topic topic) const { return documents_.Find(topic); }
  void SetDocumentFilter(DocumentStore::Filter filter) { documents_.SetFilter(std::move(filter)); }
  // Notifies members that it leaves, and stops.
  void Leave(Time now);

  // What is to be sent and reported. To be called after each of the above, and before next().
  Output Take();

  const MemberTable& members() const { return members_; }
  const Record& self() const { return local_.record(); }
  // It has met another member, or found that there is none.
  bool established() const { return local_.established(); }
  // It has left, or lost its name, and sends nothing more.
  bool stopped() const { return local_.stopped(); }
  // No member is suspected, and the last members that sent a message, up to four, had the same table.
  bool converged() const;
  const Counters& counters() const { return counters_; }
  std::size_t gossip_dropped() const { return gossip_queue_.dropped(); }
  // nullptr: the member with this index is not suspected.
  const Suspicion* suspicion(int index) const { return suspicions_.Find(index); }
  // The time in which the times of the member table are.
  Time ToLocalTime(Time host_time) const { return clock_.ToLocal(host_time); }

 private:
  peers::FrameError Decode(std::string_view frame, wire::Message* message);  // counts errors
  void OnMessage(const wire::Message& message, const std::string& from, Time now);
  void OnSyncReply(const wire::Message& message, Time now);
  // Whether the message is of a member, and to this incarnation.
  bool IsFromMember(const wire::Message& message) const;

  const Options options_;
  const peers::FrameCodec codec_;
  LocalClock clock_;
  RandomSource random_;
  Time next_expiry_check_;
  Output output_;
  Counters counters_;

  MemberTable members_;
  SuspicionTable suspicions_;
  EndedIncarnations ended_;
  GossipQueue gossip_queue_;
  DocumentStore documents_;
  OutstandingProbes probes_;
  ConvergenceTracker convergence_;
  ReplyLimiter reply_limiter_;

  ClaimBuilder claims_;
  LocalMember local_;
  MessageSender sender_;
  MemberLifecycle lifecycle_;
  NameConflict name_conflict_;
  ClaimMerger merger_;
  AntiEntropy anti_entropy_;
  MessageFilter filter_;
  FailureDetector detector_;
  ProbeRelay relay_;
  Gossiper gossiper_;
  SeedContact seeds_;
  DocumentExchange document_exchange_;
};

}  // namespace copperpoint::membership

#endif  // COPPERPOINT_MEMBERSHIP_MEMBERSHIP_H_
