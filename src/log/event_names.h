// SPDX-License-Identifier: Apache-2.0
//
// The names of log events and fields that programs reading the logs rely on: the proxy and the simulation
// write them, and log_analysis counts them. docs/operations.md says what each event means.
#ifndef COPPERPOINT_LOG_EVENT_NAMES_H_
#define COPPERPOINT_LOG_EVENT_NAMES_H_

#include <string_view>

namespace copperpoint::log::events {

// ---- requests and attempts ----
inline constexpr std::string_view kRequestReceived = "request_received";
inline constexpr std::string_view kRequestCompleted = "request_completed";
inline constexpr std::string_view kAttemptStarted = "attempt_started";
inline constexpr std::string_view kRequestWritten = "request_written";
inline constexpr std::string_view kAttemptCompleted = "attempt_completed";
inline constexpr std::string_view kConnectionOpened = "connection_opened";
inline constexpr std::string_view kActionFailed = "action_failed";
inline constexpr std::string_view kResponseFailed = "response_failed";
inline constexpr std::string_view kHandlerFailed = "handler_failed";

// ---- decisions and endpoints ----
inline constexpr std::string_view kDecision = "decision";
inline constexpr std::string_view kEndpointListReceived = "endpoint_list_received";
inline constexpr std::string_view kEndpointListed = "endpoint_listed";
inline constexpr std::string_view kDiscoveryPolled = "discovery_polled";
inline constexpr std::string_view kDiscoveryFailed = "discovery_failed";
inline constexpr std::string_view kDiscoveryUnavailable = "discovery_unavailable";
inline constexpr std::string_view kDiscoveryRecovered = "discovery_recovered";
inline constexpr std::string_view kDiscoveryMalformed = "discovery_malformed";

// ---- lifecycle, configuration, upgrades ----
inline constexpr std::string_view kStateChanged = "state_changed";
inline constexpr std::string_view kBackendDisabled = "backend_disabled";
inline constexpr std::string_view kBackendEnabled = "backend_enabled";
inline constexpr std::string_view kDisabledFileIgnored = "disabled_file_ignored";
inline constexpr std::string_view kConfigurationReloaded = "configuration_reloaded";
inline constexpr std::string_view kConfigurationRejected = "configuration_rejected";
inline constexpr std::string_view kUpgradeWaitsForEndpoints = "upgrade_waits_for_endpoints";
inline constexpr std::string_view kUpgradeListenerReceived = "upgrade_listener_received";
inline constexpr std::string_view kUpgradeListenerHandedOver = "upgrade_listener_handed_over";
inline constexpr std::string_view kUpgradeListensAlongside = "upgrade_listens_alongside";
inline constexpr std::string_view kUpgradeDiscoveryMoved = "upgrade_discovery_moved";
inline constexpr std::string_view kUpgradeEndpointsReceived = "upgrade_endpoints_received";
inline constexpr std::string_view kUpgradeEndpointsNotSent = "upgrade_endpoints_not_sent";
inline constexpr std::string_view kUpgradePredecessorExited = "upgrade_predecessor_exited";
inline constexpr std::string_view kUpgradeSuccessorExited = "upgrade_successor_exited";
inline constexpr std::string_view kUpgradeStateUnreadable = "upgrade_state_unreadable";

// ---- the log itself ----
inline constexpr std::string_view kLogLinesDropped = "log_lines_dropped";

}  // namespace copperpoint::log::events

namespace copperpoint::log::fields {

inline constexpr std::string_view kBackend = "backend";
inline constexpr std::string_view kCount = "count";
inline constexpr std::string_view kDeadlineMs = "deadline_ms";  // after the request's arrival
inline constexpr std::string_view kDurationMs = "duration_ms";
inline constexpr std::string_view kEndpoints = "endpoints";      // number in the list
inline constexpr std::string_view kFingerprint = "fingerprint";  // shared by all retries of a logical request
inline constexpr std::string_view kId = "id";
inline constexpr std::string_view kKind = "kind";
inline constexpr std::string_view kOutcome = "outcome";  // of an attempt
inline constexpr std::string_view kReason = "reason";
inline constexpr std::string_view kRequest = "request";  // number of the request in this process
inline constexpr std::string_view kResult = "result";    // of a request
inline constexpr std::string_view kState = "state";
inline constexpr std::string_view kText = "text";
inline constexpr std::string_view kUpSinceMs = "up_since_ms";  // Unix time; 0: long ago
inline constexpr std::string_view kWorkMs = "work_ms";         // estimated

}  // namespace copperpoint::log::fields

#endif  // COPPERPOINT_LOG_EVENT_NAMES_H_
