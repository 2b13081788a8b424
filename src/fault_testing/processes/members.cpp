// SPDX-License-Identifier: Apache-2.0
#include "fault_testing/processes/fleet.h"

namespace copperpoint::fault_testing {
namespace {

constexpr std::chrono::milliseconds kLookAtEnd{20};  // whether a process has ended
constexpr std::chrono::milliseconds kFrontNotices{
    100};  // until no client is sent to a process that has ended

}  // namespace

void ProcessFleet::WriteFiles(int number) {
  const Member& member = At(number);
  const std::string base = folder_.path + "/" + MemberName(number);
  std::filesystem::create_directory(base);
  std::ofstream(base + "/clock") << std::string(sizeof(std::int64_t), '\0');
  const nlohmann::json config{
      {"name", MemberName(number)},
      {"listen", TextOf(member.listen)},
      {"operator", TextOf(member.op)},
      {"discovery", TextOf(directory_->address(number))},
      {"seed", fmt::format("{:x}", options_.seed * 1000 + static_cast<std::uint64_t>(number))},
      {"limits", {{"cores", 1.0}, {"memory_mb", 192}, {"sockets", 1024}}},
      {"settings", ProxySettings(plan_, number)}};
  std::ofstream(base + "/config.json") << config.dump();
  std::string seeds;
  for (int i = 0; i < std::min(plan_.seeds, plan_.members); ++i)
    seeds += fmt::format("{}\"{}\"", i ? ", " : "", peers::FormatAddress(At(i).outside));
  std::ofstream file(base + "/operator.toml");
  file << "[log]\nformat = \"json\"\nlines_per_s = 1000000\n";
  if (options_.with_membership)
    file << fmt::format(
        "[fleet]\ncluster = \"rig\"\nlisten = \"{}\"\nadvertise = \"{}\"\nseeds = [{}]\nkey_file = "
        "\"{}/key\"\n",
        peers::FormatAddress(member.inside), peers::FormatAddress(member.outside), seeds, folder_.path);
}

void ProcessFleet::WriteKeeper(int number) {
  const Member& member = At(number);
  const std::string base = folder_.path + "/" + MemberName(number);
  std::ofstream file(base + "/keep.toml");
  file << fmt::format(
      "first = \"v1\"\noperators = [\"{}\", \"{}\"]\nready_ms = 6000\nheard_ms = 6000\njson_log = true\n",
      TextOf(member.op_other), TextOf(member.op));
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
  if (over_ || (member.child && member.child->running())) return;
  const std::string base = folder_.path + "/" + MemberName(number);
  // Nothing of an earlier life is left to it.
  std::filesystem::remove_all(base + "/tmp");
  std::filesystem::create_directory(base + "/tmp");
  if (!options_.log_folder.empty() && !member.log.is_open()) {
    std::filesystem::create_directories(options_.log_folder);
    member.log.open(options_.log_folder + "/" + MemberName(number) + ".log");
  }
  const std::uint64_t life = ++member.life;
  member.refused_before += std::exchange(member.refused, 0);
  member.stopped = member.ending = member.killed = false;
  judge_.Started(Now(), number);
  directory_->Started(number);
  member.child = std::make_unique<Child>(
      io_,
      member.other && !plan_.keep && !options_.other_program.empty() ? options_.other_program
                                                                     : options_.program,
      plan_.keep ? std::vector<std::string>{"supervise", base + "/keep.toml"}
                 : std::vector<std::string>{"serve", "--config", base + "/operator.toml"},
      std::map<std::string, std::string>{{"ROUTER_CONFIG", base + "/config.json"},
                                         {"TMPDIR", base + "/tmp"},
                                         {"COPPERPOINT_CLOCK", base + "/clock"}},
      [this, number](const std::string& line) { OnLine(number, line); },
      [this, number, life](int status) { OnEnd(number, life, status); });
  for (const auto& [fault, whom] : slow_starts_) {
    if (std::find(whom.begin(), whom.end(), number) == whom.end()) continue;
    Stop(number, true);
    Schedule(Now() + fault.amount, [this, number, life] {
      if (At(number).life == life) Stop(number, false);
    });
  }
}

void ProcessFleet::Jump(int number, double seconds) {
  std::fstream clock(folder_.path + "/" + MemberName(number) + "/clock",
                     std::ios::in | std::ios::out | std::ios::binary);
  std::int64_t ahead_us = 0;
  clock.read(reinterpret_cast<char*>(&ahead_us), sizeof ahead_us);
  ahead_us += static_cast<std::int64_t>(seconds * 1e6);
  clock.seekp(0);
  clock.write(reinterpret_cast<const char*>(&ahead_us), sizeof ahead_us);
}

void ProcessFleet::OnLine(int number, const std::string& line) {
  Member& member = At(number);
  if (member.log.is_open()) member.log << line << '\n';
  const auto json = nlohmann::json::parse(line, nullptr, /*allow_exceptions=*/false);
  if (!json.is_object()) return;
  const std::string event = json.value("event", "");
  if (event == "decision") ejections_ += json.value("text", "").find(" ejected: ") != std::string::npos;
  if (event == "keep_ended") member.ready = Clock::now();  // its requests are lost with it
  if (event == "keep_serves") member.version = json.value("version", "");
  if (event == "keep_began") {
    member.serve_pid = static_cast<int>(json.value("pid", 0.0));
    member.ever.insert(json.value("version", ""));
  }
  if (event == "state_changed" && json.value("to", "") == "ready") {
    member.up = true;
    member.ready = Clock::now();
  } else if (event == "fleet_dead") {
    const std::string subject = json.value("member", "");
    for (int i = 0; i < plan_.members; ++i)
      if (MemberName(i) == subject) judge_.SaidDead(Now(), number, i);
  }
  Meet(event, json.value("member", ""));
}

void ProcessFleet::OnEnd(int number, std::uint64_t life, int status) {
  Member& member = At(number);
  if (member.life != life || over_) return;
  if (!member.ending || (!member.killed && status != 0))
    judge_.Broke(fmt::format("{} ended by itself at {:.2f} s, status {}", MemberName(number), Now(), status));
  member.up = false;
}

void ProcessFleet::End(int number, bool with_a_word) {
  Member& member = At(number);
  if (!member.child || !member.child->running()) return;
  judge_.Ended(Now(), number, with_a_word);
  member.ending = true;
  member.killed = !with_a_word;
  member.child->Signal(with_a_word ? SIGTERM : SIGKILL);
  if (member.stopped) member.child->Signal(SIGCONT);
  // Clients go on to come until the front has noticed.
  const std::uint64_t life = member.life;
  Schedule(Now() + std::chrono::duration<double>(kFrontNotices).count(), [this, number, life] {
    if (At(number).life == life) At(number).up = false;
  });
}

void ProcessFleet::Stop(int number, bool stop) {
  Member& member = At(number);
  if (!member.child || !member.child->running() || member.stopped == stop) return;
  if (plan_.keep && member.serve_pid > 0) {
    ::kill(member.serve_pid, stop ? SIGSTOP : SIGCONT);
  } else {
    member.child->Signal(stop ? SIGSTOP : SIGCONT);
  }
  member.stopped = stop;
  member.ready = Clock::now();
  stop ? judge_.Stopped(Now(), number) : judge_.Continued(Now(), number);
  if (!stop) directory_->Continued(number);
}

void ProcessFleet::Replace(int number, bool other) {
  At(number).other = other;
  if (!At(number).child) return;  // it begins so
  End(number, /*with_a_word=*/true);
  StartOnceOver(number);
}

void ProcessFleet::StartOnceOver(int number) {
  if (!At(number).child->running()) return Start(number);
  Schedule(Now() + std::chrono::duration<double>(kLookAtEnd).count(),
           [this, number] { StartOnceOver(number); });
}

}  // namespace copperpoint::fault_testing
