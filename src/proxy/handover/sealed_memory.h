// SPDX-License-Identifier: Apache-2.0
//
// Anonymous memory files that one process fills and another one of the same machine reads. They carry data
// that is too large for one message of a Unix socket.
#ifndef COPPERPOINT_PROXY_HANDOVER_SEALED_MEMORY_H_
#define COPPERPOINT_PROXY_HANDOVER_SEALED_MEMORY_H_

#include <cstddef>
#include <optional>
#include <string>

#include "proxy/handover/message_socket.h"

namespace copperpoint::proxy {

// Returns a descriptor of a memory file that holds `text` and can no longer be changed. The descriptor is
// OwnedDescriptor::kNone if the system has no memory or no descriptor left.
OwnedDescriptor CreateSealedMemory(const std::string& text);

// Returns the contents of the file. Returns nothing unless it is a sealed memory file of at most `max_bytes`,
// so that reading it cannot block and its contents cannot change meanwhile.
std::optional<std::string> ReadSealedMemory(int descriptor, std::size_t max_bytes);

}  // namespace copperpoint::proxy

#endif  // COPPERPOINT_PROXY_HANDOVER_SEALED_MEMORY_H_
