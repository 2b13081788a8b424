// SPDX-License-Identifier: Apache-2.0
#include "simulation/policies/oracle_policy.h"

#include <utility>

namespace copperpoint::simulation {

OraclePolicy::OraclePolicy(PolicyContext policy_context)
    : EndpointTrackingPolicy(std::move(policy_context)), random_(context().seed, "oracle") {}

double OraclePolicy::ResponseTime(const OpenRequest& request, int index) const {
  const auto proxy = static_cast<std::uint32_t>(context().settings.proxy_index);
  const BackendId backend = backends()[static_cast<std::size_t>(index)].id;
  return context().truth->ResponseTime(proxy, backend, request.received.estimated_work_ms,
                                       request.received.key);
}

int OraclePolicy::Pick(const OpenRequest& request) {
  const bool is_sampled = ready().size() > kMaxSampled;
  const std::size_t candidates = is_sampled ? kMaxSampled : ready().size();
  int best = -1;
  double best_ms = 0;
  for (std::size_t k = 0; k < candidates; ++k) {
    const int index = is_sampled ? ready()[random_.Below(ready().size())] : ready()[k];
    const double response_ms = ResponseTime(request, index);
    if (response_ms < 0 || (best >= 0 && response_ms >= best_ms)) continue;
    best = index;
    best_ms = response_ms;
  }
  const auto request_class = static_cast<std::size_t>(request.received.request_class);
  const Duration objective = context().settings.classes[request_class].latency_objective;
  return best >= 0 && best_ms > objective.count() ? -1 : best;
}

}  // namespace copperpoint::simulation
