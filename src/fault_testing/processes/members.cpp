// SPDX-License-Identifier: Apache-2.0
#include "fault_testing/processes/fleet.h"

namespace copperpoint::fault_testing {
namespace {

constexpr std::chrono::milliseconds kExitCheckInterval{
    20};  // for the exit of a process that is to be replaced
constexpr std::chrono::milliseconds kFrontEndNoticeDelay{
    100};                            // until clients are no longer sent to an ended process
constexpr double kReloadBoundS = 4;  // after SIGHUP, what discovery has to tell counts as told

}  // namespace

void ProcessFleet::WriteConfiguration(int number) {
  const Member& member = At(number);
  const nlohmann::json config{
      {"name", MemberName(number)},
      {"listen", FormatEndpoint(member.listen_address)},
      {"operator", FormatEndpoint(member.operator_address)},
      {"discovery", FormatEndpoint(directory_->address(number))},
      {"seed", fmt::format("{:x}", options_.seed * 1000 + static_cast<std::uint64_t>(number))},
      {"limits", {{"cores", 1.0}, {"memory_mb", 192}, {"sockets", 1024}}},
      {"settings", ProxySettings(plan_, number)}};
  std::ofstream(folder_.path + "/" + MemberName(number) + "/config.json") << config.dump();
}

void ProcessFleet::WriteConfigFiles(int number) {
  const Member& member = At(number);
  const std::string base = folder_.path + "/" + MemberName(number);
  std::filesystem::create_directory(base);
  std::ofstream(base + "/clock") << std::string(sizeof(std::int64_t), '\0');
  WriteConfiguration(number);
  std::string seeds;
  for (int i = 0; i < std::min(plan_.seeds, plan_.members); ++i)
    seeds += fmt::format("{}\"{}\"", i ? ", " : "", peers::FormatAddress(At(i).advertised_address));
  std::ofstream file(base + "/operator.toml");
  file << "[log]\nformat = \"json\"\nlines_per_s = 1000000\n";
  if (options_.with_membership)
    file << fmt::format(
        "[fleet]\ncluster = \"rig\"\nlisten = \"{}\"\nadvertise = \"{}\"\nseeds = [{}]\nkey_file = "
        "\"{}/key\"\n",
        peers::FormatAddress(member.bind_address), peers::FormatAddress(member.advertised_address), seeds,
        folder_.path);
}

void ProcessFleet::WriteSupervisorConfig(int number) {
  const Member& member = At(number);
  const std::string base = folder_.path + "/" + MemberName(number);
  std::ofstream file(base + "/keep.toml");
  file << fmt::format(
      "first = \"v1\"\noperators = [\"{}\", \"{}\"]\nready_ms = 6000\nheard_ms = 6000\njson_log = true\n",
      FormatEndpoint(member.other_operator_address), FormatEndpoint(member.operator_address));
  for (const char* version : {"v1", "v2"}) {
    const bool other = version == std::string("v2");
    const std::string settings =
        other && !options_.other_settings.empty() ? base + "/other.toml" : base + "/operator.toml";
    if (other && !options_.other_settings.empty())
      std::ofstream(settings) << std::ifstream(base + "/operator.toml").rdbuf()
                              << std::ifstream(options_.other_settings).rdbuf();
    file << fmt::format("[[version]]\nname = \"{}\"\nprogram = \"{}\"\nsettings = \"{}\"\n", version,
                        other && !options_.other_program.empty() ? options_.other_program : options_.program,
                        settings);
  }
}

void ProcessFleet::Start(int number) {
  Member& member = At(number);
  if (has_ended_ || (member.child && member.child->running())) return;
  const std::string base = folder_.path + "/" + MemberName(number);
  // A new process must not find files of an earlier one.
  std::filesystem::remove_all(base + "/tmp");
  std::filesystem::create_directory(base + "/tmp");
  if (!options_.log_folder.empty() && !member.log.is_open()) {
    std::filesystem::create_directories(options_.log_folder);
    member.log.open(options_.log_folder + "/" + MemberName(number) + ".log");
  }
  const std::uint64_t incarnation = ++member.incarnation;
  member.rejected_before += std::exchange(member.rejected, 0);
  member.paused = member.exit_expected = member.killed = false;
  evaluator_.OnStarted(Now(), number);
  directory_->OnProxyStarted(number);
  member.child = std::make_unique<Child>(
      io_,
      member.runs_other_program && !plan_.keep && !options_.other_program.empty() ? options_.other_program
                                                                                  : options_.program,
      plan_.keep ? std::vector<std::string>{"supervise", base + "/keep.toml"}
                 : std::vector<std::string>{"serve", "--config", base + "/operator.toml"},
      std::map<std::string, std::string>{{"ROUTER_CONFIG", base + "/config.json"},
                                         {"TMPDIR", base + "/tmp"},
                                         {"COPPERPOINT_CLOCK", base + "/clock"}},
      [this, number](const std::string& line) { OnLogLine(number, line); },
      [this, number, incarnation](int status) { OnExit(number, incarnation, status); });
  for (const auto& [fault, fault_members] : delayed_starts_) {
    if (std::find(fault_members.begin(), fault_members.end(), number) == fault_members.end()) continue;
    SetPaused(number, true);
    Schedule(Now() + fault.amount, [this, number, incarnation] {
      if (At(number).incarnation == incarnation) SetPaused(number, false);
    });
  }
}

void ProcessFleet::JumpClock(int number, double seconds) {
  std::fstream clock(folder_.path + "/" + MemberName(number) + "/clock",
                     std::ios::in | std::ios::out | std::ios::binary);
  std::int64_t ahead_us = 0;
  clock.read(reinterpret_cast<char*>(&ahead_us), sizeof ahead_us);
  ahead_us += static_cast<std::int64_t>(seconds * 1e6);
  clock.seekp(0);
  clock.write(reinterpret_cast<const char*>(&ahead_us), sizeof ahead_us);
}

void ProcessFleet::OnLogLine(int number, const std::string& line) {
  Member& member = At(number);
  if (member.log.is_open()) member.log << line << '\n';
  const auto json = nlohmann::json::parse(line, nullptr, /*allow_exceptions=*/false);
  if (!json.is_object()) return;
  const std::string event = json.value("event", "");
  if (event == "decision") ejections_ += json.value("text", "").find(" ejected: ") != std::string::npos;
  if (event == "keep_ended") member.last_ready = Clock::now();  // its requests are lost with the process
  if (event == "keep_serves") member.version = json.value("version", "");
  if (event == "keep_began") {
    member.proxy_pid = static_cast<int>(json.value("pid", 0.0));
    member.versions_run.insert(json.value("version", ""));
  }
  if (event == "state_changed" && json.value("to", "") == "ready") {
    member.up = true;
    member.last_ready = Clock::now();
  } else if (event == "fleet_dead") {
    const std::string subject = json.value("member", "");
    for (int i = 0; i < plan_.members; ++i)
      if (MemberName(i) == subject) evaluator_.OnDeclaredDead(Now(), number, i);
  }
  TriggerFaults(event, json.value("member", ""));
}

void ProcessFleet::OnExit(int number, std::uint64_t incarnation, int status) {
  Member& member = At(number);
  if (member.incarnation != incarnation || has_ended_) return;
  if (!member.exit_expected || (!member.killed && status != 0))
    evaluator_.AddRuleViolation(
        fmt::format("{} exited unexpectedly at {:.2f} s with status {}", MemberName(number), Now(), status));
  member.up = false;
}

void ProcessFleet::End(int number, bool graceful) {
  Member& member = At(number);
  if (!member.child || !member.child->running()) return;
  evaluator_.OnEnded(Now(), number, graceful);
  member.exit_expected = true;
  member.killed = !graceful;
  member.child->Signal(graceful ? SIGTERM : SIGKILL);
  if (member.paused) member.child->Signal(SIGCONT);
  // Clients are still sent there until the emulated front end has noticed the exit.
  const std::uint64_t incarnation = member.incarnation;
  Schedule(Now() + std::chrono::duration<double>(kFrontEndNoticeDelay).count(), [this, number, incarnation] {
    if (At(number).incarnation == incarnation) At(number).up = false;
  });
}

void ProcessFleet::SetPaused(int number, bool paused) {
  Member& member = At(number);
  if (!member.child || !member.child->running() || member.paused == paused) return;
  if (plan_.keep && member.proxy_pid > 0) {
    ::kill(member.proxy_pid, paused ? SIGSTOP : SIGCONT);
  } else {
    member.child->Signal(paused ? SIGSTOP : SIGCONT);
  }
  member.paused = paused;
  member.last_ready = Clock::now();
  paused ? evaluator_.OnPaused(Now(), number) : evaluator_.OnResumed(Now(), number);
  if (!paused) directory_->OnProxyResumed(number);
}

void ProcessFleet::Reload(int number) {
  Member& member = At(number);
  if (!member.child || !member.child->running()) return;
  directory_->MoveProxy(number);
  WriteConfiguration(number);
  member.child->Signal(SIGHUP);
  Schedule(Now() + kReloadBoundS, [this, number, incarnation = member.incarnation] {
    if (At(number).incarnation == incarnation) directory_->OnUpdateDue(number);
  });
}

void ProcessFleet::Replace(int number, bool other) {
  At(number).runs_other_program = other;
  if (!At(number).child) return;  // not started yet: it starts with that program
  End(number, /*graceful=*/true);
  StartAfterExit(number);
}

void ProcessFleet::StartAfterExit(int number) {
  if (!At(number).child->running()) return Start(number);
  Schedule(Now() + std::chrono::duration<double>(kExitCheckInterval).count(),
           [this, number] { StartAfterExit(number); });
}

}  // namespace copperpoint::fault_testing
