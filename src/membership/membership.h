// SPDX-License-Identifier: Apache-2.0
//
// One member's knowledge of the fleet, gained only from messages of the other members (docs/membership.md).
// It has no I/O, clock or thread: the host passes in the time and received frames, and takes frames to send
// and events. The proxy and the fault tests host the same class.
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

// Owns all state of one member, and passes each event to the class that is responsible for it. All times that
// the functions take and return are the host's.
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

  // Starts this member as one that has known `others` for long. Used in virtual time only.
  void Settle(Time now, const std::vector<std::shared_ptr<const Record>>& others);
  // Joins the fleet through the members at the addresses `seeds`. Seeds that do not answer are contacted
  // again from time to time.
  void Join(Time now, std::vector<std::string> seeds);

  // Handles a datagram; `from` is the sender's address.
  void OnDatagram(Time now, const std::string& from, std::string_view bytes);
  // Handles a frame that opens an exchange. Returns the frame of the reply, or an empty string for no reply.
  std::string OnExchange(Time now, std::string_view frame);
  // Handles the reply to an exchange that this member opened.
  void OnReply(Time now, std::string_view frame);
  void OnTick(Time now);
  Time next() const;  // the time at which OnTick is due; kNever after this member has stopped

  void SetState(Time now, MemberState state);
  // Publishes a value in this member's metadata. Returns false if the record would be over a limit, or if
  // this member has stopped.
  bool Publish(Time now, const std::string& key, const std::string& value);
  // Sends an application message to a member in one datagram, which may be lost. Returns false if no other
  // living member has that name, the body is over the limit, or this member has stopped.
  bool SendMessage(Time now, const std::string& to, Topic topic, std::string body);
  // Disseminates a version of a document to all members; an empty body makes it a mark. Returns false if the
  // stored version is as late, the document is over a limit, or this member has stopped.
  bool PublishDocument(Time now, Topic topic, std::uint64_t version, std::string body);
  const Document* document(Topic topic) const { return documents_.Find(topic); }
  void SetDocumentFilter(DocumentStore::Filter filter) { documents_.SetFilter(std::move(filter)); }
  // Notifies some members that this one leaves, and stops.
  void Leave(Time now);

  // Returns what is to be sent and reported. Must be called after each of the above, and before next().
  Output Take();

  const MemberTable& members() const { return members_; }
  const Record& self() const { return local_.record(); }
  // Returns whether this member has met another one, or has found that there is none.
  bool established() const { return local_.established(); }
  // Returns whether this member has left or lost its name. It sends nothing more then.
  bool stopped() const { return local_.stopped(); }
  // Returns whether this member is established and running, suspects no member, and had the same table as the
  // senders of the last messages (ConvergenceTracker::Agrees).
  bool converged() const;
  const Counters& counters() const { return counters_; }
  std::size_t gossip_dropped() const { return gossip_queue_.dropped(); }
  // Returns the suspicion of the member with this index, or nullptr if it is not suspected.
  const Suspicion* suspicion(int index) const { return suspicions_.Find(index); }
  // Converts the host's time to the local time, which the member table and the suspicions use.
  Time ToLocalTime(Time host_time) const { return clock_.ToLocal(host_time); }

 private:
  // Decodes a frame, and counts it by its error if it has one.
  peers::FrameError Decode(std::string_view frame, wire::Message* message);
  void OnMessage(const wire::Message& message, const std::string& from, Time now);
  void OnSyncReply(const wire::Message& message, Time now);
  // Returns whether the message comes from a known process and is addressed to this incarnation.
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
