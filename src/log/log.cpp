// SPDX-License-Identifier: Apache-2.0
#include "log/log.h"

#include <fmt/chrono.h>
#include <fmt/format.h>
#include <spdlog/logger.h>
#include <spdlog/sinks/stdout_sinks.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>
#include <vector>

#include "log/event_names.h"

namespace copperpoint::log {
const std::vector<std::pair<std::string, Level>>& LevelNames() {
  static const std::vector<std::pair<std::string, Level>> kNames = {{"debug", Level::kDebug},
                                                                    {"info", Level::kInfo},
                                                                    {"warn", Level::kWarn},
                                                                    {"error", Level::kError},
                                                                    {"off", Level::kOff}};
  return kNames;
}

const std::vector<std::pair<std::string, Format>>& FormatNames() {
  static const std::vector<std::pair<std::string, Format>> kNames = {{"text", Format::kText},
                                                                     {"json", Format::kJson}};
  return kNames;
}

namespace {

const std::string& NameOf(Level level) { return LevelNames()[static_cast<std::size_t>(level)].first; }

std::string Timestamp(std::chrono::system_clock::time_point at) {
  const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(at.time_since_epoch()).count();
  const std::time_t seconds = ms / 1000;
  return fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z", fmt::gmtime(seconds), ms % 1000);
}

// Appends `text`, as a JSON string if it could be mistaken for several values or lines.
void AppendText(std::string& line, std::string_view text) {
  const bool plain = !text.empty() && std::none_of(text.begin(), text.end(), [](unsigned char c) {
    return c <= ' ' || c >= 0x7f || c == '"' || c == '=' || c == '\\';
  });
  if (plain) {
    line += text;
  } else {
    line += nlohmann::json(text).dump(-1, ' ', true, nlohmann::json::error_handler_t::replace);
  }
}

std::string FormatText(std::chrono::system_clock::time_point at, Level level, std::string_view event,
                       std::initializer_list<Field> fields) {
  std::string line = Timestamp(at);
  line += ' ';
  line += NameOf(level);
  line += ' ';
  line += event;
  for (const Field& field : fields) {
    line += ' ';
    line += field.name;
    line += '=';
    std::visit(
        [&](const auto& value) {
          if constexpr (std::is_same_v<std::decay_t<decltype(value)>, std::string_view>) {
            AppendText(line, value);
          } else {
            fmt::format_to(std::back_inserter(line), "{}", value);
          }
        },
        field.value);
  }
  return line;
}

std::string FormatJson(std::chrono::system_clock::time_point at, Level level, std::string_view event,
                       std::initializer_list<Field> fields) {
  nlohmann::ordered_json object{{"time", Timestamp(at)}, {"level", NameOf(level)}, {"event", event}};
  for (const Field& field : fields) {
    std::visit([&](const auto& value) { object[std::string(field.name)] = value; }, field.value);
  }
  return object.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}  // namespace

void Settings::Describe(config::FieldVisitor& v) {
  v.Enum("level", level, LevelNames(), {.text = "the least severe lines that are written"});
  v.Enum("format", format, FormatNames(),
         {.text = "`text`: `TIME LEVEL EVENT key=value ...`; `json`: one object a line"});
  v.Int32("lines_per_s", lines_per_s,
          {.text = "lines below `error` beyond this are left out and counted",
           .unit = "lines/s",
           .min = 1,
           .max = 1e6});
}

std::string Hex(std::uint64_t number) { return fmt::format("{:016x}", number); }

std::string FormatLine(Format format, std::chrono::system_clock::time_point at, Level level,
                       std::string_view event, std::initializer_list<Field> fields) {
  return format == Format::kJson ? FormatJson(at, level, event, fields)
                                 : FormatText(at, level, event, fields);
}

class Logger::Output {
 public:
  explicit Output(Sink sink) : sink_(std::move(sink)) {
    if (sink_) return;
    logger_.set_pattern("%v");
    logger_.flush_on(spdlog::level::trace);
  }
  void Put(const std::string& line) {
    if (sink_) {
      sink_(line);
    } else {
      logger_.log(spdlog::level::info, spdlog::string_view_t(line));
    }
  }

 private:
  Sink sink_;
  spdlog::logger logger_{"copperpoint", std::make_shared<spdlog::sinks::stderr_sink_st>()};
};

Logger::Logger() : Logger(Settings{}, nullptr, [] { return std::chrono::system_clock::now(); }) {}

Logger::Logger(Settings settings, Sink sink, Now now)
    : settings_(settings), output_(std::make_unique<Output>(std::move(sink))), now_(std::move(now)) {
  tokens_ = settings_.lines_per_s;
}

Logger::~Logger() = default;

void Logger::Set(const Settings& settings) {
  settings_ = settings;
  tokens_ = std::min<double>(tokens_, settings_.lines_per_s);
}

bool Logger::Allowed(Level level, std::chrono::system_clock::time_point now) {
  const double elapsed = std::chrono::duration<double>(now - refilled_).count();
  // The wall clock may step: a step back adds no tokens, a step forward at most those of one second.
  tokens_ = std::min<double>(settings_.lines_per_s,
                             tokens_ + std::clamp(elapsed, 0.0, 1.0) * settings_.lines_per_s);
  refilled_ = now;
  if (level < Level::kError && tokens_ < 1) {
    ++dropped_lines_;
    return false;
  }
  tokens_ = std::max(0.0, tokens_ - 1);
  return true;
}

void Logger::WriteLine(Level level, std::string_view event, std::initializer_list<Field> fields) {
  const auto now = now_();
  if (!Allowed(level, now)) return;
  if (const std::int64_t dropped_lines = std::exchange(dropped_lines_, 0); dropped_lines > 0)
    output_->Put(FormatLine(settings_.format, now, Level::kWarn, log::events::kLogLinesDropped,
                            {{log::fields::kCount, dropped_lines}}));
  output_->Put(FormatLine(settings_.format, now, level, event, fields));
}

Logger& Global() {
  static Logger logger;
  return logger;
}

}  // namespace copperpoint::log
