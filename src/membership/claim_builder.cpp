// SPDX-License-Identifier: Apache-2.0
#include "membership/claim_builder.h"

#include <algorithm>

#include "peers/frame.h"

namespace copperpoint::membership {
namespace {

constexpr std::size_t kMaxEnvelopeBytes = 256;  // the bytes of a datagram reserved for all but the record

}  // namespace

std::uint32_t AgeMs(Time age) {
  return static_cast<std::uint32_t>(
      std::max<std::int64_t>(0, std::chrono::duration_cast<milliseconds>(age).count()));
}

bool IsWithinLimits(const Record& record, const Options& options) {
  if (record.name().empty() || record.name().size() > options.max_name_bytes) return false;
  for (const std::string* text : {&record.address(), &record.zone(), &record.program(), &record.settings()})
    if (text->size() > options.max_name_bytes) return false;
  if (record.metadata().size() > options.max_metadata_entries) return false;
  for (const auto& [key, value] : record.metadata())
    if (key.size() > options.max_name_bytes || value.size() > options.max_metadata_value_bytes) return false;
  return record.ByteSizeLong() <= peers::kMaxDatagramBytes - kMaxEnvelopeBytes;
}

wire::Claim ClaimBuilder::ClaimOn(int index, Time now) const {
  const Member& member = members_[index];
  wire::Claim claim;
  claim.set_status(static_cast<wire::Status>(member.status));
  if (member.status == MemberStatus::kAlive) {
    *claim.mutable_record() = *member.record;
    return claim;
  }
  *claim.mutable_record() = *TombstoneOf(*member.record);
  claim.set_age_ms(AgeMs(now - member.status_since));
  const Suspicion* suspicion = suspicions_.Find(index);
  const bool accused = suspicion && !suspicion->accusers.empty();
  claim.set_reported_by(accused ? suspicion->accusers.front() : own_name_);
  return claim;
}

wire::LastContact ClaimBuilder::LastContactOf(int index, Time contact, Time now) const {
  const Record& record = *members_[index].record;
  wire::LastContact last_contact;
  last_contact.set_name(record.name());
  last_contact.set_refutation_number(record.refutation_number());
  last_contact.set_age_ms(AgeMs(now - contact));
  return last_contact;
}

}  // namespace copperpoint::membership
