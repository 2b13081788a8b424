// SPDX-License-Identifier: Apache-2.0
//
// The file that stores the ids of disabled backends (`copperpoint-NAME-disabled.json`): its format, and
// atomic replacement under a lock, because two processes of one proxy may use it during an upgrade.
#ifndef COPPERPOINT_PROXY_CONTROL_DISABLED_FILE_H_
#define COPPERPOINT_PROXY_CONTROL_DISABLED_FILE_H_

#include <cstddef>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>

namespace copperpoint::proxy {

inline constexpr std::size_t kMaxDisabledBackends = 1024;

// Returns the file's content: `{"disabled":[...]}` and a line end. Bytes that are not UTF-8 are replaced.
std::string EncodeDisabledIds(const std::set<std::string>& ids);
// Returns nothing unless `text` is an object with a list of at most kMaxDisabledBackends strings.
std::optional<std::set<std::string>> DecodeDisabledIds(std::string_view text);

class DisabledFile {
 public:
  // Holds an exclusive lock on a file beside this one; the end of the object or of its process releases it.
  class Lock {
   public:
    explicit Lock(const DisabledFile& file);
    ~Lock();
    Lock(const Lock&) = delete;
    Lock& operator=(const Lock&) = delete;
    // Returns false if another process held the lock for 100 ms, or the lock file cannot be opened.
    bool acquired() const { return acquired_; }

   private:
    int descriptor_;
    bool acquired_ = false;
  };

  // With an empty path nothing is stored: configured() is false.
  explicit DisabledFile(std::string path) : path_(std::move(path)) {}

  bool configured() const { return !path_.empty(); }
  const std::string& path() const { return path_; }

  // Returns a text that differs after every replacement of the file; kAbsent if there is no file.
  std::string Version() const;
  static constexpr char kAbsent[] = "none";

  // Returns nothing if the file cannot be read or decoded.
  std::optional<std::set<std::string>> Load() const;
  // Replaces the file. Returns false if that failed; the file is then unchanged.
  bool Store(const std::set<std::string>& ids) const;

 private:
  const std::string path_;
};

}  // namespace copperpoint::proxy

#endif  // COPPERPOINT_PROXY_CONTROL_DISABLED_FILE_H_
