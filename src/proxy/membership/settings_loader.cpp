// SPDX-License-Identifier: Apache-2.0
#include "proxy/membership/settings_loader.h"

#include <sys/stat.h>

#include <algorithm>
#include <sstream>
#include <stdexcept>

#include "config/read.h"
#include "peers/transport.h"
#include "proxy/config/config_error.h"

namespace copperpoint::proxy {
namespace {

using Kind = ConfigError::Kind;
using Udp = boost::asio::ip::udp;

constexpr mode_t kPermissions = 07777;
constexpr mode_t kGroupAndOthers = 0077;
constexpr char kKeyFile[] = "fleet.key_file";
constexpr char kListen[] = "fleet.listen";
constexpr char kSeedsFile[] = "fleet.seeds_file";

// Returns the permission bits of a file in octal, such as "0640".
std::string FormatPermissions(mode_t mode) {
  std::ostringstream text;
  text << '0' << std::oct << (mode & kPermissions);
  return text.str();
}

}  // namespace

peers::FrameCodec LoadFrameCodec(const FleetSettings& settings) {
  const ConfigLocation location{.file = settings.key_file, .key = kKeyFile};
  struct stat status {};
  if (::stat(settings.key_file.c_str(), &status) != 0)
    throw ConfigError(Kind::kUnreadableFile, location, "fleet.key_file cannot be read");
  if ((status.st_mode & kGroupAndOthers) != 0)
    throw ConfigError(Kind::kInvalid, location,
                      "fleet.key_file: mode must be 0600, so that other users have no access, but is " +
                          FormatPermissions(status.st_mode));
  std::string key = config::ReadFileContents(settings.key_file);
  while (!key.empty() && (key.back() == '\n' || key.back() == '\r')) key.pop_back();
  try {
    return peers::FrameCodec(settings.cluster, key);
  } catch (const std::invalid_argument& error) {
    throw ConfigError(Kind::kInvalid, location, std::string("fleet.key_file: ") + error.what());
  }
}

std::vector<std::string> LoadSeeds(const FleetSettings& settings) {
  std::vector<std::string> seeds = settings.seeds;
  if (settings.seeds_file.empty()) return seeds;
  const std::string text = config::ReadFileContents(settings.seeds_file);
  int line_number = 0;
  for (std::size_t begin = 0; begin < text.size();) {
    const std::size_t end = std::min(text.find('\n', begin), text.size());
    const std::string line = text.substr(begin, end - begin);
    begin = end + 1;
    ++line_number;
    if (line.empty() || line.front() == '#') continue;
    Udp::endpoint parsed;
    if (!peers::ParseAddress(line, &parsed))
      throw ConfigError(Kind::kInvalid, {.file = settings.seeds_file, .line = line_number, .key = kSeedsFile},
                        "must be ADDRESS:PORT, but is '" + line + "'");
    seeds.push_back(line);
  }
  return seeds;
}

Udp::endpoint ParseListenAddress(const FleetSettings& settings) {
  Udp::endpoint listen;
  if (!peers::ParseAddress(settings.listen, &listen) || listen.port() == 0)
    throw ConfigError(
        Kind::kInvalid, {.key = kListen},
        "fleet.listen: must be ADDRESS:PORT with a port over 0, but is '" + settings.listen + "'");
  return listen;
}

}  // namespace copperpoint::proxy
