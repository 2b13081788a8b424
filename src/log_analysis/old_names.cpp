// SPDX-License-Identifier: Apache-2.0
#include "log_analysis/old_names.h"

#include <string>
#include <string_view>

namespace copperpoint::log_analysis {
namespace {

struct Rename {
  std::string_view from, to;
};

constexpr Rename kEvents[] = {
    {"answer_failed", "response_failed"},
    {"attempt_ended", "attempt_completed"},
    {"attempt_sent", "attempt_started"},
    {"configuration_refused", "configuration_rejected"},
    {"discovery_away", "discovery_unavailable"},
    {"discovery_back", "discovery_recovered"},
    {"discovery_called", "discovery_polled"},
    {"discovery_garbled", "discovery_malformed"},
    {"list_taken", "endpoint_list_received"},
    {"log_lines_left_out", "log_lines_dropped"},
    {"request_ended", "request_completed"},
    {"request_taken", "request_received"},
    {"server_listed", "endpoint_listed"},
    {"upgrade_before_gone", "upgrade_predecessor_exited"},
    {"upgrade_learnt_unreadable", "upgrade_state_unreadable"},
    {"upgrade_listener_given", "upgrade_listener_handed_over"},
    {"upgrade_listener_taken", "upgrade_listener_received"},
    {"upgrade_listens_beside", "upgrade_listens_alongside"},
    {"upgrade_next_gone", "upgrade_successor_exited"},
    {"upgrade_waits_for_list", "upgrade_waits_for_endpoints"},
};

constexpr Rename kFields[] = {
    {"after_ms", "duration_ms"}, {"allowed_ms", "deadline_ms"}, {"how", "result"}, {"members", "endpoints"},
    {"server", "backend"},       {"took_ms", "duration_ms"},    {"why", "reason"}, {"wish", "fingerprint"},
};

// Values by event and by the field's old name: the same word may mean another thing elsewhere.
struct ValueRename {
  std::string_view event, field, from, to;
};

constexpr ValueRename kValues[] = {
    {"request_completed", "how", "rejected", "client_error"},
    {"request_completed", "how", "refused", "rejected"},
    {"request_completed", "how", "client_gone", "client_disconnected"},
    {"request_completed", "why", "too_large", "deadline_unreachable"},
    {"request_completed", "why", "throttled", "load_shed"},
    {"request_completed", "why", "no_place", "no_capacity"},
    {"request_completed", "why", "no_repeat", "not_retriable"},
    {"request_completed", "why", "retry_budget", "retry_budget_exhausted"},
    {"request_completed", "why", "own_limit", "process_limit"},
    {"request_completed", "why", "body_has_left", "request_body_consumed"},
    {"attempt_completed", "outcome", "ok", "success"},
    {"attempt_completed", "outcome", "error", "server_error"},
    {"attempt_completed", "outcome", "full", "backend_rejected"},
    {"attempt_completed", "outcome", "connect_failed", "connect_failure"},
    {"attempt_completed", "outcome", "reset", "connection_reset"},
    {"attempt_completed", "outcome", "moot", "not_sent"},
    {"endpoint_list_received", "kind", "delta", "incremental"},
    {"endpoint_list_received", "kind", "full", "snapshot"},
    {"endpoint_listed", "state", "gone", "removed"},
};

constexpr std::string_view kOldEjection = "server ";
constexpr std::string_view kEjection = "backend ";

void RenameValue(std::string_view event, std::string_view field, std::string* value) {
  for (const ValueRename& rename : kValues) {
    if (rename.event != event || rename.field != field || rename.from != *value) continue;
    *value = rename.to;
    return;
  }
}

void RenameField(std::string* name) {
  for (const Rename& rename : kFields) {
    if (rename.from != *name) continue;
    *name = rename.to;
    return;
  }
}

}  // namespace

void UseCurrentNames(LogRecord* record) {
  for (const Rename& rename : kEvents) {
    if (rename.from == record->event) record->event = rename.to;
  }
  for (auto& [name, value] : record->fields) {
    RenameValue(record->event, name, &value);
    RenameField(&name);
    const bool old_text = record->event == "decision" && name == "text" && value.starts_with(kOldEjection);
    if (old_text) value.replace(0, kOldEjection.size(), kEjection);
  }
}

}  // namespace copperpoint::log_analysis
