// SPDX-License-Identifier: Apache-2.0
#include "proxy/control/disabled_backends.h"

#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <iterator>
#include <nlohmann/json.hpp>
#include <utility>
#include <vector>

namespace copperpoint::proxy {
namespace {

using nlohmann::json;

constexpr std::size_t kMostFile = 256 * 1024, kMostIds = 1024, kMostId = 256;

// Held while the file is read, changed and replaced. It is over in no time, and ends with its process.
class FileLock {
 public:
  explicit FileLock(const std::string& path)
      : fd_(::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC | O_NOFOLLOW, 0600)) {
    for (int tries = 0; fd_ >= 0 && !held_ && tries < 50; ++tries) {
      held_ = ::flock(fd_, LOCK_EX | LOCK_NB) == 0;
      if (!held_) ::usleep(2000);
    }
  }
  ~FileLock() {
    if (fd_ >= 0) ::close(fd_);
  }
  FileLock(const FileLock&) = delete;
  FileLock& operator=(const FileLock&) = delete;
  bool held() const { return held_; }

 private:
  int fd_;
  bool held_ = false;
};

// Every replacement has an inode or a time of its own.
std::string VersionOf(const std::string& path) {
  struct stat now {};
  if (::stat(path.c_str(), &now) != 0) return "none";
  return std::to_string(now.st_ino) + ' ' + std::to_string(now.st_size) + ' ' +
         std::to_string(now.st_mtim.tv_sec) + ' ' + std::to_string(now.st_mtim.tv_nsec);
}

std::optional<std::string> ReadSmall(const std::string& path) {
  const int fd = ::open(path.c_str(), O_RDONLY | O_CLOEXEC | O_NOFOLLOW | O_NONBLOCK);
  if (fd < 0) return std::nullopt;
  std::string text;
  char piece[4096];
  ssize_t n;
  while ((n = ::read(fd, piece, sizeof piece)) > 0 && text.size() <= kMostFile)
    text.append(piece, static_cast<std::size_t>(n));
  ::close(fd);
  if (n != 0) return std::nullopt;
  return text;
}

bool WriteWhole(const std::string& path, const std::string& text) {
  const int fd = ::open(path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC | O_NOFOLLOW, 0600);
  if (fd < 0) return false;
  std::size_t written = 0;
  ssize_t n = 0;
  while (written < text.size() && (n = ::write(fd, text.data() + written, text.size() - written)) > 0)
    written += static_cast<std::size_t>(n);
  return ::close(fd) == 0 && written == text.size();
}

}  // namespace

DisabledBackends::DisabledBackends(std::string file, log::Logger& log) : file_(std::move(file)), log_(log) {
  ReloadIfChanged();
}

// Nothing if there is none that can be believed.
std::optional<std::set<std::string>> DisabledBackends::Load() {
  const auto text = ReadSmall(file_);
  if (!text) return std::nullopt;
  const json parsed = json::parse(*text, nullptr, /*allow_exceptions=*/false);
  const auto found = parsed.is_object() ? parsed.find("disabled") : parsed.end();
  if (!parsed.is_object() || found == parsed.end() || !found->is_array() || found->size() > kMostIds)
    return std::nullopt;
  std::set<std::string> ids;
  for (const json& id : *found) {
    if (!id.is_string()) return std::nullopt;
    ids.insert(id.get<std::string>());
  }
  return ids;
}

bool DisabledBackends::Store(const std::set<std::string>& ids) {
  const std::string fresh = file_ + ".new." + std::to_string(::getpid());
  const std::string text = json{{"disabled", ids}}.dump(-1, ' ', false, json::error_handler_t::replace);
  if (WriteWhole(fresh, text + '\n') && ::rename(fresh.c_str(), file_.c_str()) == 0) return true;
  ::unlink(fresh.c_str());
  return false;
}

EndpointList DisabledBackends::Apply(EndpointList list, bool whole) {
  if (whole) listed_.clear();
  revision_ = list.revision;
  for (DiscoveredEndpoint& member : list.endpoints) {
    if (member.state == EndpointState::kRemoved) {
      listed_.erase(member.id);
      continue;
    }
    listed_[member.id] = member;
    if (ids_.contains(member.id)) member.state = EndpointState::kDraining;
  }
  return list;
}

EndpointList DisabledBackends::Take(std::set<std::string> ids, bool from_file) {
  std::vector<std::string> changed;
  std::set_symmetric_difference(ids.begin(), ids.end(), ids_.begin(), ids_.end(),
                                std::back_inserter(changed));
  ids_ = std::move(ids);
  EndpointList changes;
  changes.revision = revision_;
  for (const std::string& id : changed) {
    const bool out = ids_.contains(id);
    log_.Info(out ? "backend_disabled" : "backend_enabled",
              {{"backend", id}, {"by", "operator"}, {"from_file", from_file}});
    const auto found = listed_.find(id);
    if (found == listed_.end()) continue;
    changes.endpoints.push_back(found->second);
    if (out) changes.endpoints.back().state = EndpointState::kDraining;
  }
  return changes;
}

DisabledBackends::ChangeResult DisabledBackends::Change(const std::string& id, bool out,
                                                        EndpointList* changes) {
  if (!listed_.contains(id) && !ids_.contains(id)) return ChangeResult::kUnknownBackend;
  if (id.size() > kMostId || (out && ids_.size() >= kMostIds)) return ChangeResult::kNotStored;
  std::set<std::string> ids = ids_;
  if (!file_.empty()) {
    const FileLock lock(file_ + ".lock");
    if (!lock.held()) return ChangeResult::kNotStored;
    ids = Load().value_or(ids);  // the other process may have changed it
    if (out) ids.insert(id);
    if (!out) ids.erase(id);
    if (!Store(ids)) return ChangeResult::kNotStored;
    seen_ = VersionOf(file_);
  } else {
    if (out) ids.insert(id);
    if (!out) ids.erase(id);
  }
  *changes = Take(std::move(ids), /*from_file=*/false);
  return ChangeResult::kDone;
}

DisabledBackends::ChangeResult DisabledBackends::Disable(const std::string& id, EndpointList* changes) {
  return Change(id, /*out=*/true, changes);
}

DisabledBackends::ChangeResult DisabledBackends::Enable(const std::string& id, EndpointList* changes) {
  return Change(id, /*out=*/false, changes);
}

EndpointList DisabledBackends::ReloadIfChanged() {
  if (file_.empty()) return {};
  std::string version = VersionOf(file_);
  if (version == seen_) return {};
  seen_ = std::move(version);
  if (seen_ == "none") return {};
  auto ids = Load();
  if (!ids) {
    log_.Error("disabled_file_ignored", {{"file", file_}, {"reason", "unreadable, or no list of ids"}});
    return {};
  }
  return Take(std::move(*ids), /*from_file=*/true);
}

}  // namespace copperpoint::proxy
