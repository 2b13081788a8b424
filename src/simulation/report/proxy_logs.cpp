// SPDX-License-Identifier: Apache-2.0
#include "simulation/report/proxy_logs.h"

#include <chrono>
#include <filesystem>
#include <stdexcept>

namespace copperpoint::simulation {

ProxyLogs::ProxyLogs(const std::string& folder, log::Format format, std::size_t proxies) : format_(format) {
  std::error_code ignored;  // if the folder cannot be created, opening the files fails
  std::filesystem::create_directories(folder, ignored);
  files_.reserve(proxies);
  for (std::size_t p = 0; p < proxies; ++p) {
    const std::string name = folder + "/p" + std::to_string(p) + ".log";
    if (!files_.emplace_back(name, std::ios::binary))
      throw std::runtime_error(name + ": cannot open the log file for writing");
  }
}

void ProxyLogs::Write(std::uint32_t proxy, double at_ms, std::string_view event,
                      std::initializer_list<log::Field> fields) {
  const std::chrono::system_clock::time_point at{
      std::chrono::milliseconds(static_cast<std::int64_t>(kOriginMs + at_ms))};
  files_[proxy] << log::FormatLine(format_, at, log::Level::kDebug, event, fields) << '\n';
}

}  // namespace copperpoint::simulation
