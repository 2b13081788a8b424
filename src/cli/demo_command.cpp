// SPDX-License-Identifier: Apache-2.0
//
// `copperpoint demo`: runs a few proxies, backends and clients on loopback and prints calls that inject
// faults.
#include <fmt/format.h>

#include <CLI/App.hpp>
#include <CLI/Config.hpp>
#include <CLI/Formatter.hpp>
#include <filesystem>
#include <iostream>
#include <memory>
#include <string>
#include <utility>

#include "cli/commands.h"
#include "fault_testing/processes/play.h"

namespace copperpoint::cli {
namespace {

struct DemoOptions {
  int proxies = 3;
  int backends = 6;
  double length_s = 60;
  double rate_per_s = 60;  // over all proxies
};

void PrintMembers(const fault_testing::FleetStatus& status) {
  std::cout << "\nProxies:\n";
  for (const fault_testing::MemberStatus& member : status.members) {
    std::cout << fmt::format("  {}  serves at {}, operator at {}, process {}\n", member.name, member.listen,
                             member.operator_address, member.pid);
  }
}

void PrintExampleCalls(const fault_testing::FleetStatus& status) {
  const fault_testing::MemberStatus& first = status.members.front();
  const fault_testing::MemberStatus& second = status.members[1 % status.members.size()];
  std::cout << fmt::format(
      "\nSend a request yourself, and see the fleet as one proxy does:\n"
      "  curl -i -H 'Req-Id: 1a2b' -H 'Req-Kind: look' -H 'Req-Deadline-Ms: 2000' http://{}/look/it\n"
      "  curl -s http://{}/fleet\n"
      "Inject a fault, and watch the lines below; the second call of a pair removes it:\n"
      "  curl -X POST http://{}/freeze/b1     .../thaw/b1    a backend accepts requests and does not "
      "respond\n"
      "  curl -X POST http://{}/fail/b2       .../mend/b2    a backend fails all requests\n"
      "  curl -X POST http://{}/kill/{}       .../start/{}   a proxy crashes\n"
      "  curl -X POST http://{}/stop/{}       .../go/{}      a proxy is paused\n"
      "  curl -X POST http://{}/cut/{}        .../heal/{}    a proxy is partitioned from the others\n\n",
      first.listen, first.operator_address, status.control, status.control, status.control, second.name,
      second.name, status.control, second.name, second.name, status.control, first.name, first.name);
}

// Prints one line of figures for the last second.
void PrintSecond(const fault_testing::FleetStatus& status) {
  std::string members_seen;
  std::string requests_by_backend;
  int running = 0;
  for (const fault_testing::MemberStatus& member : status.members) {
    running += member.up;
    members_seen += members_seen.empty() ? "" : " ";
    members_seen += member.up ? std::to_string(member.living_members) : "-";
  }
  for (const std::uint64_t count : status.executions) requests_by_backend += fmt::format("{:>4}", count);
  std::cout
      << fmt::format(
             "{:5.0f} s  served {:3} of {:3}, rejected {}  | backends{}, ejections {} | proxies up {}, each "
             "sees {}, {} view{}\n",
             status.at_s, status.served, status.requests, status.rejected, requests_by_backend,
             status.ejections, running, members_seen, status.views, status.views == 1 ? "" : "s")
      << std::flush;
}

int RunDemo(const DemoOptions& options) {
  fault_testing::Plan plan;
  plan.members = options.proxies;
  plan.zones = 1;
  plan.length_s = options.length_s;
  plan.service.backends = options.backends;
  plan.service.rate = options.rate_per_s;
  fault_testing::ProcessOptions run;
  run.program = std::filesystem::read_symlink("/proc/self/exe").string();
  bool has_started = false;
  run.on_status = [&](const fault_testing::FleetStatus& status) {
    if (std::exchange(has_started, true)) return PrintSecond(status);
    PrintMembers(status);
    PrintExampleCalls(status);
  };
  std::cout << fmt::format("Starting {} proxies and {} backends; the demo ends after {:.0f} s.\n",
                           options.proxies, options.backends, options.length_s)
            << std::flush;
  const fault_testing::ProcessOutcome result = fault_testing::PlayProcesses(plan, run);
  for (const std::string& line : result.outcome.failures) std::cout << line << '\n';
  std::cout << (result.interrupted ? "Interrupted.\n" : "Done.\n");
  return kSuccess;
}

}  // namespace

void AddDemoCommand(CLI::App& app, int* exit_code) {
  auto options = std::make_shared<DemoOptions>();
  CLI::App* demo = app.add_subcommand("demo", "Run proxies, backends and clients to inject faults into");
  demo->footer("Example: copperpoint demo --seconds 120");
  demo->add_option("--proxies", options->proxies, "Number of proxies")->check(CLI::Range(1, 100));
  demo->add_option("--backends", options->backends, "Number of backends")->check(CLI::Range(1, 100));
  demo->add_option("--seconds", options->length_s, "Length")->check(CLI::Range(4.0, 86400.0));
  demo->add_option("--rate", options->rate_per_s, "Requests per second over all proxies")
      ->check(CLI::Range(1.0, 2000.0));
  demo->callback([options, exit_code] { *exit_code = RunDemo(*options); });
}

}  // namespace copperpoint::cli
