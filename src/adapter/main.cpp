// SPDX-License-Identifier: Apache-2.0
//
// The adapter program: reads batches of events from standard input and writes the replies to standard output
// until the input ends. Exits with 1 and a line on standard error if the input is malformed.
#include <exception>
#include <iostream>

#include "adapter/codec.h"
#include "adapter/instance_host.h"

int main() {
  std::ios::sync_with_stdio(false);
  std::cin.tie(nullptr);
  copperpoint::adapter::InstanceHost host(std::cerr);
  try {
    while (const auto batch = copperpoint::adapter::ReadBatch(std::cin)) {
      std::cout << host.HandleBatch(*batch) << std::flush;
    }
  } catch (const std::exception& error) {
    std::cerr << "copperpoint_adapter: " << error.what() << '\n';
    return 1;
  }
  return 0;
}
