// SPDX-License-Identifier: Apache-2.0
#include "log_analysis/log_record.h"

#include <charconv>
#include <chrono>
#include <nlohmann/json.hpp>

#include "log_analysis/old_names.h"

namespace copperpoint::log_analysis {
namespace {

constexpr std::size_t kTimestampLength = 24;  // 2026-01-31T12:00:00.000Z

std::optional<int> ParseDigits(std::string_view text, std::size_t from, std::size_t count) {
  int value = 0;
  const char* begin = text.data() + from;
  const auto parsed = std::from_chars(begin, begin + count, value);
  if (parsed.ec != std::errc() || parsed.ptr != begin + count) return std::nullopt;
  return value;
}

std::optional<double> ParseUnixMs(std::string_view s) {
  if (s.size() < kTimestampLength || s[4] != '-' || s[7] != '-' || s[10] != 'T' || s[13] != ':' ||
      s[16] != ':' || s[19] != '.' || s[23] != 'Z')
    return std::nullopt;
  const auto year = ParseDigits(s, 0, 4), month = ParseDigits(s, 5, 2), day = ParseDigits(s, 8, 2),
             hour = ParseDigits(s, 11, 2), minute = ParseDigits(s, 14, 2), second = ParseDigits(s, 17, 2),
             ms = ParseDigits(s, 20, 3);
  if (!year || !month || !day || !hour || !minute || !second || !ms) return std::nullopt;
  const std::chrono::year_month_day date{std::chrono::year(*year),
                                         std::chrono::month(static_cast<unsigned>(*month)),
                                         std::chrono::day(static_cast<unsigned>(*day))};
  if (!date.ok()) return std::nullopt;
  const double days = static_cast<double>(std::chrono::sys_days(date).time_since_epoch().count());
  return (((days * 24 + *hour) * 60 + *minute) * 60 + *second) * 1000 + *ms;
}

std::string TextOf(const nlohmann::json& value) {
  return value.is_string() ? value.get<std::string>() : value.dump();
}

std::optional<LogRecord> ParseJson(std::string_view line) {
  const auto json = nlohmann::json::parse(line, nullptr, /*allow_exceptions=*/false);
  if (!json.is_object() || !json.contains("time") || !json.contains("event")) return std::nullopt;
  LogRecord record;
  const auto at = ParseUnixMs(TextOf(json["time"]));
  if (!at) return std::nullopt;
  record.at_ms = *at;
  record.event = TextOf(json["event"]);
  for (const auto& [name, value] : json.items()) {
    if (name != "time" && name != "event" && name != "level") record.fields.emplace_back(name, TextOf(value));
  }
  return record;
}

// Removes the word up to the next space, and that space, from `rest`, and returns the word.
std::string_view TakeWord(std::string_view& rest) {
  const std::size_t end = std::min(rest.find(' '), rest.size());
  const std::string_view word = rest.substr(0, end);
  rest.remove_prefix(std::min(end + 1, rest.size()));
  return word;
}

// Removes a value from `rest` and returns it; a quoted value is a JSON string. Nullopt if it is malformed.
std::optional<std::string> TakeValue(std::string_view& rest) {
  if (rest.empty() || rest.front() != '"') return std::string(TakeWord(rest));
  std::size_t end = 1;
  while (end < rest.size() && rest[end] != '"') end += rest[end] == '\\' ? 2 : 1;
  if (end >= rest.size()) return std::nullopt;
  const auto text = nlohmann::json::parse(rest.substr(0, end + 1), nullptr, /*allow_exceptions=*/false);
  if (!text.is_string()) return std::nullopt;
  rest.remove_prefix(std::min(end + 2, rest.size()));
  return text.get<std::string>();
}

std::optional<LogRecord> ParseText(std::string_view line) {
  LogRecord record;
  std::optional<double> at;
  while (!line.empty() && !at) at = ParseUnixMs(TakeWord(line));
  if (!at) return std::nullopt;
  record.at_ms = *at;
  TakeWord(line);  // the level
  record.event = TakeWord(line);
  while (!line.empty()) {
    const std::size_t equals = line.find('=');
    if (equals == std::string_view::npos) return std::nullopt;
    const std::string name(line.substr(0, equals));
    line.remove_prefix(equals + 1);
    auto value = TakeValue(line);
    if (!value) return std::nullopt;
    record.fields.emplace_back(name, std::move(*value));
  }
  if (record.event.empty()) return std::nullopt;
  return record;
}

}  // namespace

std::string_view LogRecord::Text(std::string_view name) const {
  for (const auto& [key, value] : fields) {
    if (key == name) return value;
  }
  return {};
}

double LogRecord::Number(std::string_view name, double fallback) const {
  const std::string_view text = Text(name);
  double value = 0;
  const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
  return parsed.ec == std::errc() && parsed.ptr == text.data() + text.size() ? value : fallback;
}

std::optional<LogRecord> ParseLine(std::string_view line) {
  while (!line.empty() && (line.back() == '\r' || line.back() == '\n')) line.remove_suffix(1);
  std::optional<LogRecord> record;
  if (const std::size_t brace = line.find('{'); brace != std::string_view::npos)
    record = ParseJson(line.substr(brace));
  if (!record) record = ParseText(line);
  if (record) UseCurrentNames(&*record);
  return record;
}

}  // namespace copperpoint::log_analysis
