// SPDX-License-Identifier: Apache-2.0
#include "membership/seed_contact.h"

#include <algorithm>
#include <utility>

namespace copperpoint::membership {
namespace {

// The time between two contacts until this member has found another one.
constexpr Time kJoinPeriod = milliseconds(200);
// The number of reconnect_periods between two contacts after that.
constexpr int kEstablishedPeriods = 5;

}  // namespace

SeedContact::SeedContact(const Options& options, const MemberTable& members, LocalMember& local,
                         AntiEntropy& anti_entropy, RandomSource& random, Time now)
    : options_(options),
      members_(members),
      local_(local),
      anti_entropy_(anti_entropy),
      random_(random),
      alone_at_(now + kAloneAfter) {}

void SeedContact::Join(std::vector<std::string> seeds, Time now) {
  seeds_ = std::move(seeds);
  std::erase(seeds_, local_.record().address());
  if (seeds_.empty()) {
    local_.set_established();
  } else {
    Contact(now);
  }
}

Time SeedContact::next() const {
  return local_.established() ? next_contact_ : std::min(next_contact_, alone_at_);
}

void SeedContact::CheckAlone(Time now) {
  if (now >= alone_at_) local_.set_established();
}

void SeedContact::ContactIfDue(Time now) {
  if (now >= next_contact_) Contact(now);
}

void SeedContact::Contact(Time now) {
  const bool found = local_.established() && members_.living().size() > 1;
  next_contact_ = now + (found ? kEstablishedPeriods * options_.reconnect_period : kJoinPeriod);
  if (seeds_.empty()) return;
  const std::string& seed = seeds_[random_.Below(seeds_.size())];
  for (const int index : members_.living()) {
    if (members_[index].record->address() == seed) return;
  }
  anti_entropy_.Start(seed, now);
}

}  // namespace copperpoint::membership
