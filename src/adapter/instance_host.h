// SPDX-License-Identifier: Apache-2.0
//
// Hosts one Balancer per instance and passes events and actions between them and the simulator's protocol.
#ifndef COPPERPOINT_ADAPTER_INSTANCE_HOST_H_
#define COPPERPOINT_ADAPTER_INSTANCE_HOST_H_

#include <iosfwd>
#include <map>
#include <set>
#include <string>

#include "adapter/codec.h"
#include "copperpoint/balancer.h"

namespace copperpoint::adapter {

// Owns the instances. Ignored events are reported to `diagnostics`, which must outlive the host.
class InstanceHost {
 public:
  explicit InstanceHost(std::ostream& diagnostics) : diagnostics_(diagnostics) {}

  // Handles all records of a batch and returns the reply frame.
  std::string HandleBatch(const Batch& batch);

 private:
  void Handle(TimePoint now, const Record& record);
  void ReportOnce(const std::string& what);

  std::ostream& diagnostics_;
  std::map<std::uint32_t, Balancer> instances_;
  std::set<std::string> reported_;
  ReplyWriter reply_;
};

}  // namespace copperpoint::adapter

#endif  // COPPERPOINT_ADAPTER_INSTANCE_HOST_H_
