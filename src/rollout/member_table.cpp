// SPDX-License-Identifier: Apache-2.0
#include "rollout/member_table.h"

#include <algorithm>
#include <utility>

namespace copperpoint::rollout {
namespace {

// Returns 0 for a counter that has decreased.
std::uint64_t Difference(std::uint64_t now, std::uint64_t before) { return now > before ? now - before : 0; }

// Returns what the process that reported both `before` and `now` has counted in between.
wire::Stratum IncreaseSince(const wire::Stratum& now, const std::vector<wire::Stratum>& before) {
  wire::Stratum increase = now;
  const auto found = std::find_if(before.begin(), before.end(), [&](const wire::Stratum& stratum) {
    return stratum.request_class() == now.request_class() && stratum.tenant() == now.tenant();
  });
  if (found == before.end()) return increase;
  increase.set_requests(Difference(now.requests(), found->requests()));
  increase.set_missed(std::min(increase.requests(), Difference(now.missed(), found->missed())));
  increase.set_rejected(Difference(now.rejected(), found->rejected()));
  increase.set_failed(Difference(now.failed(), found->failed()));
  increase.set_attempts(Difference(now.attempts(), found->attempts()));
  for (int i = 0; i < std::min(increase.latency_buckets_size(), found->latency_buckets_size()); ++i)
    increase.set_latency_buckets(
        i, static_cast<std::uint32_t>(Difference(now.latency_buckets(i), found->latency_buckets(i))));
  return increase;
}

std::uint64_t RequestsOf(const wire::MemberReport& report) {
  std::uint64_t requests = 0;
  for (const wire::Stratum& stratum : report.strata())
    if (stratum.tenant() == 0) requests += stratum.requests();
  return requests;
}

}  // namespace

MemberTable::MemberTable(std::string new_version, std::size_t members)
    : new_version_(std::move(new_version)), members_(members), counters_(members) {}

// The supervisor counts the new version's crashes from that version's start. Therefore the crashes of a
// member that was itself the leader are not lost: the next leader receives their number.
void MemberTable::CountCrashes(std::size_t rank, const wire::MemberReport& report) {
  ObservedMember& member = members_[rank];
  Counters& counters = counters_[rank];
  if (report.version() == new_version_) {
    member.crashes = report.crashes();
  } else if (counters.crashes_known && report.crashes() > counters.crashes) {
    member.crashes += report.crashes() - counters.crashes;
  }
  counters.crashes = report.crashes();
  counters.crashes_known = true;
}

void MemberTable::OnReport(Time requested_at, int rank, std::uint64_t rollout_id,
                           const wire::MemberReport& report) {
  const auto index = static_cast<std::size_t>(rank);
  ObservedMember& member = members_[index];
  Counters& counters = counters_[index];
  const bool same_process = member.has_reported && member.report.incarnation() == report.incarnation();
  CountCrashes(index, report);
  member.has_reported = true;
  member.last_contact = std::max(member.last_contact, requested_at);
  member.rollout_id = rollout_id;
  member.report = report;
  const std::uint64_t requests = RequestsOf(report);
  if (!same_process || counters.incarnation != report.incarnation()) {
    // A new process counts from its own start. What the previous process counted after its last report is
    // lost, in both cohorts.
    counters.strata.assign(report.strata().begin(), report.strata().end());
    counters.incarnation = report.incarnation();
    counters.processor_us = report.cpu_us();
    counters.requests = requests;
  }
  member.requests = Difference(requests, counters.requests);
  member.processor_us = Difference(report.cpu_us(), counters.processor_us);
  if (IsUpgraded(index)) member.was_upgraded = true;
}

void MemberTable::OnAdmitted(Time now, std::uint32_t admitted_members) {
  for (std::size_t rank = 0; rank < std::min<std::size_t>(admitted_members, members_.size()); ++rank)
    if (members_[rank].admitted_at == Time{}) members_[rank].admitted_at = now;
}

bool MemberTable::HasContact(Time now, std::size_t rank) const {
  const ObservedMember& member = members_[rank];
  return member.has_reported && now - member.last_contact <= kContactTime;
}

bool MemberTable::IsUpgraded(std::size_t rank) const {
  const wire::MemberReport& report = members_[rank].report;
  return report.version() == new_version_ && report.ready();
}

int MemberTable::CountParticipants(Time now, std::uint64_t rollout_id) const {
  int participants = 0;
  for (std::size_t rank = 0; rank < members_.size(); ++rank)
    participants += HasContact(now, rank) && members_[rank].rollout_id == rollout_id;
  return participants;
}

bool MemberTable::HasMajority(Time now, std::uint64_t rollout_id) const {
  return 2 * CountParticipants(now, rollout_id) > static_cast<int>(members_.size());
}

void MemberTable::StartBakeTime() {
  for (std::size_t rank = 0; rank < members_.size(); ++rank) {
    const wire::MemberReport& report = members_[rank].report;
    counters_[rank].strata.assign(report.strata().begin(), report.strata().end());
    counters_[rank].processor_us = report.cpu_us();
    counters_[rank].requests += members_[rank].requests;
  }
}

std::vector<wire::Stratum> MemberTable::TakeIncrease(std::size_t rank) {
  const wire::MemberReport& report = members_[rank].report;
  std::vector<wire::Stratum> increases;
  for (const wire::Stratum& stratum : report.strata()) {
    wire::Stratum increase = IncreaseSince(stratum, counters_[rank].strata);
    if (increase.requests() > 0) increases.push_back(std::move(increase));
  }
  counters_[rank].strata.assign(report.strata().begin(), report.strata().end());
  return increases;
}

}  // namespace copperpoint::rollout
