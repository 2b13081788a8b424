// SPDX-License-Identifier: Apache-2.0
//
// The command line of the program: help, exit codes, one line per error, and old names of commands and
// options.
#include <gtest/gtest.h>

#include <string>
#include <utility>
#include <vector>

#include "cli/command_line.h"
#include "support/run_program.h"

namespace copperpoint {
namespace {

using testing_support::Finished;
using testing_support::TemporaryFolder;

Finished Invoke(const std::string& arguments) { return testing_support::RunProgram(PROGRAM_PATH, arguments); }

TEST(CommandLine, WithoutArgumentsItPrintsTheHelp) {
  const Finished run = Invoke("");
  EXPECT_EQ(run.code, 0);
  for (const char* command : {"serve", "config", "version"})
    EXPECT_NE(run.out.find(command), std::string::npos);
}

TEST(CommandLine, EachCommandHasHelpWithAnExample) {
  for (const char* command : {"serve",          "config",           "config check",
                              "config show",    "config reference", "simulate",
                              "simulate run",   "simulate compare", "simulate sweep",
                              "simulate plot",  "simulate draw",    "simulate reference",
                              "fleet count",    "fleet show",       "fleet check",
                              "fault-test run", "fault-test plot",  "fault-test list",
                              "supervise",      "rollout plan",     "rollout start",
                              "rollout pause",  "rollout resume",   "rollout abort",
                              "rollout status", "rollout history",  "rollout simulate",
                              "demo",           "version"}) {
    const Finished run = Invoke(std::string(command) + " --help");
    EXPECT_EQ(run.code, 0) << command;
    EXPECT_NE(run.out.find("Example: "), std::string::npos) << command;
  }
}

TEST(CommandLine, WrongUsageIsOneLineAndExitCode2) {
  for (const char* wrong :
       {"swerve", "serve --conf x", "config", "config check", "serve --log-level loud", "version extra"}) {
    const Finished run = Invoke(wrong);
    EXPECT_EQ(run.code, 2) << wrong;
    EXPECT_EQ(run.out, "") << wrong;
    EXPECT_EQ(run.err.find("copperpoint: "), 0u) << wrong << ": " << run.err;
    EXPECT_EQ(run.err.find('\n'), run.err.size() - 1) << wrong << ": " << run.err;
  }
}

TEST(CommandLine, AnInvalidFileIsOneLinePerErrorAndExitCode2) {
  const TemporaryFolder folder;
  const std::string file =
      folder.Write("bad.toml", "[log]\nlevel = \"loud\"\n[patience]\nkept_ms = 0\nrest = 1\n");
  for (const std::string command : {"config check ", "config show ", "serve --config "}) {
    const Finished run = Invoke(command + file);
    EXPECT_EQ(run.code, 2) << command;
    if (command[0] == 's') {  // the platform's file is read first, and there is none
      EXPECT_EQ(run.err, "copperpoint: ROUTER_CONFIG is not set; it must name the configuration file\n");
      continue;
    }
    EXPECT_NE(run.err.find("copperpoint: " + file + ":2:9: log.level: 'loud' is none of"), std::string::npos)
        << run.err;
    EXPECT_NE(run.err.find(":4:11: patience.kept_ms: 0 is out of range"), std::string::npos) << run.err;
    EXPECT_NE(run.err.find(":5:1: patience.rest: unknown key"), std::string::npos) << run.err;
  }
}

TEST(CommandLine, OutputOfConfigShowPassesConfigCheck) {
  const TemporaryFolder folder;
  const Finished shown = Invoke("config show " + folder.Write("good.toml", "[patience]\nkept_ms = 1234\n"));
  EXPECT_EQ(shown.code, 0);
  EXPECT_NE(shown.out.find("kept_ms = 1234"), std::string::npos) << shown.out;
  const Finished checked = Invoke("config check " + folder.Write("shown.toml", shown.out));
  EXPECT_EQ(checked.code, 0) << checked.err;
}

TEST(CommandLine, ThePlatformsFileIsCheckedToo) {
  const TemporaryFolder folder;
  const std::string file = folder.Write("platform.json", "{\n\"listen\": }");
  const Finished run = Invoke("config check --platform " + file);
  EXPECT_EQ(run.code, 2);
  EXPECT_EQ(run.err, "copperpoint: " + file + ": 2:11: the configuration is not valid JSON\n");
}

TEST(CommandLine, OldNamesOfCommandsWorkAndAreNotInTheHelp) {
  const std::pair<const char*, const char*> renamed[] = {
      {"lab run --help", "simulate run --help"},         {"lab sweep --help", "simulate sweep --help"},
      {"rig run --help", "fault-test run --help"},       {"keep --help", "supervise --help"},
      {"rollout try --help", "rollout simulate --help"},
  };
  for (const auto& [old_name, current_name] : renamed) {
    const Finished by_old_name = Invoke(old_name);
    EXPECT_EQ(by_old_name.code, 0) << old_name;
    EXPECT_EQ(by_old_name.out, Invoke(current_name).out) << old_name;
  }
  const std::string help = Invoke("--help").out + Invoke("rollout --help").out;
  for (const char* old_name : {"\n  lab ", "\n  rig ", "\n  keep ", "\n  try "})
    EXPECT_EQ(help.find(old_name), std::string::npos) << old_name;
}

TEST(CommandLine, OldNamesOfOptionsWorkAndAreNotInTheHelp) {
  const std::string plan = std::string(SOURCE_DIR) + "/lab/rollout/nine.toml";
  const std::string common = plan + " --members 9 --length 30 --amount 0.5 ";
  const Finished by_old_name = Invoke("rollout try " + common + "--harm fails --around=surge --faults");
  const Finished by_current_name =
      Invoke("rollout simulate " + common + "--fault fails --environment=surge --member-faults");
  EXPECT_EQ(by_current_name.err, "");
  EXPECT_NE(by_current_name.out.find("fails 0.5 surge: 1 seeds"), std::string::npos) << by_current_name.out;
  EXPECT_EQ(by_old_name.out, by_current_name.out);
  const std::string help = Invoke("rollout simulate --help").out + Invoke("fleet count --help").out;
  for (const char* old_name : {"--harm", "--around", "--faults", "--cold-for-ms"})
    EXPECT_EQ(help.find(old_name), std::string::npos) << old_name;
}

TEST(CommandLine, ArgumentsAfterTwoDashesAreUnchanged) {
  const std::vector<std::string> arguments{"rollout", "try", "--", "--harm"};
  EXPECT_EQ(cli::CurrentArguments(arguments),
            (std::vector<std::string>{"rollout", "simulate", "--", "--harm"}));
}

TEST(CommandLine, ValuesThatEqualOldCommandsAreUnchanged) {
  const std::vector<std::string> arguments{"simulate", "run", "lab", "--policy", "rig"};
  EXPECT_EQ(cli::CurrentArguments(arguments), arguments);
}

TEST(CommandLine, TheVersionIsOneLine) {
  const Finished run = Invoke("version");
  EXPECT_EQ(run.code, 0);
  EXPECT_EQ(run.out.find("copperpoint "), 0u);
}

}  // namespace
}  // namespace copperpoint
