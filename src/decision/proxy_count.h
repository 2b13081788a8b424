// SPDX-License-Identifier: Apache-2.0
//
// Where the number of proxies changes what one proxy can know by itself.
#ifndef COPPERPOINT_DECISION_PROXY_COUNT_H_
#define COPPERPOINT_DECISION_PROXY_COUNT_H_

#include "copperpoint/balancer.h"

namespace copperpoint {

// With fewer proxies, one sees the same client and the same key again soon.
inline constexpr int kManyProxies = 16;

inline bool HasManyProxies(const Settings& settings) { return settings.proxy_count >= kManyProxies; }

}  // namespace copperpoint

#endif  // COPPERPOINT_DECISION_PROXY_COUNT_H_
