// SPDX-License-Identifier: Apache-2.0
#include "adapter/instance_host.h"

#include <ostream>
#include <utility>
#include <vector>

#include "adapter/settings.h"

namespace copperpoint::adapter {

std::string InstanceHost::HandleBatch(const Batch& batch) {
  for (const Record& record : batch.records) Handle(batch.now, record);
  return reply_.Take();
}

void InstanceHost::Handle(TimePoint now, const Record& record) {
  const std::uint32_t instance = record.instance;
  if (const auto* ignored = std::get_if<IgnoredEvent>(&record.message)) {
    if (!ignored->known_code)
      ReportOnce("unknown event code " + std::to_string(ignored->code) + "; event skipped");
    return;
  }
  if (const auto* create = std::get_if<CreateInstance>(&record.message)) {
    instances_.erase(instance);
    try {
      instances_.emplace(instance, Balancer(ParseSettings(create->config), create->seed));
    } catch (const BadSettings& error) {
      reply_.AddInternalError(instance, error.what());
    }
    return;
  }
  const auto found = instances_.find(instance);
  if (found == instances_.end()) {
    ReportOnce("event for instance " + std::to_string(instance) + ", which doesn't exist; event ignored");
    return;
  }
  if (std::holds_alternative<CrashInstance>(record.message)) {
    instances_.erase(found);
    return;
  }
  std::vector<Action> actions;
  found->second.Handle(now, std::get<Event>(record.message), &actions);
  for (const Action& action : actions) reply_.Add(instance, action);
}

void InstanceHost::ReportOnce(const std::string& what) {
  if (reported_.insert(what).second) diagnostics_ << "copperpoint_adapter: " << what << '\n';
}

}  // namespace copperpoint::adapter
