// SPDX-License-Identifier: Apache-2.0
#include "cli/output_file.h"

#include <fstream>
#include <stdexcept>

namespace copperpoint::cli {

void WriteOutputFile(const std::string& path, const std::string& content) {
  std::ofstream out(path, std::ios::binary);
  out << content;
  if (!out.flush()) throw std::runtime_error(path + ": cannot be written");
}

}  // namespace copperpoint::cli
