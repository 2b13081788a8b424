// SPDX-License-Identifier: Apache-2.0
//
// The names and codes of the simulator's protocol and the terms that the program uses for them. Names of the
// protocol that differ from the program's terms are used in this file only.
#ifndef COPPERPOINT_ADAPTER_WIRE_NAMES_H_
#define COPPERPOINT_ADAPTER_WIRE_NAMES_H_

#include <cstdint>

#include "copperpoint/balancer.h"

namespace copperpoint::adapter::wire {

// ---- records ------------------------------------------------------------------------------------------

// Codes of events. A comment gives the protocol's name where it differs.
enum class EventCode : std::uint8_t {
  kCreateInstance = 16,        // create
  kEndpointUpdate = 17,        // discovery
  kRequestReceived = 18,       // submit
  kResponseStarted = 19,       // opened
  kAttemptCompleted = 20,      // attempt end
  kClientDisconnected = 21,    // aborted
  kTimerFired = 22,            // elapsed
  kHealthCheckCompleted = 23,  // probed
  kPeerMessage = 24,           // heard
  kCrash = 25,
};
inline constexpr std::uint8_t kFirstEventCode = 16, kLastEventCode = 25;

// Codes of actions. A comment gives the protocol's name where it differs.
enum class ActionCode : std::uint8_t {
  kFailRequest = 16,           // abort
  kPollEndpoints = 18,         // stream changes
  kCloseIdleConnections = 19,  // shut idle
  kRejectRequest = 20,         // say no
  kInternalError = 21,
  kLog = 22,           // record
  kSetTimer = 25,      // wake me
  kStartAttempt = 27,  // dispatch
};

// Bits of the flags of a received request. A comment gives the protocol's name.
inline constexpr std::uint16_t kFlagWorkEstimate = 1;  // hint
inline constexpr std::uint16_t kFlagClientRetry = 2;   // repeat

// Status codes of the outcomes of attempts.
inline constexpr std::uint16_t kStatusSuccess = 200;
inline constexpr std::uint16_t kStatusNotSent = 410;
inline constexpr std::uint16_t kStatusCancelled = 499;
inline constexpr std::uint16_t kStatusServerError = 500;
inline constexpr std::uint16_t kStatusConnectFailure = 502;
inline constexpr std::uint16_t kStatusBackendRejected = 503;
inline constexpr std::uint16_t kStatusTimeout = 504;
inline constexpr std::uint16_t kStatusConnectionReset = 598;

// Size of an endpoint in an endpoint list, in bytes.
inline constexpr std::uint32_t kEndpointBytes = 23;
// Kinds of lists and states of endpoints have the numbers of EndpointUpdateKind and EndpointState.
inline constexpr std::uint8_t kMaxUpdateKind = static_cast<std::uint8_t>(EndpointUpdateKind::kFailed);
inline constexpr std::uint8_t kMaxEndpointState = static_cast<std::uint8_t>(EndpointState::kDraining);

// ---- keys of the settings, whose lines have the form path=value ----------------------------------------
namespace keys {

inline constexpr const char* kProxyCount = "balancers";
inline constexpr const char* kProxyIndex = "me";
inline constexpr const char* kZone = "zone";
inline constexpr const char* kClassCount = "classes.count";
inline constexpr const char* kTenantCount = "tenants.count";

// Keys after the prefix "classes.N.", where N is the index of a class.
inline constexpr const char* kIdempotency = "effect";
inline constexpr const char* kDeduplicationScope = "group";
inline constexpr const char* kDeduplicationWindow = "windowMs";
inline constexpr const char* kLatencyObjective = "goalTimeMs";
inline constexpr const char* kDeadline = "deadlineMs";
inline constexpr const char* kPriorityWeight = "worth";
inline constexpr const char* kLateWeightFraction = "lateWorth";

// Key after the prefix "tenants.N.", where N is the index of a tenant.
inline constexpr const char* kQuotaPerSecond = "quotaPerS";

inline constexpr const char* kObjectiveOverall = "goal.whole";
inline constexpr const char* kObjectiveWorstClass = "goal.worstClass";
inline constexpr const char* kObjectiveWorstTenant = "goal.worstTenant";
inline constexpr const char* kOverQuotaWeight = "overShareWorth";
inline constexpr const char* kCrossZoneCost = "deductions.crossZone";
inline constexpr const char* kKeyAffinity = "specifics.warmKeys";
inline constexpr const char* kDiscoveryMode = "registryMode";
inline constexpr const char* kMaxPollInterval = "rules.mustAskInMs";
inline constexpr const char* kMaxAttempts = "permissions.maxAttempts";
inline constexpr const char* kRetryAfterAllowed = "permissions.retryAfter";
inline constexpr const char* kMaxRetryAfter = "permissions.maxRetryAfterMs";
inline constexpr const char* kTick = "periodMs";
inline constexpr const char* kSlowStartMinCapacity = "rules.coldFrom";
inline constexpr const char* kSlowStartWindow = "rules.warmUpMs";
inline constexpr const char* kOverloadFactor = "rules.fallMultiple";
inline constexpr const char* kOverloadWindow = "rules.overloadForMs";

}  // namespace keys

// ---- values of the settings that are words --------------------------------------------------------------
namespace words {

inline constexpr const char* kTrue = "true";
inline constexpr const char* kFalse = "false";

inline constexpr const char* kIdempotent = "read_like";
inline constexpr const char* kIdempotencyKey = "idempotency_key";
inline constexpr const char* kNonIdempotent = "non_idempotent";

inline constexpr const char* kScopeAll = "all";
inline constexpr const char* kScopeZone = "zone";
inline constexpr const char* kScopeCell = "cell";

inline constexpr const char* kDiscoveryPushes = "push";
inline constexpr const char* kDiscoveryIsPolled = "ask";

}  // namespace words

}  // namespace copperpoint::adapter::wire

#endif  // COPPERPOINT_ADAPTER_WIRE_NAMES_H_
