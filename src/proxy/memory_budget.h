// SPDX-License-Identifier: Apache-2.0
//
// Limits on the memory that the process uses for the messages of all connections together.
#ifndef COPPERPOINT_PROXY_MEMORY_BUDGET_H_
#define COPPERPOINT_PROXY_MEMORY_BUDGET_H_

#include <cstddef>
#include <limits>
#include <memory>
#include <utility>

namespace copperpoint::proxy {

class MemoryBudget {
 public:
  static constexpr std::size_t kUnlimited = std::numeric_limits<std::size_t>::max();

  explicit MemoryBudget(std::size_t max_bytes) : max_bytes_(max_bytes) {}

  // Reserves `bytes`. @return false, with nothing reserved, if the total would exceed the limit.
  bool Reserve(std::size_t bytes) {
    if (reserved_bytes_ > max_bytes_ || bytes > max_bytes_ - reserved_bytes_) return false;
    reserved_bytes_ += bytes;
    return true;
  }
  // Reserves `bytes` if the total does not exceed `fraction` of the limit.
  bool ReserveUpTo(std::size_t bytes, double fraction) {
    const double total = static_cast<double>(reserved_bytes_) + static_cast<double>(bytes);
    return total <= static_cast<double>(max_bytes_) * fraction && Reserve(bytes);
  }
  // Counts `bytes` that are in use already, even if the total exceeds the limit.
  void Charge(std::size_t bytes) { reserved_bytes_ += bytes; }
  // Releases `bytes` that were reserved or charged before.
  void Release(std::size_t bytes) { reserved_bytes_ -= bytes; }

  std::size_t reserved_bytes() const { return reserved_bytes_; }

 private:
  std::size_t max_bytes_;
  std::size_t reserved_bytes_ = 0;
};

// One connection's part of a MemoryBudget, which is released with this object.
class MemoryReservation {
 public:
  // Up to this size in bytes a reservation is granted whatever the others hold, so that a connection with
  // ordinary messages is served while others use the budget up. The limit on connections bounds the sum.
  static constexpr std::size_t kGrantedBytes = std::size_t{8} * 1024;

  explicit MemoryReservation(std::shared_ptr<MemoryBudget> budget) : budget_(std::move(budget)) {}
  ~MemoryReservation() { Clear(); }
  MemoryReservation(const MemoryReservation&) = delete;
  MemoryReservation& operator=(const MemoryReservation&) = delete;

  // Changes the size to `bytes`. @return false, with the size unchanged, if the budget does not allow it.
  bool Resize(std::size_t bytes) {
    if (bytes > kGrantedBytes && bytes > bytes_) {
      if (!budget_->Reserve(bytes - bytes_)) return false;
      bytes_ = bytes;
    } else {
      Charge(bytes);
    }
    return true;
  }
  // Changes the size to `bytes` that are in use already.
  void Charge(std::size_t bytes) {
    budget_->Release(bytes_);
    budget_->Charge(bytes);
    bytes_ = bytes;
  }
  void Clear() { Charge(0); }

  std::size_t bytes() const { return bytes_; }

 private:
  std::shared_ptr<MemoryBudget> budget_;
  std::size_t bytes_ = 0;
};

}  // namespace copperpoint::proxy

#endif  // COPPERPOINT_PROXY_MEMORY_BUDGET_H_
