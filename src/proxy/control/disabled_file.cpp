// SPDX-License-Identifier: Apache-2.0
#include "proxy/control/disabled_file.h"

#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <array>
#include <cstdio>
#include <nlohmann/json.hpp>

namespace copperpoint::proxy {
namespace {

using nlohmann::json;

constexpr std::size_t kMaxFileBytes = std::size_t{256} * 1024;
constexpr mode_t kOwnerOnly = 0600;
constexpr int kLockAttempts = 50;
constexpr useconds_t kLockRetryMicroseconds = 2000;

// Returns nothing on an error, and for a file that is longer than kMaxFileBytes.
std::optional<std::string> ReadLimited(const std::string& path) {
  const int descriptor = ::open(path.c_str(), O_RDONLY | O_CLOEXEC | O_NOFOLLOW | O_NONBLOCK);
  if (descriptor < 0) return std::nullopt;
  std::string text;
  std::array<char, 4096> chunk;
  ssize_t count = 0;
  while ((count = ::read(descriptor, chunk.data(), chunk.size())) > 0 && text.size() <= kMaxFileBytes)
    text.append(chunk.data(), static_cast<std::size_t>(count));
  ::close(descriptor);
  if (count != 0) return std::nullopt;
  return text;
}

bool WriteFile(const std::string& path, const std::string& text) {
  const int descriptor =
      ::open(path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC | O_NOFOLLOW, kOwnerOnly);
  if (descriptor < 0) return false;
  std::size_t written = 0;
  ssize_t count = 0;
  while (written < text.size() &&
         (count = ::write(descriptor, text.data() + written, text.size() - written)) > 0)
    written += static_cast<std::size_t>(count);
  return ::close(descriptor) == 0 && written == text.size();
}

}  // namespace

std::string EncodeDisabledIds(const std::set<std::string>& ids) {
  return json{{"disabled", ids}}.dump(-1, ' ', false, json::error_handler_t::replace) + '\n';
}

std::optional<std::set<std::string>> DecodeDisabledIds(std::string_view text) {
  const json parsed = json::parse(text, nullptr, /*allow_exceptions=*/false);
  if (!parsed.is_object()) return std::nullopt;
  const auto found = parsed.find("disabled");
  if (found == parsed.end() || !found->is_array() || found->size() > kMaxDisabledBackends)
    return std::nullopt;
  std::set<std::string> ids;
  for (const json& id : *found) {
    if (!id.is_string()) return std::nullopt;
    ids.insert(id.get<std::string>());
  }
  return ids;
}

DisabledFile::Lock::Lock(const DisabledFile& file)
    : descriptor_(
          ::open((file.path() + ".lock").c_str(), O_RDWR | O_CREAT | O_CLOEXEC | O_NOFOLLOW, kOwnerOnly)) {
  for (int attempt = 0; descriptor_ >= 0 && !acquired_ && attempt < kLockAttempts; ++attempt) {
    acquired_ = ::flock(descriptor_, LOCK_EX | LOCK_NB) == 0;
    if (!acquired_) ::usleep(kLockRetryMicroseconds);
  }
}

DisabledFile::Lock::~Lock() {
  if (descriptor_ >= 0) ::close(descriptor_);
}

// Every replacement of the file has an inode or a modification time of its own.
std::string DisabledFile::Version() const {
  struct stat status {};
  if (::stat(path_.c_str(), &status) != 0) return kAbsent;
  return std::to_string(status.st_ino) + ' ' + std::to_string(status.st_size) + ' ' +
         std::to_string(status.st_mtim.tv_sec) + ' ' + std::to_string(status.st_mtim.tv_nsec);
}

std::optional<std::set<std::string>> DisabledFile::Load() const {
  const auto text = ReadLimited(path_);
  if (!text) return std::nullopt;
  return DecodeDisabledIds(*text);
}

bool DisabledFile::Store(const std::set<std::string>& ids) const {
  const std::string temporary = path_ + ".new." + std::to_string(::getpid());
  if (WriteFile(temporary, EncodeDisabledIds(ids)) && ::rename(temporary.c_str(), path_.c_str()) == 0)
    return true;
  ::unlink(temporary.c_str());
  return false;
}

}  // namespace copperpoint::proxy
