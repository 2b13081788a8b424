// SPDX-License-Identifier: Apache-2.0
//
// Byte strings of tests, written in hexadecimal.
#ifndef COPPERPOINT_TESTS_SUPPORT_HEX_H_
#define COPPERPOINT_TESTS_SUPPORT_HEX_H_

#include <string>
#include <string_view>

namespace copperpoint::testing {

// Decodes hexadecimal digits into bytes. Spaces are ignored: they make the text easier to read.
inline std::string Hex(std::string_view text) {
  std::string digits, bytes;
  for (char c : text) {
    if (c != ' ') digits += c;
  }
  for (std::size_t i = 0; i + 1 < digits.size(); i += 2) {
    bytes += static_cast<char>(std::stoi(digits.substr(i, 2), nullptr, 16));
  }
  return bytes;
}

}  // namespace copperpoint::testing

#endif  // COPPERPOINT_TESTS_SUPPORT_HEX_H_
