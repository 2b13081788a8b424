// SPDX-License-Identifier: Apache-2.0
//
// Writes the reference page of the operator's file from the descriptions of its keys.
#ifndef COPPERPOINT_PROXY_CONFIG_CONFIGURATION_REFERENCE_H_
#define COPPERPOINT_PROXY_CONFIG_CONFIGURATION_REFERENCE_H_

#include <string>

namespace copperpoint::proxy {

// The complete page docs/configuration.md, in Markdown.
std::string ConfigurationReference();

}  // namespace copperpoint::proxy

#endif  // COPPERPOINT_PROXY_CONFIG_CONFIGURATION_REFERENCE_H_
