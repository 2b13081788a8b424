// SPDX-License-Identifier: Apache-2.0
#include "membership/local_member.h"

#include <stdexcept>
#include <utility>

namespace copperpoint::membership {
namespace {

std::shared_ptr<Record> FirstRecord(const Options& options, Record record, std::uint64_t incarnation) {
  record.set_incarnation(incarnation);
  if (record.refutation_number() == 0) record.set_refutation_number(1);
  if (!IsWithinLimits(record, options))
    throw std::invalid_argument(
        "the record of member '" + record.name() + "' is over a limit: expected a name of 1 to " +
        std::to_string(options.max_name_bytes) +
        " bytes, and an address, a zone and versions of at most as many, all of which fit into one datagram");
  return std::make_shared<Record>(std::move(record));
}

}  // namespace

LocalMember::LocalMember(const Options& options, MemberTable& members, GossipQueue& queue,
                         ConvergenceTracker& convergence, const ClaimBuilder& claims, Record record,
                         std::uint64_t incarnation, Time now)
    : members_(members),
      queue_(queue),
      convergence_(convergence),
      claims_(claims),
      incarnation_(incarnation),
      index_(members.Add(FirstRecord(options, std::move(record), incarnation), MemberStatus::kAlive, now)) {}

void LocalMember::Stop() {
  stopped_ = true;
  queue_.Clear();
}

std::shared_ptr<Record> LocalMember::WithState(MemberState state) const {
  auto next = std::make_shared<Record>(record());
  next->set_state(static_cast<std::uint32_t>(state));
  next->set_version(next->version() + 1);
  return next;
}

std::shared_ptr<Record> LocalMember::WithMetadata(const std::string& key, const std::string& value) const {
  auto next = std::make_shared<Record>(record());
  (*next->mutable_metadata())[key] = value;
  next->set_version(next->version() + 1);
  return next;
}

void LocalMember::Replace(std::shared_ptr<Record> record, Time now) {
  members_.Set(index_, std::move(record), MemberStatus::kAlive, now);
  queue_.Add(claims_.ClaimOn(index_, now), now);
  convergence_.OnTableChanged(now);
}

void LocalMember::Refute(std::uint32_t refutation_number, Time now) {
  auto next = std::make_shared<Record>(record());
  next->set_refutation_number(refutation_number + 1);
  Replace(std::move(next), now);
  queue_.ScheduleRound(now);
}

}  // namespace copperpoint::membership
