// SPDX-License-Identifier: Apache-2.0
#include "overload/priority.h"

#include <algorithm>
#include <cmath>

namespace copperpoint::overload {
namespace {

template <typename T>
T* At(std::vector<T>& of, int index) {
  return index >= 0 && index < static_cast<int>(of.size()) ? &of[static_cast<std::size_t>(index)] : nullptr;
}

}  // namespace

Priority::Priority(const Settings& settings)
    : goal_(settings.service_objective),
      classes_(settings.classes.size()),
      tenants_(settings.tenants.size()) {
  for (const ClassSettings& c : settings.classes) worth_.push_back(c.priority_weight);
}

void Priority::Count(int cls, int tenant, double work, bool within_share, double Share::*sum) {
  Share* of_class = At(classes_, cls);
  if (!of_class) return;
  const double worth = work * worth_[static_cast<std::size_t>(cls)];
  of_class->*sum += worth;
  if (Share* of_tenant = At(tenants_, tenant); of_tenant && within_share) of_tenant->*sum += worth;
}

void Priority::Asked(int cls, int tenant, double work, bool within_share) {
  Count(cls, tenant, work, within_share, &Share::asked);
  if (At(classes_, cls)) asked_ += work * worth_[static_cast<std::size_t>(cls)];
}

void Priority::InTime(int cls, int tenant, double work, bool within_share) {
  Count(cls, tenant, work, within_share, &Share::got);
}

void Priority::Forget(Duration elapsed) {
  const double kept = std::exp(-elapsed / kMemory);
  asked_ *= kept;
  for (auto* shares : {&classes_, &tenants_}) {
    for (Share& share : *shares) share.asked *= kept, share.got *= kept;
  }
}

const Priority::Share* Priority::Worst(const std::vector<Share>& shares) {
  const auto worst = std::min_element(shares.begin(), shares.end(),
                                      [](const Share& a, const Share& b) { return a.Part() < b.Part(); });
  return worst == shares.end() ? nullptr : &*worst;
}

double Priority::Of(int cls, int tenant) const {
  if (cls < 0 || cls >= static_cast<int>(classes_.size())) return 0;
  const double worth = worth_[static_cast<std::size_t>(cls)];
  double gain = goal_.overall;
  const Share* worst = Worst(classes_);
  if (worst == &classes_[static_cast<std::size_t>(cls)] && worst->asked > 0)
    gain += goal_.worst_class * asked_ / worst->asked;
  worst = Worst(tenants_);
  if (worst && tenant >= 0 && worst == tenants_.data() + tenant && worst->asked > 0)
    gain += goal_.worst_tenant * asked_ / worst->asked;
  return worth * gain;
}

}  // namespace copperpoint::overload
