// SPDX-License-Identifier: Apache-2.0
#include "decision/request_priority.h"

#include <algorithm>
#include <cmath>

namespace copperpoint {
namespace {

template <typename T>
T* At(std::vector<T>& items, int index) {
  return index >= 0 && index < static_cast<int>(items.size()) ? &items[static_cast<std::size_t>(index)]
                                                              : nullptr;
}

}  // namespace

RequestPriority::RequestPriority(const Settings& settings)
    : objective_(settings.service_objective),
      classes_(settings.classes.size()),
      tenants_(settings.tenants.size()) {
  weights_.reserve(settings.classes.size());
  for (const ClassSettings& c : settings.classes) weights_.push_back(c.priority_weight);
}

void RequestPriority::Count(int request_class, int tenant, double work_ms, bool within_quota,
                            double Service::*sum) {
  Service* of_class = At(classes_, request_class);
  if (!of_class) return;
  const double weighted_work = work_ms * weights_[static_cast<std::size_t>(request_class)];
  of_class->*sum += weighted_work;
  if (Service* of_tenant = At(tenants_, tenant); of_tenant && within_quota) of_tenant->*sum += weighted_work;
}

void RequestPriority::OnOffered(int request_class, int tenant, double work_ms, bool within_quota) {
  Count(request_class, tenant, work_ms, within_quota, &Service::offered);
  if (At(classes_, request_class)) offered_ += work_ms * weights_[static_cast<std::size_t>(request_class)];
}

void RequestPriority::OnServedInTime(int request_class, int tenant, double work_ms, bool within_quota) {
  Count(request_class, tenant, work_ms, within_quota, &Service::served);
}

void RequestPriority::Decay(Duration elapsed) {
  const double remaining = std::exp(-elapsed / kMemory);
  offered_ *= remaining;
  for (auto* services : {&classes_, &tenants_}) {
    for (Service& service : *services) {
      service.offered *= remaining;
      service.served *= remaining;
    }
  }
}

const RequestPriority::Service* RequestPriority::WorstServed(const std::vector<Service>& services) {
  const auto worst = std::min_element(
      services.begin(), services.end(),
      [](const Service& a, const Service& b) { return a.FractionServed() < b.FractionServed(); });
  return worst == services.end() ? nullptr : &*worst;
}

double RequestPriority::PriorityOf(int request_class, int tenant) const {
  if (request_class < 0 || request_class >= static_cast<int>(classes_.size())) return 0;
  const double weight = weights_[static_cast<std::size_t>(request_class)];
  double gain = objective_.overall;
  const Service* worst = WorstServed(classes_);
  if (worst == &classes_[static_cast<std::size_t>(request_class)] && worst->offered > 0)
    gain += objective_.worst_class * offered_ / worst->offered;
  worst = WorstServed(tenants_);
  if (worst && tenant >= 0 && worst == tenants_.data() + tenant && worst->offered > 0)
    gain += objective_.worst_tenant * offered_ / worst->offered;
  return weight * gain;
}

}  // namespace copperpoint
