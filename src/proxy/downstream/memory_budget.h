// SPDX-License-Identifier: Apache-2.0
//
// Limits the memory that the buffered request bodies of all client connections use together.
#ifndef COPPERPOINT_PROXY_DOWNSTREAM_MEMORY_BUDGET_H_
#define COPPERPOINT_PROXY_DOWNSTREAM_MEMORY_BUDGET_H_

#include <cstddef>

namespace copperpoint::proxy {

class MemoryBudget {
 public:
  explicit MemoryBudget(std::size_t max_bytes) : max_bytes_(max_bytes) {}

  // Reserves `bytes`. @return false, with nothing reserved, if the total would exceed the limit.
  bool Reserve(std::size_t bytes) {
    if (reserved_bytes_ + bytes > max_bytes_) return false;
    reserved_bytes_ += bytes;
    return true;
  }
  // Releases `bytes` that were reserved before.
  void Release(std::size_t bytes) { reserved_bytes_ -= bytes; }

  std::size_t reserved_bytes() const { return reserved_bytes_; }

 private:
  std::size_t max_bytes_;
  std::size_t reserved_bytes_ = 0;
};

}  // namespace copperpoint::proxy

#endif  // COPPERPOINT_PROXY_DOWNSTREAM_MEMORY_BUDGET_H_
