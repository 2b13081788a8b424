// SPDX-License-Identifier: Apache-2.0
#include "simulation/run/parallel.h"

#include <algorithm>
#include <atomic>
#include <exception>
#include <mutex>
#include <thread>
#include <vector>

namespace copperpoint::simulation {

void RunInParallel(std::size_t count, unsigned threads, const std::function<void(std::size_t)>& job) {
  if (threads == 0) threads = std::max(1u, std::thread::hardware_concurrency());
  std::atomic<std::size_t> next{0};
  std::exception_ptr first_error;
  std::mutex mutex;
  const auto work = [&] {
    for (std::size_t i = next++; i < count; i = next++) {
      try {
        job(i);
      } catch (...) {
        const std::lock_guard lock(mutex);
        if (!first_error) first_error = std::current_exception();
        next = count;
      }
    }
  };
  std::vector<std::thread> workers;
  for (unsigned t = 1; t < std::min<std::size_t>(threads, count); ++t) workers.emplace_back(work);
  work();
  for (std::thread& worker : workers) worker.join();
  if (first_error) std::rethrow_exception(first_error);
}

}  // namespace copperpoint::simulation
