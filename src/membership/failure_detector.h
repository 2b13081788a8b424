// SPDX-License-Identifier: Apache-2.0
//
// Detects members that no longer answer (SWIM with Lifeguard's extensions): probes one in each period,
// suspects those that do not answer, and as a confirmer of a suspicion (SuspicionTable) declares a death.
#ifndef COPPERPOINT_MEMBERSHIP_FAILURE_DETECTOR_H_
#define COPPERPOINT_MEMBERSHIP_FAILURE_DETECTOR_H_

#include <cstdint>
#include <string>

#include "membership/gossip_queue.h"
#include "membership/local_member.h"
#include "membership/member_lifecycle.h"
#include "membership/member_table.h"
#include "membership/message_sender.h"
#include "membership/options.h"
#include "membership/probes.h"
#include "membership/random_source.h"
#include "membership/suspicion_table.h"

namespace copperpoint::membership {

// Owns the order in which members are probed, and the times of the next probe, of the next check of the
// suspicions, and of the next probe of a dead member.
class FailureDetector {
 public:
  // The first probe is due at `first_probe`.
  FailureDetector(const Options& options, const MemberTable& members, SuspicionTable& suspicions,
                  OutstandingProbes& probes, GossipQueue& queue, const LocalMember& local,
                  MemberLifecycle& lifecycle, MessageSender& sender, RandomSource& random, Time first_probe,
                  Time now);

  Time next() const;  // the time at which OnTimer is due
  void OnTimer(Time now);
  // Handles the ack of a probe that this member sent, received directly or through another member.
  void OnAck(const wire::Message& message, Time now);

 private:
  void CheckProbes(Time now);
  void OnProbeExpired(const Probe& probe, Time now);
  void ProbeNextMember(Time now);
  void CheckSuspicions(Time now);
  void ProbeDeadMember(Time now);
  // `confirming`: sent as a confirmer of a suspect. Returns the probe's id.
  std::uint32_t SendProbe(int index, bool confirming, Time now);
  // Has `count` random alive members repeat the probe and at once report their last contact with the target.
  void RequestIndirectProbes(int count, std::uint32_t probe_id, const std::string& target, Time now);

  const Options& options_;
  const MemberTable& members_;
  SuspicionTable& suspicions_;
  OutstandingProbes& probes_;
  GossipQueue& queue_;
  const LocalMember& local_;
  MemberLifecycle& lifecycle_;
  MessageSender& sender_;
  RandomSource& random_;
  ProbeOrder order_;
  Time next_probe_, next_dead_probe_, next_suspicion_check_;
};

}  // namespace copperpoint::membership

#endif  // COPPERPOINT_MEMBERSHIP_FAILURE_DETECTOR_H_
