// SPDX-License-Identifier: Apache-2.0
//
// The process's log: each event has a name and typed fields. Lines go to standard error through spdlog, as
// `TIME LEVEL EVENT key=value ...` or as one JSON object per line.
//
// A line below the configured level costs one comparison; its fields are views and are not formatted. The
// rate is limited by a token bucket of one second's lines: beyond `lines_per_s`, lines of a level below error
// are dropped and counted, and the next line that is written is preceded by `log_lines_dropped count=N`.
#ifndef COPPERPOINT_LOG_LOG_H_
#define COPPERPOINT_LOG_LOG_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <initializer_list>
#include <memory>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

#include "config/schema.h"

namespace copperpoint::log {

enum class Level { kDebug, kInfo, kWarn, kError, kOff };
enum class Format { kText, kJson };

// The names of the levels and formats in configuration files and on the command line.
const std::vector<std::pair<std::string, Level>>& LevelNames();
const std::vector<std::pair<std::string, Format>>& FormatNames();

struct Settings {
  Level level = Level::kInfo;
  Format format = Format::kText;
  int lines_per_s = 200;

  void Describe(config::FieldVisitor& v);
};

// One field of a line. Names are snake_case; text values may contain any bytes and are not copied.
struct Field {
  using Value = std::variant<std::string_view, double, std::int64_t, bool>;

  Field(std::string_view name, std::string_view text) : name(name), value(text) {}
  Field(std::string_view name, const char* text) : name(name), value(std::string_view(text)) {}
  Field(std::string_view name, const std::string& text) : name(name), value(std::string_view(text)) {}
  template <typename T, typename = std::enable_if_t<std::is_arithmetic_v<T>>>
  Field(std::string_view name, T number) : name(name) {
    if constexpr (std::is_same_v<T, bool>) {
      value = number;
    } else if constexpr (std::is_floating_point_v<T>) {
      value = static_cast<double>(number);
    } else {
      value = static_cast<std::int64_t>(number);
    }
  }

  std::string_view name;
  Value value;
};

// Receives each formatted line, without a line end. `Now` returns the time that lines are stamped with.
using Sink = std::function<void(const std::string& line)>;
using Now = std::function<std::chrono::system_clock::time_point()>;

class Logger {
 public:
  // Writes to standard error and reads the system clock.
  Logger();
  Logger(Settings settings, Sink sink, Now now);
  ~Logger();
  Logger(const Logger&) = delete;
  Logger& operator=(const Logger&) = delete;

  void Set(const Settings& settings);
  const Settings& settings() const { return settings_; }

  bool Enabled(Level level) const { return level >= settings_.level; }
  void Write(Level level, std::string_view event, std::initializer_list<Field> fields) {
    if (Enabled(level)) WriteLine(level, event, fields);
  }
  void Debug(std::string_view event, std::initializer_list<Field> fields = {}) {
    Write(Level::kDebug, event, fields);
  }
  void Info(std::string_view event, std::initializer_list<Field> fields = {}) {
    Write(Level::kInfo, event, fields);
  }
  void Warn(std::string_view event, std::initializer_list<Field> fields = {}) {
    Write(Level::kWarn, event, fields);
  }
  void Error(std::string_view event, std::initializer_list<Field> fields = {}) {
    Write(Level::kError, event, fields);
  }

 private:
  class Output;

  void WriteLine(Level level, std::string_view event, std::initializer_list<Field> fields);
  bool Allowed(Level level, std::chrono::system_clock::time_point now);

  Settings settings_;
  std::unique_ptr<Output> output_;
  Now now_;
  double tokens_ = 0;
  std::chrono::system_clock::time_point refilled_{};
  std::int64_t dropped_lines_ = 0;
};

// `number` as 16 hexadecimal digits, since many JSON readers lose the precision of integers over 53 bits.
std::string Hex(std::uint64_t number);

// Returns one line in `format`, without a line end.
std::string FormatLine(Format format, std::chrono::system_clock::time_point at, Level level,
                       std::string_view event, std::initializer_list<Field> fields);

// The logger that the whole process shares.
Logger& Global();

}  // namespace copperpoint::log

#endif  // COPPERPOINT_LOG_LOG_H_
