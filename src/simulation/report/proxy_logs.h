// SPDX-License-Identifier: Apache-2.0
//
// Writes the logs of the simulated proxies, one file for each, as input of `copperpoint fleet count`.
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
  static constexpr double kOriginMs = 946684800000;  // Unix time of virtual time 0: the year 2000

  // Creates FOLDER/p0.log, p1.log and so on. Throws std::runtime_error if a file cannot be opened.
  ProxyLogs(const std::string& folder, log::Format format, std::size_t proxies);
  // Appends a line to the log of a proxy. `at_ms` is virtual time.
  void Write(std::uint32_t proxy, double at_ms, std::string_view event,
             std::initializer_list<log::Field> fields);

 private:
  log::Format format_;
  std::vector<std::ofstream> files_;
};

}  // namespace copperpoint::simulation

#endif  // COPPERPOINT_SIMULATION_REPORT_PROXY_LOGS_H_
