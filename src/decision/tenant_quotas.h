// SPDX-License-Identifier: Apache-2.0
//
// Decides whether a request is within its tenant's quota, by a token bucket per tenant.
#ifndef COPPERPOINT_DECISION_TENANT_QUOTAS_H_
#define COPPERPOINT_DECISION_TENANT_QUOTAS_H_

#include <algorithm>
#include <cstddef>
#include <vector>

#include "copperpoint/balancer.h"

namespace copperpoint {

// The quota is split evenly over the proxies. A bucket holds the tokens of up to kBurstMs of this proxy's
// part, and at least one. Owns the tokens, one per request.
class TenantQuotas {
 public:
  explicit TenantQuotas(const Settings& settings) : tokens_(settings.tenants.size(), 1) {
    rates_per_ms_.reserve(settings.tenants.size());
    for (const TenantSettings& tenant : settings.tenants)
      rates_per_ms_.push_back(tenant.quota_per_s / settings.proxy_count / 1000);
  }

  // Takes a token; returns false if there is none. A tenant that isn't in the settings has no quota.
  bool TakeToken(int tenant) {
    if (tenant < 0 || tenant >= static_cast<int>(tokens_.size())) return true;
    double& tokens = tokens_[static_cast<std::size_t>(tenant)];
    if (tokens < 1) return false;
    tokens -= 1;
    return true;
  }

  void Refill(double elapsed_ms) {
    for (std::size_t t = 0; t < tokens_.size(); ++t) {
      const double rate = rates_per_ms_[t];
      tokens_[t] = std::min(std::max(1.0, rate * kBurstMs), tokens_[t] + rate * elapsed_ms);
    }
  }

 private:
  static constexpr double kBurstMs = 2000;

  std::vector<double> rates_per_ms_, tokens_;
};

}  // namespace copperpoint

#endif  // COPPERPOINT_DECISION_TENANT_QUOTAS_H_
