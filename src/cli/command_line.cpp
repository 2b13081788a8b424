// SPDX-License-Identifier: Apache-2.0
#include "cli/command_line.h"

#include <array>
#include <string_view>

namespace copperpoint::cli {
namespace {

// The number of words in the longest command, as in "simulate run".
constexpr std::size_t kMaxCommandDepth = 2;

struct RenamedWord {
  std::string_view command;  // the path of commands before it, by their current names
  std::string_view old_name;
  std::string_view current_name;
};

constexpr std::array kRenamedCommands{
    RenamedWord{"", "lab", "simulate"},
    RenamedWord{"", "rig", "fault-test"},
    RenamedWord{"", "keep", "supervise"},
    RenamedWord{"rollout", "try", "simulate"},
};

constexpr std::array kRenamedOptions{
    RenamedWord{"fleet count", "--cold-for-ms", "--slow-start-ms"},
    RenamedWord{"rollout simulate", "--harm", "--fault"},
    RenamedWord{"rollout simulate", "--around", "--environment"},
    RenamedWord{"rollout simulate", "--faults", "--member-faults"},
};

std::string CurrentCommand(const std::string& path, const std::string& word) {
  for (const RenamedWord& renamed : kRenamedCommands) {
    if (renamed.command == path && renamed.old_name == word) return std::string(renamed.current_name);
  }
  return word;
}

// `argument` is an option, with or without a value after '='.
std::string CurrentOption(const std::string& path, const std::string& argument) {
  const std::string name = argument.substr(0, argument.find('='));
  for (const RenamedWord& renamed : kRenamedOptions) {
    if (renamed.command == path && renamed.old_name == name)
      return std::string(renamed.current_name) + argument.substr(name.size());
  }
  return argument;
}

}  // namespace

std::vector<std::string> CurrentArguments(std::vector<std::string> arguments) {
  std::string path;
  std::size_t depth = 0;
  for (std::string& argument : arguments) {
    if (argument == "--") break;
    if (argument.starts_with("--")) {
      argument = CurrentOption(path, argument);
    } else if (depth < kMaxCommandDepth) {
      argument = CurrentCommand(path, argument);
      path += (path.empty() ? "" : " ") + argument;
      ++depth;
    }
  }
  return arguments;
}

}  // namespace copperpoint::cli
