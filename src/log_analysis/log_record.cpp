// SPDX-License-Identifier: Apache-2.0
#include "log_analysis/log_record.h"

#include <charconv>
#include <chrono>
#include <nlohmann/json.hpp>

namespace copperpoint::log_analysis {
namespace {

constexpr std::size_t kStampLength = 24;  // 2026-01-31T12:00:00.000Z

std::optional<int> Digits(std::string_view text, std::size_t from, std::size_t count) {
  int value = 0;
  const char* begin = text.data() + from;
  const auto parsed = std::from_chars(begin, begin + count, value);
  if (parsed.ec != std::errc() || parsed.ptr != begin + count) return std::nullopt;
  return value;
}

std::optional<double> UnixMs(std::string_view s) {
  if (s.size() < kStampLength || s[4] != '-' || s[7] != '-' || s[10] != 'T' || s[13] != ':' || s[16] != ':' ||
      s[19] != '.' || s[23] != 'Z')
    return std::nullopt;
  const auto year = Digits(s, 0, 4), month = Digits(s, 5, 2), day = Digits(s, 8, 2), hour = Digits(s, 11, 2),
             minute = Digits(s, 14, 2), second = Digits(s, 17, 2), ms = Digits(s, 20, 3);
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

std::optional<Record> ParseJson(std::string_view line) {
  const auto json = nlohmann::json::parse(line, nullptr, /*allow_exceptions=*/false);
  if (!json.is_object() || !json.contains("time") || !json.contains("event")) return std::nullopt;
  Record record;
  const auto at = UnixMs(TextOf(json["time"]));
  if (!at) return std::nullopt;
  record.at_ms = *at;
  record.event = TextOf(json["event"]);
  for (const auto& [name, value] : json.items()) {
    if (name != "time" && name != "event" && name != "level") record.fields.emplace_back(name, TextOf(value));
  }
  return record;
}

// The word up to the next space, less it and the space.
std::string_view Word(std::string_view& rest) {
  const std::size_t end = std::min(rest.find(' '), rest.size());
  const std::string_view word = rest.substr(0, end);
  rest.remove_prefix(std::min(end + 1, rest.size()));
  return word;
}

// A value in quotation marks is text as JSON writes it.
std::optional<std::string> Value(std::string_view& rest) {
  if (rest.empty() || rest.front() != '"') return std::string(Word(rest));
  std::size_t end = 1;
  while (end < rest.size() && rest[end] != '"') end += rest[end] == '\\' ? 2 : 1;
  if (end >= rest.size()) return std::nullopt;
  const auto text = nlohmann::json::parse(rest.substr(0, end + 1), nullptr, /*allow_exceptions=*/false);
  if (!text.is_string()) return std::nullopt;
  rest.remove_prefix(std::min(end + 2, rest.size()));
  return text.get<std::string>();
}

std::optional<Record> ParseText(std::string_view line) {
  Record record;
  std::optional<double> at;
  while (!line.empty() && !at) at = UnixMs(Word(line));
  if (!at) return std::nullopt;
  record.at_ms = *at;
  Word(line);  // the level
  record.event = Word(line);
  while (!line.empty()) {
    const std::size_t equals = line.find('=');
    if (equals == std::string_view::npos) return std::nullopt;
    const std::string name(line.substr(0, equals));
    line.remove_prefix(equals + 1);
    auto value = Value(line);
    if (!value) return std::nullopt;
    record.fields.emplace_back(name, std::move(*value));
  }
  if (record.event.empty()) return std::nullopt;
  return record;
}

}  // namespace

std::string_view Record::Text(std::string_view name) const {
  for (const auto& [key, value] : fields) {
    if (key == name) return value;
  }
  return {};
}

double Record::Number(std::string_view name, double otherwise) const {
  const std::string_view text = Text(name);
  double value = 0;
  const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
  return parsed.ec == std::errc() && parsed.ptr == text.data() + text.size() ? value : otherwise;
}

std::optional<Record> ParseLine(std::string_view line) {
  while (!line.empty() && (line.back() == '\r' || line.back() == '\n')) line.remove_suffix(1);
  if (const std::size_t brace = line.find('{'); brace != std::string_view::npos) {
    if (auto record = ParseJson(line.substr(brace))) return record;
  }
  return ParseText(line);
}

}  // namespace copperpoint::log_analysis
