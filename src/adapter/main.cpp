// SPDX-License-Identifier: Apache-2.0
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
