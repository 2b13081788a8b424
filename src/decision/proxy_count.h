// SPDX-License-Identifier: Apache-2.0
//
// Whether so many proxies share the traffic that one of them seldom sees the same client or key again.
#ifndef COPPERPOINT_DECISION_PROXY_COUNT_H_
#define COPPERPOINT_DECISION_PROXY_COUNT_H_

#include "copperpoint/balancer.h"

namespace copperpoint {

// With fewer proxies than this, each sees the same client and the same key again soon.
inline constexpr int kManyProxies = 16;

inline bool HasManyProxies(const Settings& settings) { return settings.proxy_count >= kManyProxies; }

}  // namespace copperpoint

#endif  // COPPERPOINT_DECISION_PROXY_COUNT_H_
