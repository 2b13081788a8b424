// SPDX-License-Identifier: Apache-2.0
//
// A call to a proxy's operator address.
#ifndef COPPERPOINT_CLI_ASK_H_
#define COPPERPOINT_CLI_ASK_H_

#include <string>

namespace copperpoint::cli {

// The body of a 200 answer. Throws std::runtime_error, one line, on any other and where there is none; and
// std::invalid_argument if `address` is no ADDRESS:PORT. A GET where `post` is false.
std::string Ask(const std::string& address, const std::string& target, bool post = false,
                const std::string& body = "");

}  // namespace copperpoint::cli

#endif  // COPPERPOINT_CLI_ASK_H_
