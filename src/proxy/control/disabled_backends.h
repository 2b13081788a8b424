// SPDX-License-Identifier: Apache-2.0
//
// The backends that staff have taken out by hand. DiscoveryClient's list passes through here and comes out
// with these as draining, whatever discovery says of them. The set outlives this process in a file that a
// second process of the same proxy reads and writes too.
#ifndef COPPERPOINT_PROXY_CONTROL_DISABLED_BACKENDS_H_
#define COPPERPOINT_PROXY_CONTROL_DISABLED_BACKENDS_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "log/log.h"
#include "proxy/discovery/endpoints.h"

namespace copperpoint::proxy {

class DisabledBackends {
 public:
  enum class ChangeResult { kDone, kUnknownBackend, kNotStored };

  // `file` keeps the set; empty: it lasts as long as this process.
  DisabledBackends(std::string file, log::Logger& log);

  // What the rest of the proxy is to see of a list; a whole one names everything there is.
  EndpointList Apply(EndpointList list, bool whole);

  // `changes` gets what the rest of the proxy is to see otherwise from now on. Either may come twice. Unless
  // kDone, nothing has changed.
  ChangeResult Disable(const std::string& id, EndpointList* changes);
  ChangeResult Enable(const std::string& id, EndpointList* changes);

  // What another process has changed since.
  EndpointList ReloadIfChanged();

  const std::set<std::string>& ids() const { return ids_; }

 private:
  ChangeResult Change(const std::string& id, bool out, EndpointList* changes);
  std::optional<std::set<std::string>> Load();
  bool Store(const std::set<std::string>& ids);
  EndpointList Take(std::set<std::string> ids, bool from_file);

  const std::string file_;
  log::Logger& log_;
  std::set<std::string> ids_;
  std::map<std::string, DiscoveredEndpoint> listed_;  // as discovery has it
  std::uint64_t revision_ = 0;
  std::string seen_;  // which version of the file was read last
};

}  // namespace copperpoint::proxy

#endif  // COPPERPOINT_PROXY_CONTROL_DISABLED_BACKENDS_H_
