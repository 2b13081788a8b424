// SPDX-License-Identifier: Apache-2.0
#include <fmt/format.h>

#include <CLI/App.hpp>
#include <CLI/Config.hpp>
#include <CLI/Formatter.hpp>
#include <filesystem>
#include <iostream>
#include <memory>

#include "cli/commands.h"
#include "fault_testing/processes/play.h"

namespace copperpoint::cli {
namespace {

struct DemoOptions {
  int proxies = 3, backends = 6;
  double seconds = 60, rate = 60;
};

void TellWhatToTry(const fault_testing::Live& live) {
  std::cout << "\nProxies:\n";
  for (const fault_testing::LiveMember& member : live.members)
    std::cout << fmt::format("  {}  serves at {}, operator at {}, process {}\n", member.name, member.listen,
                             member.operator_address, member.pid);
  const fault_testing::LiveMember& first = live.members.front();
  const fault_testing::LiveMember& second = live.members[1 % live.members.size()];
  std::cout << fmt::format(
      "\nAsk one yourself, and see the fleet as one of them does:\n"
      "  curl -i -H 'Req-Id: 1a2b' -H 'Req-Kind: look' -H 'Req-Deadline-Ms: 2000' http://{}/look/it\n"
      "  curl -s http://{}/fleet\n"
      "Break something, and watch the lines below; the second command of a pair mends it:\n"
      "  curl -X POST http://{}/freeze/b1     .../thaw/b1    a backend takes requests and says nothing\n"
      "  curl -X POST http://{}/fail/b2       .../mend/b2    a backend fails all it is asked\n"
      "  curl -X POST http://{}/kill/{}       .../start/{}   a proxy ends without a word\n"
      "  curl -X POST http://{}/stop/{}       .../go/{}      a proxy stands still\n"
      "  curl -X POST http://{}/cut/{}        .../heal/{}    a proxy is cut off from the others\n\n",
      first.listen, first.operator_address, live.control, live.control, live.control, second.name,
      second.name, live.control, second.name, second.name, live.control, first.name, first.name);
}

void TellLine(const fault_testing::Live& live) {
  std::string sees, runs;
  int up = 0;
  for (const fault_testing::LiveMember& member : live.members) {
    up += member.up;
    sees += fmt::format("{}{}", sees.empty() ? "" : " ", member.up ? std::to_string(member.living) : "-");
  }
  for (const std::uint64_t n : live.runs) runs += fmt::format("{:>4}", n);
  std::cout << fmt::format(
      "{:5.0f} s  served {:3} of {:3}, refused {}  | backends{}, ejections {} | proxies up {}, each sees {}, "
      "{} "
      "view{}\n",
      live.at_s, live.served, live.asked, live.refused, runs, live.ejections, up, sees, live.views,
      live.views == 1 ? "" : "s");
  std::cout.flush();
}

int RunDemo(const DemoOptions& options) {
  fault_testing::Plan plan;
  plan.members = options.proxies;
  plan.zones = 1;
  plan.length_s = options.seconds;
  plan.service.backends = options.backends;
  plan.service.rate = options.rate;
  fault_testing::ProcessOptions run;
  run.program = std::filesystem::read_symlink("/proc/self/exe").string();
  bool told = false;
  run.watch = [&](const fault_testing::Live& live) {
    if (!std::exchange(told, true)) return TellWhatToTry(live);
    TellLine(live);
  };
  std::cout << fmt::format("Starting {} proxies and {} backends; it ends by itself after {:.0f} s.\n",
                           options.proxies, options.backends, options.seconds)
            << std::flush;
  const fault_testing::ProcessOutcome result = fault_testing::PlayProcesses(plan, run);
  for (const std::string& line : result.outcome.story) std::cout << line << '\n';
  std::cout << (result.interrupted ? "Interrupted.\n" : "Done.\n");
  return kDone;
}

}  // namespace

void AddDemo(CLI::App& app, int* exit_code) {
  auto options = std::make_shared<DemoOptions>();
  CLI::App* demo =
      app.add_subcommand("demo", "Three proxies, six backends and clients, to break and to watch");
  demo->footer("Example: copperpoint demo --seconds 120");
  demo->add_option("--proxies", options->proxies, "Processes")->check(CLI::Range(1, 100));
  demo->add_option("--backends", options->backends, "Stand-ins")->check(CLI::Range(1, 100));
  demo->add_option("--seconds", options->seconds, "Until it ends by itself")->check(CLI::Range(4.0, 86400.0));
  demo->add_option("--rate", options->rate, "Requests a second over all proxies")
      ->check(CLI::Range(1.0, 2000.0));
  demo->callback([options, exit_code] { *exit_code = RunDemo(*options); });
}

}  // namespace copperpoint::cli
