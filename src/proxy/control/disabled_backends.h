// SPDX-License-Identifier: Apache-2.0
//
// The backends that operators have disabled by hand. They are marked as draining in every endpoint list,
// whatever state discovery reports for them.
#ifndef COPPERPOINT_PROXY_CONTROL_DISABLED_BACKENDS_H_
#define COPPERPOINT_PROXY_CONTROL_DISABLED_BACKENDS_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "log/log.h"
#include "proxy/control/disabled_file.h"
#include "proxy/discovery/endpoints.h"

namespace copperpoint::proxy {

// Owns the set of ids. It outlives this process in a DisabledFile, which a second process of the same proxy
// reads and writes too.
class DisabledBackends {
 public:
  enum class ChangeResult {
    kDone,
    kUnknownBackend,  // neither listed by discovery nor disabled
    kNotStored,       // a limit is reached, or the file could not be locked or written
  };

  // With an empty `file` the set lasts as long as this process.
  DisabledBackends(std::string file, log::Logger& log);

  // Returns the list with disabled backends marked as draining. `snapshot`: the list names every backend.
  EndpointList Apply(EndpointList list, bool snapshot);

  // `changes` receives an incremental update for the rest of the proxy. Both are idempotent. Unless kDone is
  // returned, nothing has changed.
  ChangeResult Disable(const std::string& id, EndpointList* changes);
  ChangeResult Enable(const std::string& id, EndpointList* changes);

  // Returns an incremental update with what another process has changed since the file was last read.
  EndpointList ReloadIfChanged();

  const std::set<std::string>& ids() const { return ids_; }
  // Returns the present list as discovery has it, without the marks of this class.
  EndpointList ListedEndpoints() const;

 private:
  ChangeResult Change(const std::string& id, bool disable, EndpointList* changes);
  // Replaces the set by `ids`, logs the differences and returns them as an incremental update.
  EndpointList Replace(std::set<std::string> ids, bool from_file);

  const DisabledFile file_;
  log::Logger& log_;
  std::set<std::string> ids_;
  std::map<std::string, DiscoveredEndpoint> listed_;  // as discovery lists them
  std::uint64_t revision_ = 0;                        // of discovery's last list
  std::string file_version_;                          // of the file as last read or written
};

}  // namespace copperpoint::proxy

#endif  // COPPERPOINT_PROXY_CONTROL_DISABLED_BACKENDS_H_
