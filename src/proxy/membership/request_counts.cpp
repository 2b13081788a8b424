// SPDX-License-Identifier: Apache-2.0
#include "proxy/membership/request_counts.h"

#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <fstream>
#include <vector>

#include "rollout/latency_histogram.h"

namespace copperpoint::proxy {
namespace {

constexpr std::size_t kMostBytes = 820;    // of a report's strata: a letter of the view holds 900
constexpr std::size_t kMostStrata = 4096;  // that are counted at all

std::uint64_t ProcessorUs() {
  rusage usage{};
  ::getrusage(RUSAGE_SELF, &usage);
  const auto micros = [](const timeval& time) {
    return static_cast<std::uint64_t>(time.tv_sec) * 1'000'000 + static_cast<std::uint64_t>(time.tv_usec);
  };
  return micros(usage.ru_utime) + micros(usage.ru_stime);
}

std::uint32_t MemoryKb() {
  std::uint64_t all = 0, resident = 0;
  std::ifstream("/proc/self/statm") >> all >> resident;
  return static_cast<std::uint32_t>(resident * static_cast<std::uint64_t>(::sysconf(_SC_PAGESIZE)) / 1024);
}

// What a backend rejects is its answer, and served.
bool IsServed(RequestOutcome outcome) {
  return outcome == RequestOutcome::kServed || outcome == RequestOutcome::kClientError;
}

void Count(rollout::wire::Stratum& stratum, RequestOutcome outcome, bool in_time, int attempts) {
  stratum.set_requests(stratum.requests() + 1);
  stratum.set_missed(stratum.missed() + !(IsServed(outcome) && in_time));
  stratum.set_rejected(stratum.rejected() + (outcome == RequestOutcome::kRejected));
  stratum.set_failed(stratum.failed() + (outcome == RequestOutcome::kFailed));
  stratum.set_attempts(stratum.attempts() + static_cast<std::uint64_t>(std::max(0, attempts)));
}

}  // namespace

const char* NameOf(RequestOutcome outcome) {
  switch (outcome) {
    case RequestOutcome::kServed:
      return "served";
    case RequestOutcome::kClientError:
      return "client_error";
    case RequestOutcome::kRejected:
      return "rejected";
    case RequestOutcome::kFailed:
      return "failed";
    case RequestOutcome::kClientDisconnected:
      return "client_disconnected";
  }
  return "unknown";
}

void RequestCounts::Record(int request_class, std::uint32_t tenant, RequestOutcome outcome, bool in_time,
                           int attempts, double duration_ms) {
  if (outcome == RequestOutcome::kClientDisconnected) return;
  ++asked_;
  const auto cls = static_cast<std::uint32_t>(std::max(0, request_class));
  const auto of = [&](std::uint32_t number) -> rollout::wire::Stratum* {
    const auto found = strata_.find({number, cls});
    if (found != strata_.end()) return &found->second;
    if (strata_.size() >= kMostStrata) return nullptr;
    auto& fresh = strata_[{number, cls}];
    fresh.set_request_class(cls);
    fresh.set_tenant(number);
    return &fresh;
  };
  if (rollout::wire::Stratum* stratum = of(0)) {
    Count(*stratum, outcome, in_time, attempts);
    if (IsServed(outcome)) {
      while (stratum->latency_buckets_size() < static_cast<int>(rollout::kLatencyBuckets))
        stratum->add_latency_buckets(0);
      const int bucket = static_cast<int>(rollout::LatencyBucketOf(duration_ms));
      stratum->set_latency_buckets(bucket, stratum->latency_buckets(bucket) + 1);
    }
  }
  if (tenant == 0) return;
  if (rollout::wire::Stratum* stratum = of(tenant)) Count(*stratum, outcome, in_time, attempts);
}

rollout::wire::MemberReport RequestCounts::Report() const {
  rollout::wire::MemberReport report;
  report.set_cpu_us(ProcessorUs());
  report.set_memory_kb(MemoryKb());
  std::vector<const rollout::wire::Stratum*> ordered;
  for (const auto& [key, stratum] : strata_) ordered.push_back(&stratum);
  std::stable_sort(ordered.begin(), ordered.end(), [](const auto* a, const auto* b) {
    if ((a->tenant() == 0) != (b->tenant() == 0)) return a->tenant() == 0;
    return a->requests() > b->requests();
  });
  std::size_t bytes = 0;
  for (const rollout::wire::Stratum* stratum : ordered) {
    const std::size_t more = stratum->ByteSizeLong() + 3;
    if (bytes + more > kMostBytes) break;
    bytes += more;
    *report.add_strata() = *stratum;
  }
  return report;
}

}  // namespace copperpoint::proxy
