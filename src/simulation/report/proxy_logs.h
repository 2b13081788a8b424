// SPDX-License-Identifier: Apache-2.0
//
// The logs that the emulated proxies would have written, a file each, for `copperpoint fleet count`.
#ifndef COPPERPOINT_SIMULATION_REPORT_PROXY_LOGS_H_
#define COPPERPOINT_SIMULATION_REPORT_PROXY_LOGS_H_

#include <cstdint>
#include <fstream>
#include <initializer_list>
#include <string>
#include <string_view>
#include <vector>

#include "log/log.h"

namespace copperpoint::simulation {

class ProxyLogs {
 public:
  static constexpr double kOriginMs = 946684800000;  // Unix time of the emulator's 0: the year 2000

  // FOLDER/p0.log and on. Throws std::runtime_error if one cannot be written.
  ProxyLogs(const std::string& folder, log::Format format, std::size_t proxies);
  void Write(std::uint32_t proxy, double at_ms, std::string_view event,
             std::initializer_list<log::Field> fields);

 private:
  log::Format format_;
  std::vector<std::ofstream> files_;
};

}  // namespace copperpoint::simulation

#endif  // COPPERPOINT_SIMULATION_REPORT_PROXY_LOGS_H_
